#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/log.h"
#include "fake_line_node.h"
#include "relay/relay_job.h"
#include "relay/relay_pin.h"
#include "relay/relay_prepared.h"

/* A node and the result of its last statement. */
typedef struct {
	fake_line_node_t *node;
	GHashTable *values; /* session variables of the caller */
	bool done;
	bool failed;
	relay_error_t error;
	char status;
	relay_pin_t *pin;
} fixture_t;

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->node = fake_line_node_create();
	fixture->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	g_clear_pointer(&fixture->pin, relay_pin_close);
	fake_line_node_destroy(fixture->node);
	g_hash_table_destroy(fixture->values);
	g_free(fixture);
	return 0;
}

static void on_done(void *context, const relay_result_t *result)
{
	fixture_t *fixture = context;

	fixture->done = true;
	fixture->failed = result->failed;
	fixture->error = result->error;
	fixture->status = result->status;
	fixture->pin = result->pin;
}

/* Runs a statement on the open transaction, if there is one. */
static void run(fixture_t *fixture, relay_request_t request)
{
	request.id = "c1";
	request.database = fixture->node->database;
	request.values = fixture->values;
	request.received_ms = clock_boot_ms();
	fixture->done = false;
	if (fixture->pin)
		relay_job_continue(g_steal_pointer(&fixture->pin), &request,
				   on_done, fixture);
	else
		relay_job_start(fixture->node->services, &request, on_done,
				fixture);
	while (!fixture->done)
		event_base_loop(fixture->node->base, EVLOOP_ONCE);
}

static void execute(fixture_t *fixture, const char *definition)
{
	run(fixture,
	    (relay_request_t){.kind = COMMAND_EXECUTE,
			      .text = "EXECUTE s1 item",
			      .writes = g_str_has_prefix(definition, "WRITE"),
			      .definition = definition,
			      .arguments = "item"});
	assert_false(fixture->failed);
}

/*
 * Guards against names that are a hash of the definition: these two have the
 * same one, and the second ran with the shape of the first.
 */
static void test_names_of_two_shapes_differ(void **state)
{
	fixture_t *fixture = *state;

	assert_int_equal(g_str_hash("READ xar"), g_str_hash("READ xc0"));
	execute(fixture, "READ xar");
	execute(fixture, "READ xc0");
	execute(fixture, "READ xar");
	assert_string_equal(fixture->node->server->runs->str,
			    "I READ xar item\nI READ xc0 item\n"
			    "I READ xar item\n");
}

/* Guards against a bound that closes a statement which is used again. */
static void test_many_shapes_stay_bounded(void **state)
{
	fixture_t *fixture = *state;
	GString *runs = g_string_new("");
	uint32_t closed = 0;

	for (uint32_t i = 0; i < 2 * RELAY_PREPARED_MAX; i++) {
		g_autofree char *shape = g_strdup_printf("READ shape%u", i);

		execute(fixture, shape);
		execute(fixture, "READ often");
		g_string_append_printf(runs, "I %s item\nI READ often item\n",
				       shape);
	}
	assert_string_equal(fixture->node->server->runs->str, runs->str);
	for (const char *at = fixture->node->server->log->str;
	     (at = strstr(at, "CLOSE ")); at++)
		closed++;
	assert_int_equal(closed, RELAY_PREPARED_MAX + 1);
	assert_non_null(strstr(fixture->node->server->log->str, "CLOSE p1\n"));
	assert_null(strstr(fixture->node->server->log->str, "CLOSE p2\n"));
	g_string_free(runs, TRUE);
}

/* A RESET drops the names on the server; none is given a second meaning. */
static void test_names_are_not_reused_after_a_reset(void **state)
{
	fixture_t *fixture = *state;

	g_hash_table_insert(fixture->values, g_strdup("unit"), g_strdup("mm"));
	execute(fixture, "READ xar");
	g_hash_table_remove_all(fixture->values);
	execute(fixture, "READ xc0");
	assert_string_equal(fixture->node->server->runs->str,
			    "I[unit=mm] READ xar item\nI READ xc0 item\n");
	assert_non_null(
		strstr(fixture->node->server->log->str, "PREPARE p2 READ xc0"));
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	log_open("test", LOG_LEVEL_WARNING);

	const struct CMUnitTest tests[] = {
		TEST(test_names_of_two_shapes_differ),
		TEST(test_many_shapes_stay_bounded),
		TEST(test_names_are_not_reused_after_a_reset),
	};

	log_open("test", LOG_LEVEL_WARNING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

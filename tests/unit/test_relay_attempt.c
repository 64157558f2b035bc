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

/* Has the server reject statements that begin with some words. */
static void reject(fixture_t *fixture, const char *words, uint32_t count)
{
	fixture->node->server->rejects = words;
	fixture->node->server->rejects_count = count;
	fixture->node->server->error = "FAILED i-1";
}

/* Runs the first statement of a transaction; its caller has sent BEGIN. */
static void run_first(fixture_t *fixture, const char *text)
{
	run(fixture, (relay_request_t){.kind = COMMAND_WRITE,
				       .text = text,
				       .writes = true,
				       .begin_id = "c0",
				       .begin_text = "BEGIN"});
}

/*
 * Guards against a change that is sent behind a BEGIN which fails: it was
 * committed on its own, without a COMMIT of its caller.
 */
static void test_change_does_not_run_without_its_transaction(void **state)
{
	fixture_t *fixture = *state;

	reject(fixture, "BEGIN", 1);
	run_first(fixture, "WRITE a x");
	assert_string_equal(fixture->node->server->runs->str, "T WRITE a x\n");
	assert_false(fixture->failed);
	assert_int_equal(fixture->status, 'T');
}

/* Guards against an error that says that the change may have run. */
static void test_transaction_that_never_opens_is_a_promise(void **state)
{
	fixture_t *fixture = *state;

	reject(fixture, "BEGIN", UINT32_MAX);
	fixture->node->database->timeout_ms = 300;
	run_first(fixture, "WRITE a x");
	assert_true(fixture->failed);
	assert_int_equal(fixture->error, RELAY_ERROR_ABORTED);
	assert_string_equal(fixture->node->server->runs->str, "");
}

/* Guards against taking a transaction for open because BEGIN succeeded. */
static void test_begin_that_opens_nothing_is_no_transaction(void **state)
{
	fixture_t *fixture = *state;

	fixture->node->server->ignores_begin = true;
	fixture->node->database->timeout_ms = 300;
	run_first(fixture, "WRITE a x");
	assert_int_equal(fixture->error, RELAY_ERROR_ABORTED);
	assert_string_equal(fixture->node->server->runs->str, "");
}

/* Guards against a lost answer to the BEGIN behind which a change was sent. */
static void test_connection_that_breaks_at_begin_runs_nothing(void **state)
{
	fixture_t *fixture = *state;

	reject(fixture, "BEGIN", 1);
	fixture->node->server->breaks = true;
	run_first(fixture, "WRITE a x");
	assert_false(fixture->failed);
	assert_string_equal(fixture->node->server->runs->str, "T WRITE a x\n");
}

static void run_single(fixture_t *fixture, const char *text)
{
	run(fixture, (relay_request_t){.kind = COMMAND_WRITE,
				       .text = text,
				       .writes = true});
}

/* Guards against a statement behind a SET that fails: it ran without it. */
static void test_statement_does_not_run_without_its_variables(void **state)
{
	fixture_t *fixture = *state;

	g_hash_table_insert(fixture->values, g_strdup("unit"), g_strdup("mm"));
	reject(fixture, "SET", 1);
	run_single(fixture, "WRITE a x");
	assert_string_equal(fixture->node->server->runs->str,
			    "I[unit=mm] WRITE a x\n");
	assert_false(fixture->failed);
}

/* Guards against a RESET that fails: another session's variables remain. */
static void test_statement_does_not_run_with_other_variables(void **state)
{
	fixture_t *fixture = *state;

	g_hash_table_insert(fixture->values, g_strdup("unit"), g_strdup("mm"));
	run_single(fixture, "WRITE a x");
	g_hash_table_remove_all(fixture->values);
	reject(fixture, "RESET", 1);
	run_single(fixture, "WRITE b y");
	assert_string_equal(fixture->node->server->runs->str,
			    "I[unit=mm] WRITE a x\nI WRITE b y\n");
	assert_false(fixture->failed);
}

/* Guards against a statement that runs after its caller was told it did not. */
static void test_refused_statement_is_not_sent_later(void **state)
{
	fixture_t *fixture = *state;
	fake_line_server_t *server = fixture->node->server;

	g_hash_table_insert(fixture->values, g_strdup("unit"), g_strdup("mm"));
	fixture->node->database->timeout_ms = 200;
	server->holds = "SET";
	run_single(fixture, "WRITE a x");
	assert_int_equal(fixture->error, RELAY_ERROR_OVERLOADED);
	fake_line_server_release(server);
	fixture->node->database->timeout_ms = FAKE_LINE_NODE_TIMEOUT_MS;
	run_single(fixture, "WRITE b y");
	assert_false(fixture->failed);
	assert_string_equal(server->runs->str, "I[unit=mm] WRITE b y\n");
}

/* Guards against a rejected variable that is tried until the deadline. */
static void test_invalid_variable_is_reported_at_once(void **state)
{
	fixture_t *fixture = *state;

	g_hash_table_insert(fixture->values, g_strdup("unit"), g_strdup("mm"));
	reject(fixture, "SET", 1);
	fixture->node->server->error = "MALFORMED no such variable";
	run_single(fixture, "WRITE a x");
	assert_int_equal(fixture->error, RELAY_ERROR_MALFORMED);
	assert_string_equal(fixture->node->server->runs->str, "");
}

/* Guards against a PREPARE that fails: it costs a retry and nothing else. */
static void test_failed_prepare_is_repeated(void **state)
{
	fixture_t *fixture = *state;

	reject(fixture, "PREPARE", 1);
	execute(fixture, "WRITE q2c");
	assert_string_equal(fixture->node->server->runs->str,
			    "I WRITE q2c item\n");
}

/* Guards against "unknown name" as the answer to a name that was prepared. */
static void test_failed_prepare_in_a_transaction_aborts_it(void **state)
{
	fixture_t *fixture = *state;

	run_first(fixture, "WRITE a x");
	assert_non_null(fixture->pin);
	reject(fixture, "PREPARE", 1);
	run(fixture, (relay_request_t){.kind = COMMAND_EXECUTE,
				       .text = "EXECUTE s1 item",
				       .writes = true,
				       .definition = "WRITE q2c",
				       .arguments = "item"});
	assert_int_equal(fixture->error, RELAY_ERROR_ABORTED);
	assert_int_equal(fixture->status, 'E');
	assert_null(fixture->pin);
}

/* Guards against a SET in an open transaction that fails. */
static void test_failed_variable_in_a_transaction_aborts_it(void **state)
{
	fixture_t *fixture = *state;

	run_first(fixture, "WRITE a x");
	g_hash_table_insert(fixture->values, g_strdup("unit"), g_strdup("mm"));
	reject(fixture, "SET", 1);
	run_single(fixture, "WRITE b y");
	assert_int_equal(fixture->error, RELAY_ERROR_ABORTED);
	assert_null(fixture->pin);
	assert_string_equal(fixture->node->server->runs->str, "T WRITE a x\n");
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
		TEST(test_change_does_not_run_without_its_transaction),
		TEST(test_transaction_that_never_opens_is_a_promise),
		TEST(test_begin_that_opens_nothing_is_no_transaction),
		TEST(test_connection_that_breaks_at_begin_runs_nothing),
		TEST(test_statement_does_not_run_without_its_variables),
		TEST(test_statement_does_not_run_with_other_variables),
		TEST(test_refused_statement_is_not_sent_later),
		TEST(test_invalid_variable_is_reported_at_once),
		TEST(test_failed_prepare_is_repeated),
		TEST(test_failed_prepare_in_a_transaction_aborts_it),
		TEST(test_failed_variable_in_a_transaction_aborts_it),
	};

	log_open("test", LOG_LEVEL_WARNING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

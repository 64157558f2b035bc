#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "world/http_request.h"
#include "world/line_client.h"
#include "world/site_world.h"

/* Timeouts with a margin for a busy machine. */
#define START_TIMEOUT_MS 30000
#define SERVE_TIMEOUT_MS 30000
#define RETRY_MS 50

#define NODES 6
#define KEY "caller-secret-1"
#define OTHER_KEY "caller-secret-2"
#define UNKNOWN_KEY "caller-secret-9"

static int open_site(void **state)
{
	static const site_plan_t plan = {
		.nodes = NODES, .groups = 1, .seed = 1};
	g_autoptr(GError) error = NULL;
	site_world_t *world = site_world_create(&plan, &error);

	if (!world) {
		print_error("%s\n", error->message);
		return -1;
	}
	if (!site_world_wait_ready(world, START_TIMEOUT_MS)) {
		site_world_print_logs(world);
		return -1;
	}
	*state = world;
	return 0;
}

static int close_site(void **state)
{
	site_world_destroy(*state);
	return 0;
}

static line_client_t *open_as(site_world_t *world, uint32_t node,
			      const char *key, char **error)
{
	return line_client_open_as(site_world_callers_port(world, node),
				   "strict-0", key, error);
}

/* Waits until a node rejects callers with the key as unauthorized. */
static void wait_until_rejected(site_world_t *world, uint32_t node,
				const char *key)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	while (clock_now_ms() < deadline_ms) {
		g_autofree char *error = NULL;
		line_client_t *client = open_as(world, node, key, &error);

		line_client_close(client);
		if (!client && error && g_str_has_prefix(error, "UNAUTH"))
			return;
		g_usleep(RETRY_MS * 1000);
	}
	fail_msg("node %u does not reject the key", node);
}

/* Opens a session as soon as the node knows the key. */
static line_client_t *open_when_known(site_world_t *world, uint32_t node,
				      const char *key)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	while (clock_now_ms() < deadline_ms) {
		g_autofree char *error = NULL;
		line_client_t *client = open_as(world, node, key, &error);

		if (client)
			return client;
		g_usleep(RETRY_MS * 1000);
	}
	fail_msg("node %u does not know the key", node);
	return NULL;
}

static char *run_until_done(line_client_t *client, const char *text)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;
	char *row = NULL;

	while (clock_now_ms() < deadline_ms) {
		const line_result_t result =
			line_client_run(client, text, &row);

		if (result == LINE_DONE)
			return row;
		assert_int_equal(result, LINE_NO_EFFECT);
		g_usleep(RETRY_MS * 1000);
	}
	fail_msg("%s: %s", text, line_client_error(client));
	return NULL;
}

/* Guards against a node that serves callers whose key it does not know. */
static void test_unknown_keys_are_rejected(void **state)
{
	site_world_inject_fault(*state, "config?customer=acme&key=" KEY);
	for (uint32_t i = 0; i < NODES; i++) {
		line_client_t *client;

		wait_until_rejected(*state, i, UNKNOWN_KEY);
		client = open_when_known(*state, i, KEY);
		g_free(run_until_done(client, "WRITE item data"));
		line_client_close(client);
	}
}

/* A transaction that is open at a server must not be committed afterwards. */
static void test_withdrawn_key_ends_an_open_transaction(void **state)
{
	line_client_t *client = open_when_known(*state, 1, KEY);
	g_autofree char *row = NULL;

	g_free(run_until_done(client, "READ item"));
	assert_int_equal(line_client_run(client, "BEGIN", NULL), LINE_DONE);
	assert_int_equal(line_client_run(client, "WRITE ghost x", NULL),
			 LINE_DONE);
	site_world_inject_fault(*state, "config?customer=acme");
	wait_until_rejected(*state, 1, KEY);
	assert_int_equal(line_client_run(client, "COMMIT", NULL),
			 LINE_NO_EFFECT);
	assert_true(g_str_has_prefix(line_client_error(client), "ABORTED"));
	assert_int_equal(line_client_run(client, "READ item", NULL),
			 LINE_NO_ANSWER);
	assert_true(g_str_has_prefix(line_client_error(client), "UNAUTH"));
	line_client_close(client);
	site_world_inject_fault(*state, "config?customer=acme&key=" OTHER_KEY);
	client = open_when_known(*state, 1, OTHER_KEY);
	row = run_until_done(client, "READ ghost");
	assert_string_equal(row, "-");
	line_client_close(client);
}

/*
 * A server must run a statement only on a connection that was opened in the
 * name of the customer, whichever node and hub it came through.
 */
static void test_statements_run_in_the_name_of_the_customer(void **state)
{
	static const char *const names[] = {"acme", "bell"};
	static const char *const keys[] = {OTHER_KEY, KEY};
	json_t *report;
	json_t *users;

	site_world_inject_fault(*state, "config?customer=bell&key=" KEY);
	for (uint32_t i = 0; i < 4 * NODES; i++) {
		line_client_t *client =
			open_when_known(*state, i / 2 % NODES, keys[i % 2]);
		g_autofree char *text =
			g_strdup_printf("WRITE of-%s d%u", names[i % 2], i);
		g_autofree char *read =
			g_strdup_printf("READ of-%s", names[i % 2]);

		g_free(run_until_done(client, text));
		g_free(run_until_done(client, read));
		line_client_close(client);
	}
	report = http_get_json(site_world_port(*state), "/report");
	users = json_object_get(report, "users");
	assert_non_null(json_object_get(users, "of-acme acme"));
	assert_non_null(json_object_get(users, "of-bell bell"));
	assert_null(json_object_get(users, "of-acme bell"));
	assert_null(json_object_get(users, "of-bell acme"));
	assert_null(json_object_get(users, "of-acme toucanhook"));
	assert_null(json_object_get(users, "of-bell toucanhook"));
	json_decref(report);
}

static void test_logs_contain_no_key(void **state)
{
	assert_true(site_world_logs_contain(*state, "caller_unauthorized"));
	assert_false(site_world_logs_contain(*state, "caller-secret"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unknown_keys_are_rejected),
		cmocka_unit_test(test_withdrawn_key_ends_an_open_transaction),
		cmocka_unit_test(
			test_statements_run_in_the_name_of_the_customer),
		cmocka_unit_test(test_logs_contain_no_key),
	};

	return cmocka_run_group_tests(tests, open_site, close_site);
}

#include <setjmp.h>
#include <signal.h>
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
#define RETRY_MS 100

static int open_site(void **state)
{
	static const site_plan_t plan = {.nodes = 3, .groups = 1, .seed = 1};
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

static line_client_t *open_client(site_world_t *world, uint32_t node,
				  const char *database)
{
	line_client_t *client = line_client_open(
		site_world_callers_port(world, node), database);

	assert_non_null(client);
	return client;
}

/*
 * Repeats a statement until it is executed, as callers do after an error which
 * guarantees that nothing was written.
 */
static char *run_until_done(line_client_t *client, const char *text)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;
	line_result_t result;
	char *row = NULL;

	do {
		result = line_client_run(client, text, &row);
		if (result == LINE_DONE)
			return row;
		assert_int_equal(result, LINE_NO_EFFECT);
		g_usleep(RETRY_MS * 1000);
	} while (clock_now_ms() < deadline_ms);
	fail_msg("%s was not executed in time: %s", text,
		 line_client_error(client));
	return NULL;
}

/*
 * Repeats a write with new data until it is executed. The data differs because
 * a write whose outcome is unknown may have taken effect.
 */
static char *write_until_done(line_client_t *client, const char *item)
{
	const uint64_t deadline_ms = clock_now_ms() + SERVE_TIMEOUT_MS;

	for (uint32_t i = 0; clock_now_ms() < deadline_ms; i++) {
		g_autofree char *data = g_strdup_printf("%s-%u", item, i);
		g_autofree char *text =
			g_strdup_printf("WRITE %s %s", item, data);
		const line_result_t result =
			line_client_run(client, text, NULL);

		if (result == LINE_DONE)
			return g_steal_pointer(&data);
		assert_int_not_equal(result, LINE_NO_ANSWER);
		g_usleep(RETRY_MS * 1000);
	}
	fail_msg("%s was not written in time: %s", item,
		 line_client_error(client));
	return NULL;
}

static void test_every_node_serves_own_changes(void **state)
{
	site_world_t *world = *state;

	for (uint32_t i = 0; i < 3; i++) {
		line_client_t *client = open_client(world, i, "own-0");
		g_autofree char *write =
			g_strdup_printf("WRITE item%u data%u", i, i);
		g_autofree char *read = g_strdup_printf("READ item%u", i);
		g_autofree char *data = g_strdup_printf("data%u", i);
		g_autofree char *row = NULL;

		g_free(run_until_done(client, write));
		row = run_until_done(client, read);
		assert_string_equal(row, data);
		line_client_close(client);
	}
}

/* No key and no session is needed to ask where a statement would go. */
static void test_node_explains_where_a_statement_goes(void **state)
{
	const uint16_t port = site_world_metrics_port(*state, 0);
	g_autofree char *read = NULL;
	g_autofree char *write = NULL;
	g_autofree char *metrics = NULL;

	assert_int_equal(http_request(HTTP_REQUEST_GET, port,
				      "/explain?database=own-0", NULL, &read),
			 200);
	assert_non_null(strstr(read, "choice server="));
	assert_int_equal(http_request(HTTP_REQUEST_GET, port,
				      "/explain?database=own-0&write=1", NULL,
				      &write),
			 200);
	assert_non_null(strstr(write, "reason=needs_primary"));
	assert_int_equal(http_request(HTTP_REQUEST_GET, port,
				      "/explain?database=none", NULL, NULL),
			 404);
	assert_int_equal(http_request(HTTP_REQUEST_GET, port, "/metrics", NULL,
				      &metrics),
			 200);
	assert_non_null(strstr(metrics, "toucanhook_reads_placed_total"));
	print_message("%s", read);
}

static void test_other_node_reads_it_at_the_primary(void **state)
{
	site_world_t *world = *state;
	line_client_t *writer = open_client(world, 0, "strict-0");
	line_client_t *reader = open_client(world, 1, "strict-0");
	g_autofree char *row = NULL;

	g_free(run_until_done(writer, "WRITE booking one"));
	row = run_until_done(reader, "READ booking");
	assert_string_equal(row, "one");
	line_client_close(writer);
	line_client_close(reader);
}

static void test_transaction_with_prepared_names_and_values(void **state)
{
	site_world_t *world = *state;
	line_client_t *client = open_client(world, 2, "own-0");
	g_autofree char *row = NULL;

	assert_int_equal(line_client_run(client, "SET unit mm", NULL),
			 LINE_DONE);
	assert_int_equal(line_client_run(client, "PREPARE w WRITE q", NULL),
			 LINE_DONE);
	assert_int_equal(line_client_run(client, "BEGIN", NULL), LINE_DONE);
	assert_int_equal(line_client_status(client), 'T');
	assert_int_equal(line_client_run(client, "EXECUTE w lot 7", NULL),
			 LINE_DONE);
	assert_int_equal(line_client_run(client, "COMMIT", NULL), LINE_DONE);
	assert_int_equal(line_client_status(client), 'I');
	row = run_until_done(client, "READ lot");
	assert_string_equal(row, "7");
	line_client_close(client);
}

static void test_rolled_back_transaction_leaves_nothing(void **state)
{
	site_world_t *world = *state;
	line_client_t *client = open_client(world, 0, "strict-0");
	g_autofree char *row = NULL;

	assert_int_equal(line_client_run(client, "BEGIN", NULL), LINE_DONE);
	assert_int_equal(line_client_run(client, "WRITE ghost x", NULL),
			 LINE_DONE);
	assert_int_equal(line_client_run(client, "ROLLBACK", NULL), LINE_DONE);
	row = run_until_done(client, "READ ghost");
	assert_string_equal(row, "-");
	line_client_close(client);
}

static void test_wrong_statements_get_clear_errors(void **state)
{
	site_world_t *world = *state;
	line_client_t *client = open_client(world, 0, "own-0");

	assert_null(
		line_client_open(site_world_callers_port(world, 0), "nowhere"));
	assert_int_equal(line_client_run(client, "DROP everything", NULL),
			 LINE_ERROR);
	assert_non_null(strstr(line_client_error(client), "MALFORMED"));
	assert_int_equal(line_client_run(client, "EXECUTE nope x", NULL),
			 LINE_ERROR);
	assert_non_null(strstr(line_client_error(client), "UNKNOWN"));
	assert_int_equal(line_client_run(client, "AFTER 1.1 READ a", NULL),
			 LINE_ERROR);
	line_client_close(client);
}

static void assert_report(site_world_t *world, const char *kept)
{
	json_t *report = http_get_json(site_world_port(world), "/report");

	assert_non_null(report);
	assert_non_null(json_object_get(json_object_get(report, "kept"), kept));
	assert_int_equal(json_integer_value(json_object_get(report, "twice")),
			 0);
	assert_int_equal(
		json_integer_value(json_object_get(report, "token_steps_back")),
		0);
	json_decref(report);
}

static void test_lost_primary_is_replaced(void **state)
{
	site_world_t *world = *state;
	line_client_t *client = open_client(world, 1, "strict-0");
	g_autofree char *after = NULL;
	g_autofree char *row = NULL;

	g_free(run_until_done(client, "WRITE before yes"));
	/* Gives the replicas time to apply the write. */
	g_usleep(200 * 1000);
	site_world_inject_fault(world, "crash?server=group0-0&for_ms=60000");
	after = write_until_done(client, "after");
	row = run_until_done(client, "READ before");
	assert_string_equal(row, "yes");
	assert_report(world, after);
	line_client_close(client);
}

static void test_callers_are_served_during_store_outage(void **state)
{
	site_world_t *world = *state;
	line_client_t *client = open_client(world, 0, "strict-0");

	site_world_inject_fault(world, "store-down?for_ms=3000");
	for (uint32_t i = 0; i < 20; i++) {
		g_autofree char *write = g_strdup_printf("WRITE away v%u", i);

		g_free(run_until_done(client, write));
		g_usleep(100 * 1000);
	}
	line_client_close(client);
}

/* A session that the draining node accepts must get an answer. */
static void read_at_leaving_node(site_world_t *world)
{
	line_client_t *client =
		line_client_open(site_world_callers_port(world, 2), "own-0");

	if (!client) {
		g_usleep(1000);
		return;
	}
	assert_int_not_equal(line_client_run(client, "READ leaving", NULL),
			     LINE_NO_ANSWER);
	line_client_close(client);
}

#define BUSY_CALLERS 6
#define STATEMENT_PAUSE_MS 100
#define TRANSACTION_STATEMENTS 4

/* Callers that run one transaction after the other at a node that leaves. */
typedef struct {
	site_world_t *world;
	const char *const *texts; /* the statements of a transaction */
	gint ended;
	gint lost; /* statements that were never answered */
} busy_callers_t;

/* As the last statement: the one before it is repeated without a pause. */
#define ENDLESS NULL

/* @return the result of the first repetition that is not done */
static line_result_t repeat(line_client_t *client, const char *text)
{
	line_result_t result;

	do
		result = line_client_run(client, text, NULL);
	while (result == LINE_DONE);
	return result;
}

/*
 * Runs a transaction with pauses between its statements.
 *
 * @return whether every statement was answered
 */
static bool run_transaction(line_client_t *client, const char *const *texts)
{
	for (size_t i = 0; i < TRANSACTION_STATEMENTS; i++) {
		const line_result_t result =
			texts[i] == ENDLESS ?
				repeat(client, texts[i - 1]) :
				line_client_run(client, texts[i], NULL);

		if (result != LINE_DONE)
			return result != LINE_NO_ANSWER;
		g_usleep(STATEMENT_PAUSE_MS * 1000);
	}
	return true;
}

static void *run_until_ended(void *context)
{
	busy_callers_t *callers = context;
	const uint16_t port = site_world_callers_port(callers->world, 2);

	while (!g_atomic_int_get(&callers->ended)) {
		line_client_t *client = line_client_open(port, "own-0");

		if (!client) {
			g_usleep(1000);
			continue;
		}
		if (!run_transaction(client, callers->texts))
			g_atomic_int_inc(&callers->lost);
		line_client_close(client);
	}
	return NULL;
}

/*
 * Callers connect until the node's process ends, so that the node is never idle
 * while it drains. Every accepted statement must be answered.
 */
static void assert_busy_node_answers(site_world_t *world,
				     const char *const *texts)
{
	busy_callers_t callers = {.world = world, .texts = texts};
	const uint64_t deadline_ms = clock_now_ms() + START_TIMEOUT_MS;
	GThread *threads[BUSY_CALLERS];

	for (uint32_t i = 0; i < BUSY_CALLERS; i++)
		threads[i] = g_thread_new("caller", run_until_ended, &callers);
	g_usleep(RETRY_MS * 1000);
	site_world_signal(world, 2, SIGTERM);
	while (site_world_is_running(world, 2) && clock_now_ms() < deadline_ms)
		g_usleep(1000);
	g_atomic_int_set(&callers.ended, 1);
	for (uint32_t i = 0; i < BUSY_CALLERS; i++)
		g_thread_join(threads[i]);
	assert_false(site_world_is_running(world, 2));
	assert_int_equal(callers.lost, 0);
	assert_true(site_world_restart(world, 2));
	assert_true(site_world_wait_ready(world, START_TIMEOUT_MS));
}

static void test_busy_node_answers_until_it_stops(void **state)
{
	static const char *const texts[TRANSACTION_STATEMENTS] = {
		"BEGIN", "READ leaving", "READ leaving", "COMMIT"};

	assert_busy_node_answers(*state, texts);
}

/*
 * The transaction was never ended, because a statement ran whenever that was
 * tried, and the last statement was cut with the process.
 */
static void test_endless_transactions_are_ended_and_answered(void **state)
{
	static const char *const texts[TRANSACTION_STATEMENTS] = {
		"BEGIN", "READ leaving", "WRITE leaving 2", ENDLESS};

	assert_busy_node_answers(*state, texts);
}

static void test_leaving_node_ends_sessions_and_stops(void **state)
{
	site_world_t *world = *state;
	line_client_t *client = open_client(world, 2, "own-0");
	const uint64_t deadline_ms = clock_now_ms() + START_TIMEOUT_MS;

	g_free(run_until_done(client, "WRITE leaving 1"));
	site_world_signal(world, 2, SIGTERM);
	while (site_world_is_running(world, 2) && clock_now_ms() < deadline_ms)
		read_at_leaving_node(world);
	assert_false(site_world_is_running(world, 2));
	line_client_close(client);
	assert_true(site_world_restart(world, 2));
	assert_true(site_world_wait_ready(world, START_TIMEOUT_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_node_serves_own_changes),
		cmocka_unit_test(test_node_explains_where_a_statement_goes),
		cmocka_unit_test(test_other_node_reads_it_at_the_primary),
		cmocka_unit_test(
			test_transaction_with_prepared_names_and_values),
		cmocka_unit_test(test_rolled_back_transaction_leaves_nothing),
		cmocka_unit_test(test_wrong_statements_get_clear_errors),
		cmocka_unit_test(test_callers_are_served_during_store_outage),
		cmocka_unit_test(test_lost_primary_is_replaced),
		cmocka_unit_test(test_leaving_node_ends_sessions_and_stops),
		cmocka_unit_test(test_busy_node_answers_until_it_stops),
		cmocka_unit_test(
			test_endless_transactions_are_ended_and_answered),
	};

	return cmocka_run_group_tests(tests, open_site, close_site);
}

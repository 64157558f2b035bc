#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <event2/event.h>
#include <glib.h>

#include "daemon/dispatch_task.h"

/* Fake node that records the latest request and is answered by the test. */
typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	group_table_t *table;
	dispatch_task_t *dispatch;
	uint32_t submitted;
	uint64_t request_id;
	uint64_t term;
	uint64_t lease_id;
	char server[64];
	answer_sink_t sink;
	uint32_t barriers;
	void (*barrier_done)(void *context, log_point_t point);
	void *barrier_context;
	uint32_t ended;
	uint32_t cancelled;
	answer_t answer;
} fake_node_t;

static config_server_t servers[] = {
	{.name = "s-a", .failure_domain = "akl-a"},
	{.name = "s-b", .failure_domain = "akl-a"},
};
static config_database_t database = {.name = "pairs",
				     .servers = servers,
				     .servers_count = 2};
static config_service_t service = {.name = "match",
				   .owners = 1,
				   .databases = &database,
				   .databases_count = 1};
static const config_t config = {.limits = {.catch_up_ms = 100},
				.services = &service,
				.services_count = 1};

static void fake_submit(void *context, const char *node,
			const request_t *request, answer_sink_t sink)
{
	fake_node_t *fake = context;

	fake->submitted++;
	fake->request_id = request->request_id;
	fake->term = request->term;
	fake->lease_id = request->lease_id;
	g_strlcpy(fake->server, request->server, sizeof(fake->server));
	fake->sink = sink;
}

static void fake_cancel(void *context, const char *node, uint64_t request_id,
			void *sink_context)
{
	((fake_node_t *)context)->cancelled++;
}

static void fake_release(void *context, const char *node, uint64_t lease_id)
{
	((fake_node_t *)context)->lease_id = lease_id;
}

static uint32_t fake_owners(void *context, const config_service_t *of,
			    const config_server_t *server, const char **nodes)
{
	nodes[0] = "n1";
	return 1;
}

static void fake_barrier(void *context, const char *name, uint32_t timeout_ms,
			 void (*done)(void *context, log_point_t point),
			 void *done_context)
{
	fake_node_t *fake = context;

	fake->barriers++;
	fake->barrier_done = done;
	fake->barrier_context = done_context;
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	fake_node_t *fake = context;

	fake->ended++;
	fake->answer = *answer;
}

static int setup(void **state)
{
	fake_node_t *fake = g_new0(fake_node_t, 1);

	fake->base = event_base_new();
	fake->metrics = metrics_create(16);
	fake->table = group_table_create();
	fake->dispatch = dispatch_task_create(
		fake->base, fake->metrics, "n1", "akl-a", fake->table,
		(dispatch_handlers_t){fake_submit, fake_cancel, fake_release,
				      fake_owners, fake_barrier, fake});
	dispatch_task_configure(fake->dispatch, &config);
	group_table_update(fake->table, "pairs", 1, "s-a");
	*state = fake;
	return 0;
}

static int teardown(void **state)
{
	fake_node_t *fake = *state;

	dispatch_task_destroy(fake->dispatch);
	group_table_destroy(fake->table);
	metrics_destroy(fake->metrics);
	event_base_free(fake->base);
	g_free(fake);
	return 0;
}

static void submit_request(fake_node_t *fake, request_kind_t kind,
			   const char *key, uint64_t lease_id)
{
	g_autoptr(request_t) request = request_new();

	request->request_id = 7;
	request->database = g_strdup("pairs");
	request->tenant = g_strdup("match");
	request->request_key = g_strdup(key);
	request->kind = kind;
	request->lease_id = lease_id;
	request->timeout_ms = 60000;
	dispatch_task_submit(fake->dispatch, request,
			     (answer_sink_t){on_chunk, on_end, fake});
	while (!fake->submitted && !fake->ended)
		event_base_loop(fake->base, EVLOOP_ONCE);
}

static void answer_attempt(fake_node_t *fake, outcome_t outcome,
			   reason_t reason, uint64_t lease_id)
{
	const answer_t answer = {
		.outcome = outcome, .reason = reason, .lease_id = lease_id};
	const answer_sink_t sink = fake->sink;

	fake->submitted = 0;
	sink.end(sink.context, fake->request_id, &answer);
}

static void promote(fake_node_t *fake)
{
	group_table_update(fake->table, "pairs", 2, "s-b");
	dispatch_task_primary_changed(fake->dispatch, "pairs");
}

static void test_change_not_run_waits_for_the_next_primary(void **state)
{
	fake_node_t *fake = *state;

	submit_request(fake, REQUEST_WRITE, NULL, 0);
	assert_string_equal(fake->server, "s-a");
	answer_attempt(fake, OUTCOME_NOT_RUN, REASON_UNREACHABLE, 0);
	while (!fake->barriers)
		event_base_loop(fake->base, EVLOOP_ONCE);
	assert_int_equal(fake->submitted, 0);
	promote(fake);
	assert_int_equal(fake->submitted, 1);
	assert_string_equal(fake->server, "s-b");
	assert_int_equal(fake->term, 2);
	answer_attempt(fake, OUTCOME_DONE, REASON_NONE, 0);
	assert_int_equal(fake->ended, 1);
	assert_int_equal(fake->answer.outcome, OUTCOME_DONE);
}

static void test_successful_barrier_resumes_waiting_requests(void **state)
{
	fake_node_t *fake = *state;

	submit_request(fake, REQUEST_WRITE, NULL, 0);
	answer_attempt(fake, OUTCOME_NOT_RUN, REASON_UNREACHABLE, 0);
	while (!fake->barriers)
		event_base_loop(fake->base, EVLOOP_ONCE);
	fake->barrier_done(fake->barrier_context, (log_point_t){1, 5});
	assert_int_equal(fake->submitted, 1);
	answer_attempt(fake, OUTCOME_DONE, REASON_NONE, 0);
}

static void test_unknown_change_is_never_run_again(void **state)
{
	fake_node_t *fake = *state;

	submit_request(fake, REQUEST_WRITE, NULL, 0);
	answer_attempt(fake, OUTCOME_UNKNOWN, REASON_LOST_ANSWER, 0);
	assert_int_equal(fake->ended, 1);
	assert_int_equal(fake->answer.outcome, OUTCOME_UNKNOWN);
	promote(fake);
	assert_int_equal(fake->submitted, 0);
}

static void test_unknown_change_with_a_key_is_run_again(void **state)
{
	fake_node_t *fake = *state;

	submit_request(fake, REQUEST_WRITE, "booking-7", 0);
	answer_attempt(fake, OUTCOME_UNKNOWN, REASON_LOST_ANSWER, 0);
	assert_int_equal(fake->ended, 0);
	promote(fake);
	assert_int_equal(fake->submitted, 1);
	answer_attempt(fake, OUTCOME_DONE, REASON_NONE, 0);
	assert_int_equal(fake->answer.outcome, OUTCOME_DONE);
}

static void test_transaction_stays_on_its_lease(void **state)
{
	fake_node_t *fake = *state;
	uint64_t lease_id;

	submit_request(fake, REQUEST_TRANSACTION, NULL, 0);
	answer_attempt(fake, OUTCOME_DONE, REASON_NONE, 900);
	lease_id = fake->answer.lease_id;
	assert_int_not_equal(lease_id, 0);
	promote(fake);
	fake->ended = 0;
	submit_request(fake, REQUEST_TRANSACTION, NULL, lease_id);
	assert_string_equal(fake->server, "s-a");
	assert_int_equal(fake->lease_id, 900);
	answer_attempt(fake, OUTCOME_NOT_RUN, REASON_OTHER_TERM, 0);
	assert_int_equal(fake->ended, 1);
	/* An answer without a lease ends the lease. */
	fake->ended = 0;
	submit_request(fake, REQUEST_TRANSACTION, NULL, lease_id);
	assert_int_equal(fake->answer.reason, REASON_UNKNOWN_LEASE);
}

/* A primary that is frozen or cut off would leave its attempts unanswered. */
static void test_attempt_on_a_replaced_primary_is_cancelled(void **state)
{
	fake_node_t *fake = *state;

	submit_request(fake, REQUEST_WRITE, NULL, 0);
	promote(fake);
	assert_int_equal(fake->ended, 0);
	while (!fake->ended)
		event_base_loop(fake->base, EVLOOP_ONCE);
	assert_int_equal(fake->answer.outcome, OUTCOME_UNKNOWN);
	assert_int_equal(fake->cancelled, 1);
}

static void test_answer_of_a_replaced_primary_in_time_is_used(void **state)
{
	fake_node_t *fake = *state;

	submit_request(fake, REQUEST_WRITE, NULL, 0);
	promote(fake);
	answer_attempt(fake, OUTCOME_NOT_RUN, REASON_OTHER_TERM, 0);
	assert_int_equal(fake->submitted, 1);
	assert_string_equal(fake->server, "s-b");
	/* The first attempt's timer must not cancel the second attempt. */
	assert_int_equal(event_base_loop(fake->base, EVLOOP_ONCE), 1);
	assert_int_equal(fake->cancelled, 0);
	answer_attempt(fake, OUTCOME_DONE, REASON_NONE, 0);
	assert_int_equal(fake->answer.outcome, OUTCOME_DONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_change_not_run_waits_for_the_next_primary, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_successful_barrier_resumes_waiting_requests, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_unknown_change_is_never_run_again, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_unknown_change_with_a_key_is_run_again, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_transaction_stays_on_its_lease, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_attempt_on_a_replaced_primary_is_cancelled, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_answer_of_a_replaced_primary_in_time_is_used,
			setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

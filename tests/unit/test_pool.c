#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "base/clock.h"
#include "daemon/pool_task.h"
#include "unit/fake_backend.h"

#define SHARE 2
#define TIMEOUT_MS 2000
#define LOOP_TIMEOUT_MS 10000

/* One pool with one backend server, all on one event base. */
typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	config_t config;
	config_service_t service;
	config_database_t database;
	config_server_t server;
	config_class_t class;
	pool_task_t *pool;
	fake_backend_t *backend;
	uint64_t next_id;
	/* Answers of the fake group task. */
	bool fresh;
	bool catches_up;
	log_point_t replayed;
	uint32_t confirms; /* calls of confirm() */
	uint32_t failures; /* calls of server_failed() */
} pool_fixture_t;

/* A submitted request and its answer. */
typedef struct {
	uint64_t request_id;
	bool ended;
	answer_t answer;
	GString *types; /* types of the messages received */
} call_t;

static pool_fixture_t fixture;

/* A deferred answer of the group task, which never calls back at once. */
typedef struct {
	pool_done_t done;
	void *context;
	bool value;
} deferred_answer_t;

static void on_deferred_answer(evutil_socket_t fd, short what, void *data)
{
	deferred_answer_t *deferred = data;

	deferred->done(deferred->context, deferred->value);
	g_free(deferred);
}

static void defer_answer(pool_done_t done, void *context, bool value)
{
	const struct timeval now = {0};
	deferred_answer_t *deferred = g_new(deferred_answer_t, 1);

	*deferred = (deferred_answer_t){done, context, value};
	event_base_once(fixture.base, -1, EV_TIMEOUT, on_deferred_answer,
			deferred, &now);
}

static void confirm(void *context, const char *database, log_point_t point,
		    uint32_t timeout_ms, pool_done_t done, void *done_context)
{
	fixture.confirms++;
	defer_answer(done, done_context, true);
}

static void wait_replayed(void *context, const char *database,
			  const char *server, log_point_t point,
			  uint32_t timeout_ms, pool_done_t done,
			  void *done_context)
{
	defer_answer(done, done_context, fixture.catches_up);
}

static bool is_fresh(void *context, const char *database, const char *server,
		     uint32_t max_age_ms)
{
	return fixture.fresh;
}

static log_point_t replayed(void *context, const char *database,
			    const char *server)
{
	return fixture.replayed;
}

static void server_failed(void *context, const char *database,
			  const char *server)
{
	fixture.failures++;
}

static void newest(void *context, const char *database, answer_t *answer)
{
	answer->primary_term = 7;
}

static int set_up(void **state)
{
	const pool_group_t group = {confirm,  wait_replayed, is_fresh,
				    replayed, server_failed, newest,
				    NULL};

	memset(&fixture, 0, sizeof(fixture));
	fixture.base = event_base_new();
	fixture.metrics = metrics_create(100);
	fixture.backend = fake_backend_create(fixture.base);
	fixture.class = (config_class_t){"urgent", 1, 3, 0, TIMEOUT_MS};
	fixture.server = (config_server_t){"akl-1", "akl", "127.0.0.1",
					   fixture.backend->port, false};
	fixture.database =
		(config_database_t){"match", "akl-1", &fixture.server, 1};
	fixture.service = (config_service_t){
		.name = "match-core",
		.backend_user = "toucanhook",
		.databases = &fixture.database,
		.databases_count = 1,
		.classes = &fixture.class,
		.classes_count = 1,
	};
	fixture.config =
		(config_t){.services = &fixture.service, .services_count = 1};
	fixture.pool = pool_task_create(fixture.base, fixture.metrics, group);
	pool_task_configure(fixture.pool, &fixture.config);
	pool_task_set_share(fixture.pool, "match", "akl-1", SHARE);
	return 0;
}

static int tear_down(void **state)
{
	pool_task_destroy(fixture.pool);
	fake_backend_destroy(fixture.backend);
	event_base_free(fixture.base);
	metrics_destroy(fixture.metrics);
	return 0;
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	call_t *call = context;
	gsize size = 0;
	const uint8_t *data = g_bytes_get_data(bytes, &size);
	pg_message_t message = {0};
	size_t used = 0;

	assert_false(call->ended);
	assert_int_equal(request_id, call->request_id);
	while (pg_frame_next(data + used, size - used, SIZE_MAX, &message) ==
	       PG_FRAME_READY) {
		g_string_append_c(call->types, message.type);
		used += message.size_bytes;
	}
	assert_int_equal(used, size);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	call_t *call = context;

	assert_false(call->ended);
	call->ended = true;
	call->answer = *answer;
}

static request_t *request(request_kind_t kind, const char *sql, uint64_t term)
{
	request_t *request = request_new();
	GByteArray *bytes = g_byte_array_new();

	pg_write_query(bytes, sql);
	request->session_id = 1;
	request->database = g_strdup("match");
	request->server = g_strdup("akl-1");
	request->tenant = g_strdup("match-core");
	request->kind = kind;
	request->term = term;
	request->timeout_ms = TIMEOUT_MS;
	request->bytes = g_byte_array_free_to_bytes(bytes);
	return request;
}

/* Submits and frees the request, which must not end during the call. */
static call_t *submit(request_t *request)
{
	call_t *call = g_new0(call_t, 1);
	const answer_sink_t sink = {on_chunk, on_end, call};

	call->types = g_string_new("");
	call->request_id = ++fixture.next_id;
	request->request_id = call->request_id;
	pool_task_submit(fixture.pool, request, sink);
	request_delete(request);
	assert_false(call->ended);
	return call;
}

static void run_until(const bool *condition)
{
	const uint64_t loop_deadline_ms = clock_now_ms() + LOOP_TIMEOUT_MS;

	while (!*condition && clock_now_ms() < loop_deadline_ms)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	assert_true(*condition);
}

static void call_free(call_t *call)
{
	g_string_free(call->types, TRUE);
	g_free(call);
}

/* Waits for the end of a call, checks its outcome and returns its answer. */
static answer_t finish(call_t *call, outcome_t outcome, reason_t reason)
{
	answer_t answer;

	run_until(&call->ended);
	answer = call->answer;
	if (call->answer.outcome != outcome || call->answer.reason != reason)
		fail_msg("%s %s", outcome_name(call->answer.outcome),
			 reason_name(call->answer.reason));
	call_free(call);
	return answer;
}

static answer_t run_request(request_t *request, outcome_t outcome,
			    reason_t reason)
{
	return finish(submit(request), outcome, reason);
}

static void assert_received(const char *text)
{
	g_autofree char *statements = fake_statements(fixture.backend);

	if (!strstr(statements, text))
		fail_msg("not received: %s; received: %s", text, statements);
}

static void test_replica_must_have_replayed_the_point(void **state)
{
	request_t *behind = request(REQUEST_READ, "SELECT conn", 0);
	request_t *caught_up = request(REQUEST_READ, "SELECT conn", 0);

	behind->at_least = (log_point_t){2, 5};
	caught_up->at_least = (log_point_t){2, 5};
	fixture.replayed = (log_point_t){2, 4};
	run_request(behind, OUTCOME_NOT_RUN, REASON_BEHIND);
	assert_int_equal(g_atomic_int_get(&fixture.backend->connections), 0);
	fixture.catches_up = true;
	assert_int_equal(run_request(caught_up, OUTCOME_DONE, REASON_NONE)
				 .point.position,
			 5);
}

static void test_maximum_age_must_be_proven(void **state)
{
	request_t *stale = request(REQUEST_READ, "SELECT conn", 0);
	request_t *fresh = request(REQUEST_READ, "SELECT conn", 0);

	stale->max_age_ms = 100;
	fresh->max_age_ms = 100;
	run_request(stale, OUTCOME_NOT_RUN, REASON_STALE);
	fixture.fresh = true;
	run_request(fresh, OUTCOME_DONE, REASON_NONE);
}

static void test_change_needs_a_term(void **state)
{
	run_request(request(REQUEST_WRITE, "INSERT", 0), OUTCOME_NOT_RUN,
		    REASON_NOT_PRIMARY);
	run_request(request(REQUEST_TRANSACTION, "BEGIN", 0), OUTCOME_NOT_RUN,
		    REASON_NOT_PRIMARY);
	assert_int_equal(g_atomic_int_get(&fixture.backend->connections), 0);
	run_request(request(REQUEST_WRITE, "INSERT", 3), OUTCOME_DONE,
		    REASON_NONE);
	assert_received(
		"1 SET replication.term = '3'\n1 INSERT\n1 SELECT * FROM "
		"group_point()\n");
	assert_int_equal(fixture.confirms, 1);
	run_request(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_DONE,
		    REASON_NONE);
	assert_received("1 SET replication.term = '0'\n1 SELECT conn\n");
}

static void test_only_an_owner_serves(void **state)
{
	request_t *other = request(REQUEST_READ, "SELECT conn", 0);

	g_free(other->server);
	other->server = g_strdup("akl-2");
	run_request(other, OUTCOME_NOT_RUN, REASON_NOT_OWNER);
	run_request(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_DONE,
		    REASON_NONE);
	pool_task_set_share(fixture.pool, "match", "akl-1", 0);
	run_request(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_NOT_RUN,
		    REASON_NOT_OWNER);
}

static void test_transaction_continues_after_ownership_ends(void **state)
{
	answer_t answer = run_request(request(REQUEST_TRANSACTION, "BEGIN", 1),
				      OUTCOME_DONE, REASON_NONE);
	request_t *commit = request(REQUEST_TRANSACTION, "COMMIT", 0);

	assert_int_equal(answer.transaction_status, 'T');
	assert_true(answer.lease_id != 0);
	fixture.server.leaving = true;
	pool_task_configure(fixture.pool, &fixture.config);
	run_request(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_NOT_RUN,
		    REASON_LEAVING);
	pool_task_set_share(fixture.pool, "match", "akl-1", 0);
	assert_int_equal(pool_task_busy_count(fixture.pool), 1);
	commit->lease_id = answer.lease_id;
	answer = run_request(commit, OUTCOME_DONE, REASON_NONE);
	assert_int_equal(answer.lease_id, 0);
	assert_int_equal(fixture.confirms, 1);
	assert_int_equal(pool_task_busy_count(fixture.pool), 0);
}

static void test_lease_belongs_to_its_session(void **state)
{
	const answer_t answer =
		run_request(request(REQUEST_TRANSACTION, "BEGIN", 1),
			    OUTCOME_DONE, REASON_NONE);
	request_t *other_session = request(REQUEST_TRANSACTION, "COMMIT", 0);
	request_t *after_release = request(REQUEST_TRANSACTION, "COMMIT", 0);

	other_session->lease_id = answer.lease_id;
	other_session->session_id = 2;
	run_request(other_session, OUTCOME_NOT_RUN, REASON_UNKNOWN_LEASE);
	pool_task_release(fixture.pool, answer.lease_id);
	after_release->lease_id = answer.lease_id;
	run_request(after_release, OUTCOME_NOT_RUN, REASON_UNKNOWN_LEASE);
	run_request(request(REQUEST_READ, "SELECT conn", 1), OUTCOME_DONE,
		    REASON_NONE);
	assert_received("1 ROLLBACK\n");
}

static void test_queue_is_bounded(void **state)
{
	call_t *calls[SHARE + 4];
	size_t i;

	for (i = 0; i < SHARE; i++)
		calls[i] = submit(request(REQUEST_READ, "SELECT hang()", 0));
	while (fixture.backend->statements->len < SHARE)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	for (; i < G_N_ELEMENTS(calls); i++)
		calls[i] = submit(request(REQUEST_READ, "SELECT conn", 0));
	/* The class has a queue limit of 3. */
	finish(calls[SHARE + 3], OUTCOME_NOT_RUN, REASON_OVERLOADED);
	for (i = 0; i < SHARE; i++) {
		pool_task_cancel(fixture.pool, calls[i]->request_id, calls[i]);
		call_free(calls[i]);
	}
	for (i = SHARE; i < SHARE + 3; i++)
		finish(calls[i], OUTCOME_DONE, REASON_NONE);
}

static void test_queued_requests_are_refused_when_ownership_ends(void **state)
{
	call_t *runs[SHARE];
	call_t *queued = NULL;
	size_t i;

	for (i = 0; i < SHARE; i++)
		runs[i] = submit(request(REQUEST_READ, "SELECT hang()", 0));
	while (fixture.backend->statements->len < SHARE)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	queued = submit(request(REQUEST_READ, "SELECT conn", 0));
	pool_task_set_share(fixture.pool, "match", "akl-1", 0);
	finish(queued, OUTCOME_NOT_RUN, REASON_NOT_OWNER);
	for (i = 0; i < SHARE; i++)
		finish(runs[i], OUTCOME_NOT_RUN, REASON_DEADLINE);
}

static void test_unreachable_server_is_reported(void **state)
{
	fixture.server.port = 1;
	pool_task_configure(fixture.pool, &fixture.config);
	run_request(request(REQUEST_WRITE, "INSERT", 1), OUTCOME_NOT_RUN,
		    REASON_UNREACHABLE);
	assert_true(fixture.failures > 0);
}

static void test_answer_reports_the_newest_term(void **state)
{
	const answer_t answer =
		run_request(request(REQUEST_WRITE, "fail TH001", 1),
			    OUTCOME_NOT_RUN, REASON_OTHER_TERM);

	assert_int_equal(answer.primary_term, 7);
}

static void test_cancelled_request_does_not_call_its_sink(void **state)
{
	call_t *call = submit(request(REQUEST_WRITE, "SELECT hang()", 1));

	while (fixture.backend->statements->len < 2)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	pool_task_cancel(fixture.pool, call->request_id, call);
	while (fixture.backend->statements->len < 3 ||
	       g_atomic_int_get(&fixture.backend->open))
		event_base_loop(fixture.base, EVLOOP_ONCE);
	assert_false(call->ended);
	assert_int_equal(pool_task_busy_count(fixture.pool), 0);
	assert_received("2 cancel 1\n");
	call_free(call);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_replica_must_have_replayed_the_point),
		TEST(test_maximum_age_must_be_proven),
		TEST(test_change_needs_a_term),
		TEST(test_only_an_owner_serves),
		TEST(test_transaction_continues_after_ownership_ends),
		TEST(test_lease_belongs_to_its_session),
		TEST(test_queue_is_bounded),
		TEST(test_queued_requests_are_refused_when_ownership_ends),
		TEST(test_unreachable_server_is_reported),
		TEST(test_answer_reports_the_newest_term),
		TEST(test_cancelled_request_does_not_call_its_sink),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

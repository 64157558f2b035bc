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
#define GIVE_UP_MS 10000

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
} world_t;

/* A submitted request and its answer. */
typedef struct {
	uint64_t request_id;
	bool ended;
	answer_t answer;
	GString *types; /* types of the messages received */
} call_t;

static world_t world;

/* A deferred answer of the group task, which never calls back at once. */
typedef struct {
	pool_confirmed_t done;
	void *context;
	bool value;
} later_t;

static void on_later(evutil_socket_t fd, short what, void *data)
{
	later_t *later = data;

	later->done(later->context, later->value);
	g_free(later);
}

static void call_later(pool_confirmed_t done, void *context, bool value)
{
	const struct timeval now = {0};
	later_t *later = g_new(later_t, 1);

	*later = (later_t){done, context, value};
	event_base_once(world.base, -1, EV_TIMEOUT, on_later, later, &now);
}

static void confirm(void *context, const char *database, log_point_t point,
		    uint32_t timeout_ms, pool_confirmed_t done,
		    void *done_context)
{
	world.confirms++;
	call_later(done, done_context, true);
}

static void wait_replayed(void *context, const char *database,
			  const char *server, log_point_t point,
			  uint32_t timeout_ms, pool_confirmed_t done,
			  void *done_context)
{
	call_later(done, done_context, world.catches_up);
}

static bool is_fresh(void *context, const char *database, const char *server,
		     uint32_t max_age_ms)
{
	return world.fresh;
}

static log_point_t replayed(void *context, const char *database,
			    const char *server)
{
	return world.replayed;
}

static void server_failed(void *context, const char *database,
			  const char *server)
{
	world.failures++;
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

	memset(&world, 0, sizeof(world));
	world.base = event_base_new();
	world.metrics = metrics_create(100);
	world.backend = fake_backend_create(world.base);
	world.class = (config_class_t){"urgent", 1, 3, 0, TIMEOUT_MS};
	world.server = (config_server_t){"akl-1", "akl", "127.0.0.1",
					 world.backend->port, false};
	world.database =
		(config_database_t){"match", "akl-1", &world.server, 1};
	world.service = (config_service_t){
		.name = "match-core",
		.backend_user = "toucanhook",
		.databases = &world.database,
		.databases_count = 1,
		.classes = &world.class,
		.classes_count = 1,
	};
	world.config =
		(config_t){.services = &world.service, .services_count = 1};
	world.pool = pool_task_create(world.base, world.metrics, group);
	pool_task_configure(world.pool, &world.config);
	pool_task_own(world.pool, "match", "akl-1", SHARE);
	return 0;
}

static int tear_down(void **state)
{
	pool_task_destroy(world.pool);
	fake_backend_destroy(world.backend);
	event_base_free(world.base);
	metrics_destroy(world.metrics);
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
static call_t *begin(request_t *request)
{
	call_t *call = g_new0(call_t, 1);
	const answer_sink_t sink = {on_chunk, on_end, call};

	call->types = g_string_new("");
	call->request_id = ++world.next_id;
	request->request_id = call->request_id;
	pool_task_submit(world.pool, request, sink);
	request_delete(request);
	assert_false(call->ended);
	return call;
}

static void run_until(const bool *condition)
{
	const uint64_t give_up_ms = clock_now_ms() + GIVE_UP_MS;

	while (!*condition && clock_now_ms() < give_up_ms)
		event_base_loop(world.base, EVLOOP_ONCE);
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

static answer_t ask(request_t *request, outcome_t outcome, reason_t reason)
{
	return finish(begin(request), outcome, reason);
}

static void assert_said(const char *text)
{
	g_autofree char *statements = fake_statements(world.backend);

	if (!strstr(statements, text))
		fail_msg("not received: %s; received: %s", text, statements);
}

static void test_replica_must_have_the_point(void **state)
{
	request_t *behind = request(REQUEST_READ, "SELECT conn", 0);
	request_t *caught_up = request(REQUEST_READ, "SELECT conn", 0);

	behind->at_least = (log_point_t){2, 5};
	caught_up->at_least = (log_point_t){2, 5};
	world.replayed = (log_point_t){2, 4};
	ask(behind, OUTCOME_NOT_RUN, REASON_BEHIND);
	assert_int_equal(g_atomic_int_get(&world.backend->connections), 0);
	world.catches_up = true;
	assert_int_equal(
		ask(caught_up, OUTCOME_DONE, REASON_NONE).point.position, 5);
}

static void test_stated_age_is_proven(void **state)
{
	request_t *stale = request(REQUEST_READ, "SELECT conn", 0);
	request_t *fresh = request(REQUEST_READ, "SELECT conn", 0);

	stale->max_age_ms = 100;
	fresh->max_age_ms = 100;
	ask(stale, OUTCOME_NOT_RUN, REASON_STALE);
	world.fresh = true;
	ask(fresh, OUTCOME_DONE, REASON_NONE);
}

static void test_change_needs_a_term(void **state)
{
	ask(request(REQUEST_WRITE, "INSERT", 0), OUTCOME_NOT_RUN,
	    REASON_NOT_PRIMARY);
	ask(request(REQUEST_TRANSACTION, "BEGIN", 0), OUTCOME_NOT_RUN,
	    REASON_NOT_PRIMARY);
	assert_int_equal(g_atomic_int_get(&world.backend->connections), 0);
	ask(request(REQUEST_WRITE, "INSERT", 3), OUTCOME_DONE, REASON_NONE);
	assert_said("1 SET replication.term = '3'\n1 INSERT\n1 SELECT * FROM "
		    "group_point()\n");
	assert_int_equal(world.confirms, 1);
	ask(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_DONE, REASON_NONE);
	assert_said("1 SET replication.term = '0'\n1 SELECT conn\n");
}

static void test_only_an_owner_serves(void **state)
{
	request_t *other = request(REQUEST_READ, "SELECT conn", 0);

	g_free(other->server);
	other->server = g_strdup("akl-2");
	ask(other, OUTCOME_NOT_RUN, REASON_NOT_OWNER);
	ask(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_DONE, REASON_NONE);
	pool_task_own(world.pool, "match", "akl-1", 0);
	ask(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_NOT_RUN,
	    REASON_NOT_OWNER);
}

static void test_transaction_outlives_ownership_and_leaving(void **state)
{
	answer_t answer = ask(request(REQUEST_TRANSACTION, "BEGIN", 1),
			      OUTCOME_DONE, REASON_NONE);
	request_t *commit = request(REQUEST_TRANSACTION, "COMMIT", 0);

	assert_int_equal(answer.transaction_status, 'T');
	assert_true(answer.lease_id != 0);
	world.server.leaving = true;
	pool_task_configure(world.pool, &world.config);
	ask(request(REQUEST_READ, "SELECT conn", 0), OUTCOME_NOT_RUN,
	    REASON_LEAVING);
	pool_task_own(world.pool, "match", "akl-1", 0);
	assert_int_equal(pool_task_busy(world.pool), 1);
	commit->lease_id = answer.lease_id;
	answer = ask(commit, OUTCOME_DONE, REASON_NONE);
	assert_int_equal(answer.lease_id, 0);
	assert_int_equal(world.confirms, 1);
	assert_int_equal(pool_task_busy(world.pool), 0);
}

static void test_lease_belongs_to_its_session(void **state)
{
	const answer_t answer = ask(request(REQUEST_TRANSACTION, "BEGIN", 1),
				    OUTCOME_DONE, REASON_NONE);
	request_t *thief = request(REQUEST_TRANSACTION, "COMMIT", 0);
	request_t *late = request(REQUEST_TRANSACTION, "COMMIT", 0);

	thief->lease_id = answer.lease_id;
	thief->session_id = 2;
	ask(thief, OUTCOME_NOT_RUN, REASON_UNKNOWN_LEASE);
	pool_task_release(world.pool, answer.lease_id);
	late->lease_id = answer.lease_id;
	ask(late, OUTCOME_NOT_RUN, REASON_UNKNOWN_LEASE);
	ask(request(REQUEST_READ, "SELECT conn", 1), OUTCOME_DONE, REASON_NONE);
	assert_said("1 ROLLBACK\n");
}

static void test_queue_is_bounded(void **state)
{
	call_t *calls[SHARE + 4];
	size_t i;

	for (i = 0; i < SHARE; i++)
		calls[i] = begin(request(REQUEST_READ, "SELECT hang()", 0));
	while (world.backend->statements->len < SHARE)
		event_base_loop(world.base, EVLOOP_ONCE);
	for (; i < G_N_ELEMENTS(calls); i++)
		calls[i] = begin(request(REQUEST_READ, "SELECT conn", 0));
	/* The class has a queue limit of 3. */
	finish(calls[SHARE + 3], OUTCOME_NOT_RUN, REASON_OVERLOADED);
	for (i = 0; i < SHARE; i++) {
		pool_task_cancel(world.pool, calls[i]->request_id, calls[i]);
		call_free(calls[i]);
	}
	for (i = SHARE; i < SHARE + 3; i++)
		finish(calls[i], OUTCOME_DONE, REASON_NONE);
}

static void test_queued_requests_leave_with_the_ownership(void **state)
{
	call_t *runs[SHARE];
	call_t *queued = NULL;
	size_t i;

	for (i = 0; i < SHARE; i++)
		runs[i] = begin(request(REQUEST_READ, "SELECT hang()", 0));
	while (world.backend->statements->len < SHARE)
		event_base_loop(world.base, EVLOOP_ONCE);
	queued = begin(request(REQUEST_READ, "SELECT conn", 0));
	pool_task_own(world.pool, "match", "akl-1", 0);
	finish(queued, OUTCOME_NOT_RUN, REASON_NOT_OWNER);
	for (i = 0; i < SHARE; i++)
		finish(runs[i], OUTCOME_NOT_RUN, REASON_DEADLINE);
}

static void test_unreachable_server_is_told(void **state)
{
	world.server.port = 1;
	pool_task_configure(world.pool, &world.config);
	ask(request(REQUEST_WRITE, "INSERT", 1), OUTCOME_NOT_RUN,
	    REASON_UNREACHABLE);
	assert_true(world.failures > 0);
}

static void test_old_primary_names_the_new_one(void **state)
{
	const answer_t answer = ask(request(REQUEST_WRITE, "fail TH001", 1),
				    OUTCOME_NOT_RUN, REASON_OTHER_TERM);

	assert_int_equal(answer.primary_term, 7);
}

static void test_cancelled_request_is_not_heard_of(void **state)
{
	call_t *call = begin(request(REQUEST_WRITE, "SELECT hang()", 1));

	while (world.backend->statements->len < 2)
		event_base_loop(world.base, EVLOOP_ONCE);
	pool_task_cancel(world.pool, call->request_id, call);
	while (world.backend->statements->len < 3 ||
	       g_atomic_int_get(&world.backend->open))
		event_base_loop(world.base, EVLOOP_ONCE);
	assert_false(call->ended);
	assert_int_equal(pool_task_busy(world.pool), 0);
	assert_said("2 cancel 1\n");
	call_free(call);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_replica_must_have_the_point),
		TEST(test_stated_age_is_proven),
		TEST(test_change_needs_a_term),
		TEST(test_only_an_owner_serves),
		TEST(test_transaction_outlives_ownership_and_leaving),
		TEST(test_lease_belongs_to_its_session),
		TEST(test_queue_is_bounded),
		TEST(test_queued_requests_leave_with_the_ownership),
		TEST(test_unreachable_server_is_told),
		TEST(test_old_primary_names_the_new_one),
		TEST(test_cancelled_request_is_not_heard_of),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

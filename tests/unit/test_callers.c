#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <unistd.h>

#include <cmocka.h>

#include <libpq-fe.h>

#include "daemon/callers_task.h"
#include "daemon/pool_task.h"
#include "protocol/scram.h"
#include "unit/fake_backend.h"

#define PASSWORD "pairing"
#define SALT "0123456789abcdef"
#define ITERATIONS 4096
#define SHARE 4
#define WAIT_STEP_US 2000
#define WAIT_STEPS 5000

/* One entry VM whose requests go straight to one backend server. */
typedef struct {
	struct event_base *base;
	struct event *tick;
	GThread *thread;
	metrics_t *metrics;
	config_t config;
	config_service_t service;
	config_database_t database;
	config_server_t server;
	config_class_t class;
	config_caller_t callers[2];
	char *verifier;
	settings_t settings;
	callers_task_t *task;
	pool_task_t *pool;
	fake_backend_t *backend;
	gint stop;     /* atomic */
	gint confirms; /* whether commits are confirmed; atomic */
	gint barriers; /* asked so far; atomic */
	gint drain;    /* atomic */
	gint sessions; /* as the task counts them; atomic */
	gint busy;     /* of the pool; atomic */
} entry_t;

static entry_t entry;

/* A callback that has to be called later. */
typedef struct {
	pool_confirmed_t confirmed;
	void (*point)(void *context, log_point_t point);
	void *context;
	bool value;
} later_t;

static void on_later(evutil_socket_t fd, short what, void *data)
{
	later_t *later = data;

	if (later->confirmed)
		later->confirmed(later->context, later->value);
	else
		later->point(later->context, (log_point_t){1, 1});
	g_free(later);
}

static void call_later(const later_t *call)
{
	const struct timeval soon = {.tv_usec = 1000};

	event_base_once(entry.base, -1, EV_TIMEOUT, on_later,
			g_memdup2(call, sizeof(*call)), &soon);
}

static void confirm(void *context, const char *database, log_point_t point,
		    uint32_t timeout_ms, pool_confirmed_t done,
		    void *done_context)
{
	call_later(&(later_t){
		.confirmed = done,
		.context = done_context,
		.value = g_atomic_int_get(&entry.confirms) != 0,
	});
}

static void wait_replayed(void *context, const char *database,
			  const char *server, log_point_t point,
			  uint32_t timeout_ms, pool_confirmed_t done,
			  void *done_context)
{
	call_later(&(later_t){.confirmed = done, .context = done_context});
}

static bool is_fresh(void *context, const char *database, const char *server,
		     uint32_t max_age_ms)
{
	return true;
}

static log_point_t replayed(void *context, const char *database,
			    const char *server)
{
	return (log_point_t){1, 1000000};
}

static void server_failed(void *context, const char *database,
			  const char *server)
{
}

static void newest(void *context, const char *database, answer_t *answer)
{
}

static void submit(void *context, const request_t *request, answer_sink_t sink)
{
	g_autoptr(request_t) copy = request_copy(request);

	copy->server = g_strdup("akl-1");
	copy->term = 1;
	pool_task_submit(entry.pool, copy, sink);
}

static void cancel(void *context, uint64_t request_id, void *sink_context)
{
	pool_task_cancel(entry.pool, request_id, sink_context);
}

static void release(void *context, uint64_t lease_id)
{
	pool_task_release(entry.pool, lease_id);
}

static void barrier(void *context, const char *database, uint32_t timeout_ms,
		    void (*done)(void *done_context, log_point_t point),
		    void *done_context)
{
	g_atomic_int_inc(&entry.barriers);
	call_later(&(later_t){.point = done, .context = done_context});
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	g_atomic_int_set(&entry.sessions, (gint)callers_task_count(entry.task));
	g_atomic_int_set(&entry.busy, (gint)pool_task_busy(entry.pool));
	if (g_atomic_int_compare_and_exchange(&entry.drain, 1, 2))
		callers_task_drain(entry.task);
	if (g_atomic_int_get(&entry.stop))
		event_base_loopbreak(entry.base);
}

static gpointer run_loop(gpointer unused)
{
	event_base_dispatch(entry.base);
	return NULL;
}

static void fill_config(void)
{
	entry.verifier = scram_verifier_new(PASSWORD, (const uint8_t *)SALT,
					    strlen(SALT), ITERATIONS);
	entry.callers[0] = (config_caller_t){"foreman", "urgent", ""};
	entry.callers[1] = (config_caller_t){"owner", "urgent", entry.verifier};
	entry.class = (config_class_t){"urgent", 1, 100, 0, 5000};
	entry.server = (config_server_t){"akl-1", "akl", "127.0.0.1",
					 entry.backend->port, false};
	entry.database =
		(config_database_t){"match", "akl-1", &entry.server, 1};
	entry.service = (config_service_t){
		.name = "match-core",
		.slots = 1,
		.connections = SHARE,
		.backend_user = "toucanhook",
		.databases = &entry.database,
		.databases_count = 1,
		.classes = &entry.class,
		.classes_count = 1,
		.callers = entry.callers,
		.callers_count = G_N_ELEMENTS(entry.callers),
	};
	entry.config =
		(config_t){.services = &entry.service, .services_count = 1};
}

/* A port that was free a moment ago. */
static uint16_t free_port(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	const int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	close(fd);
	return ntohs(address.sin_port);
}

static int set_up(void **state)
{
	const struct timeval interval = {.tv_usec = 1000};
	const pool_group_t group = {confirm,  wait_replayed, is_fresh,
				    replayed, server_failed, newest,
				    NULL};
	const callers_dispatch_t dispatch = {submit, cancel, release, barrier,
					     NULL};

	memset(&entry, 0, sizeof(entry));
	entry.confirms = 1;
	entry.base = event_base_new();
	entry.metrics = metrics_create(1000);
	entry.backend = fake_backend_create(entry.base);
	fill_config();
	entry.settings.callers.address = "127.0.0.1";
	entry.settings.callers.port = free_port();
	entry.pool = pool_task_create(entry.base, entry.metrics, group);
	pool_task_configure(entry.pool, &entry.config);
	pool_task_own(entry.pool, "match", "akl-1", SHARE);
	entry.task = callers_task_create(entry.base, entry.metrics,
					 &entry.settings, dispatch, NULL);
	assert_non_null(entry.task);
	callers_task_configure(entry.task, &entry.config);
	entry.tick = event_new(entry.base, -1, EV_PERSIST, on_tick, NULL);
	event_add(entry.tick, &interval);
	entry.thread = g_thread_new("entry", run_loop, NULL);
	return 0;
}

static int tear_down(void **state)
{
	g_atomic_int_set(&entry.stop, 1);
	g_thread_join(entry.thread);
	callers_task_destroy(entry.task);
	pool_task_destroy(entry.pool);
	fake_backend_destroy(entry.backend);
	event_free(entry.tick);
	event_base_free(entry.base);
	metrics_destroy(entry.metrics);
	g_free(entry.verifier);
	return 0;
}

static PGconn *connect_as(const char *user, const char *more)
{
	g_autofree char *text = g_strdup_printf(
		"host=127.0.0.1 port=%u dbname=match user=%s connect_timeout=10 "
		"gssencmode=disable %s",
		entry.settings.callers.port, user, more);

	return PQconnectdb(text);
}

static PGconn *connect_well(const char *more)
{
	PGconn *conn = connect_as("foreman", more);

	if (PQstatus(conn) != CONNECTION_OK)
		fail_msg("%s", PQerrorMessage(conn));
	return conn;
}

/* Runs a statement and checks its SQLSTATE, "" for success. */
static void assert_state(PGconn *conn, const char *sql, const char *sqlstate)
{
	PGresult *result = PQexec(conn, sql);
	const char *found = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	if (g_strcmp0(found ? found : "", sqlstate) != 0)
		fail_msg("%s: SQLSTATE %s, expected %s: %s", sql, found,
			 sqlstate, PQerrorMessage(conn));
	PQclear(result);
}

static char *value_of(PGconn *conn, const char *sql)
{
	PGresult *result = PQexec(conn, sql);
	char *value = NULL;

	if (PQresultStatus(result) != PGRES_TUPLES_OK)
		fail_msg("%s: %s", sql, PQerrorMessage(conn));
	value = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	return value;
}

static void wait_for(gint *value, gint wanted)
{
	int i;

	for (i = 0; i < WAIT_STEPS && g_atomic_int_get(value) != wanted; i++)
		usleep(WAIT_STEP_US);
	assert_int_equal(g_atomic_int_get(value), wanted);
}

static void test_login_is_checked_and_opens_no_connection(void **state)
{
	PGconn *good = connect_as("owner", "password=" PASSWORD);
	PGconn *wrong = connect_as("owner", "password=wrong");
	PGconn *nobody = connect_as("nobody", "password=" PASSWORD);
	PGconn *nowhere = connect_as("owner", "dbname=none");

	assert_int_equal(PQstatus(good), CONNECTION_OK);
	assert_int_equal(PQstatus(wrong), CONNECTION_BAD);
	assert_int_equal(PQstatus(nobody), CONNECTION_BAD);
	assert_int_equal(PQstatus(nowhere), CONNECTION_BAD);
	assert_non_null(strstr(PQerrorMessage(nowhere), "does not exist"));
	assert_int_equal(g_atomic_int_get(&entry.backend->connections), 0);
	PQfinish(good);
	PQfinish(wrong);
	PQfinish(nobody);
	PQfinish(nowhere);
	wait_for(&entry.sessions, 0);
}

static void test_change_raises_the_token(void **state)
{
	PGconn *conn = connect_well("");
	g_autofree char *shown = NULL;

	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"), "");
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"),
			    "match:1:1");
	shown = value_of(conn, "SHOW toucanhook.token");
	assert_string_equal(shown, "match:1:1");
	PQfinish(conn);
	conn = connect_well(
		"options='-c toucanhook.token=match:3:4,other:1:2'");
	g_free(shown);
	shown = value_of(conn, "SHOW toucanhook.token");
	assert_string_equal(shown, "match:3:4,other:1:2");
	PQfinish(conn);
}

static void test_first_read_asks_a_barrier_and_strong_always(void **state)
{
	PGconn *conn = connect_well("");

	assert_state(conn, "SELECT conn", "");
	assert_state(conn, "SELECT conn", "");
	assert_int_equal(g_atomic_int_get(&entry.barriers), 1);
	assert_state(conn, "SET toucanhook.consistency = 'strong'", "");
	assert_state(conn, "SELECT conn", "");
	assert_state(conn, "SELECT conn", "");
	assert_int_equal(g_atomic_int_get(&entry.barriers), 3);
	PQfinish(conn);
}

static void test_unconfirmed_change_is_unknown(void **state)
{
	PGconn *conn = connect_well("");

	g_atomic_int_set(&entry.confirms, 0);
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "TH004");
	assert_state(conn, "BEGIN", "");
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_state(conn, "COMMIT", "TH004");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	assert_string_equal(PQparameterStatus(conn, "toucanhook.token"), "");
	g_atomic_int_set(&entry.confirms, 1);
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	PQfinish(conn);
}

static void test_transactions_do_not_share_a_connection(void **state)
{
	PGconn *first = connect_well("");
	PGconn *second = connect_well("");
	g_autofree char *one = NULL;
	g_autofree char *two = NULL;
	g_autofree char *again = NULL;

	assert_state(first, "BEGIN", "");
	assert_state(second, "BEGIN", "");
	one = value_of(first, "SELECT conn");
	two = value_of(second, "SELECT conn");
	again = value_of(first, "SELECT conn");
	assert_string_not_equal(one, two);
	assert_string_equal(one, again);
	assert_state(first, "COMMIT", "");
	assert_state(second, "ROLLBACK", "");
	PQfinish(first);
	PQfinish(second);
	wait_for(&entry.busy, 0);
}

static void test_lost_transaction_fails_until_its_end(void **state)
{
	PGconn *conn = connect_well("");

	assert_state(conn, "BEGIN", "");
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_state(conn, "die now", "TH003");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_INERROR);
	assert_state(conn, "INSERT INTO pairing VALUES (2)", "25P02");
	assert_state(conn, "COMMIT", "");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	assert_state(conn, "INSERT INTO pairing VALUES (3)", "");
	PQfinish(conn);
}

static void test_refused_statement_fails_its_transaction(void **state)
{
	PGconn *conn = connect_well("");
	g_autofree char *statements = NULL;

	assert_state(conn, "LISTEN a", "0A000");
	assert_state(conn, "COPY a FROM STDIN", "0A000");
	assert_state(conn, "SET search_path = a", "0A000");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_IDLE);
	assert_state(conn, "BEGIN", "");
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_state(conn, "LISTEN a", "0A000");
	assert_int_equal(PQtransactionStatus(conn), PQTRANS_INERROR);
	assert_state(conn, "COMMIT", "");
	wait_for(&entry.busy, 0);
	statements = fake_statements(entry.backend);
	assert_non_null(strstr(statements, "ROLLBACK"));
	assert_null(strstr(statements, "COMMIT"));
	PQfinish(conn);
}

static void
test_broken_change_is_unknown_and_broken_read_is_not_run(void **state)
{
	PGconn *conn = connect_well("");

	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	assert_state(conn, "die in a change", "TH004");
	assert_state(conn, "fail TH001", "TH003");
	assert_state(conn, "fail 42P01", "42P01");
	assert_state(conn, "SET toucanhook.timeout_ms = 100", "");
	assert_state(conn, "SELECT hang()", "TH004");
	PQfinish(conn);
}

static void test_abandoned_answer_never_reaches_another(void **state)
{
	PGconn *conn = connect_well("");
	PGcancel *key = PQgetCancel(conn);
	char error[256];
	g_autofree char *statements = NULL;

	assert_int_equal(PQsendQuery(conn, "SELECT hang()"), 1);
	wait_for(&entry.busy, 1);
	assert_int_equal(PQcancel(key, error, sizeof(error)), 1);
	PQfreeCancel(key);
	PQclear(PQgetResult(conn));
	while (PQgetResult(conn))
		;
	wait_for(&entry.busy, 0);
	wait_for(&entry.backend->open, 0);
	assert_state(conn, "SELECT conn", "");
	PQfinish(conn);
}

static void test_large_answer_comes_whole(void **state)
{
	PGconn *conn = connect_well("");
	PGresult *result = PQexec(conn, "SELECT rows 10000 1024");

	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	assert_int_equal(PQntuples(result), 10000);
	assert_int_equal(PQgetlength(result, 9999, 0), 1024);
	PQclear(result);
	result = PQexec(conn, "SELECT rows 1 10485760");
	assert_int_equal(PQgetlength(result, 0, 0), 10485760);
	PQclear(result);
	PQfinish(conn);
}

static void test_prepared_statement_works_on_any_connection(void **state)
{
	PGconn *conn = connect_well("");
	PGconn *other = connect_well("");
	PGresult *result = PQprepare(conn, "p", "SELECT conn", 0, NULL);
	g_autofree char *first = NULL;
	g_autofree char *second = NULL;

	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	result = PQexecPrepared(conn, "p", 0, NULL, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	first = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	assert_state(other, "BEGIN", "");
	g_free(value_of(other, "SELECT conn"));
	result = PQexecPrepared(conn, "p", 0, NULL, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_TUPLES_OK);
	second = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	assert_string_not_equal(first, second);
	result = PQexecPrepared(conn, "none", 0, NULL, NULL, NULL, 0);
	assert_string_equal(PQresultErrorField(result, PG_DIAG_SQLSTATE),
			    "26000");
	PQclear(result);
	result = PQexecParams(conn, "SET toucanhook.token = 'a:1:2'", 0, NULL,
			      NULL, NULL, NULL, 0);
	assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
	PQclear(result);
	PQfinish(conn);
	PQfinish(other);
}

static void test_more_callers_than_connections_take_turns(void **state)
{
	PGconn *conns[3 * SHARE];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(conns); i++) {
		conns[i] = connect_well("");
		PQsendQuery(conns[i], "INSERT INTO pairing VALUES (1)");
	}
	for (i = 0; i < G_N_ELEMENTS(conns); i++) {
		PGresult *result = PQgetResult(conns[i]);

		assert_int_equal(PQresultStatus(result), PGRES_COMMAND_OK);
		PQclear(result);
		PQfinish(conns[i]);
	}
	assert_true(g_atomic_int_get(&entry.backend->connections) <= SHARE);
}

static void test_full_server_is_asked_again(void **state)
{
	PGconn *conn = connect_well("");

	g_atomic_int_set(&entry.backend->refuse, 1);
	assert_state(conn, "SET toucanhook.timeout_ms = 200", "");
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "TH003");
	assert_true(g_atomic_int_get(&entry.backend->connections) > 1);
	assert_state(conn, "SET toucanhook.timeout_ms = 5000", "");
	PQsendQuery(conn, "INSERT INTO pairing VALUES (1)");
	wait_for(&entry.busy, 1);
	g_atomic_int_set(&entry.backend->refuse, 0);
	assert_state(conn, "INSERT INTO pairing VALUES (1)", "");
	PQfinish(conn);
}

static void keep_notice(void *context, const char *message)
{
	g_string_append(context, message);
}

static void test_drain_lets_transactions_end(void **state)
{
	GString *notice = g_string_new(NULL);
	PGconn *idle = connect_well("");
	PGconn *busy = connect_well("");

	PQsetNoticeProcessor(idle, keep_notice, notice);
	assert_state(busy, "BEGIN", "");
	g_atomic_int_set(&entry.drain, 1);
	wait_for(&entry.sessions, 1);
	while (PQstatus(idle) != CONNECTION_BAD) {
		PQisBusy(idle); /* takes in what was read before the end */
		PQconsumeInput(idle);
	}
	assert_non_null(strstr(notice->str, "is leaving"));
	assert_state(busy, "INSERT INTO pairing VALUES (1)", "");
	assert_state(busy, "COMMIT", "");
	wait_for(&entry.sessions, 0);
	PQfinish(idle);
	PQfinish(busy);
	g_string_free(notice, TRUE);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_login_is_checked_and_opens_no_connection),
		TEST(test_change_raises_the_token),
		TEST(test_first_read_asks_a_barrier_and_strong_always),
		TEST(test_unconfirmed_change_is_unknown),
		TEST(test_transactions_do_not_share_a_connection),
		TEST(test_lost_transaction_fails_until_its_end),
		TEST(test_refused_statement_fails_its_transaction),
		TEST(test_broken_change_is_unknown_and_broken_read_is_not_run),
		TEST(test_abandoned_answer_never_reaches_another),
		TEST(test_large_answer_comes_whole),
		TEST(test_prepared_statement_works_on_any_connection),
		TEST(test_more_callers_than_connections_take_turns),
		TEST(test_full_server_is_asked_again),
		TEST(test_drain_lets_transactions_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

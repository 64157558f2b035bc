#ifndef UNIT_FAKE_ENTRY_H
#define UNIT_FAKE_ENTRY_H

#include <libpq-fe.h>

#include "base/clock.h"
#include "daemon/callers_task.h"
#include "daemon/pool_task.h"
#include "protocol/scram.h"
#include "unit/fake_backend.h"

#define PASSWORD "pairing"
#define SALT "0123456789abcdef"
#define ITERATIONS 4096
#define SHARE 4
#define DRAIN_GRACE_MS 60000
#define WAIT_STEP_US 2000
#define WAIT_STEPS 5000

/* One entry VM, without dispatch, whose pool owns one fake backend server. */
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
	/* Shared with the thread of the event loop; atomic. */
	gint stop;     /* ends the event loop */
	gint confirms; /* whether commits are confirmed */
	gint barriers; /* barriers started so far */
	gint drain;    /* 1 requests a drain, 2 once it has begun */
	gint finish;   /* 1 requests the end of a drain, 2 once it is done */
	gint sessions; /* callers_task_session_count() */
	gint busy;     /* pool_task_busy_count() */
} entry_t;

static entry_t entry;

/* A callback that the event loop calls later. */
typedef struct {
	pool_done_t confirmed;
	void (*point)(void *context, log_point_t point);
	void *context;
	bool value;
} deferred_call_t;

static void on_deferred_call(evutil_socket_t fd, short what, void *data)
{
	deferred_call_t *deferred = data;

	if (deferred->confirmed)
		deferred->confirmed(deferred->context, deferred->value);
	else
		deferred->point(deferred->context, (log_point_t){1, 1});
	g_free(deferred);
}

static void defer_call(const deferred_call_t *call)
{
	const struct timeval soon = {.tv_usec = 1000};

	event_base_once(entry.base, -1, EV_TIMEOUT, on_deferred_call,
			g_memdup2(call, sizeof(*call)), &soon);
}

static void confirm(void *context, const char *database, log_point_t point,
		    uint32_t timeout_ms, pool_done_t done, void *done_context)
{
	defer_call(&(deferred_call_t){
		.confirmed = done,
		.context = done_context,
		.value = g_atomic_int_get(&entry.confirms) != 0,
	});
}

static void wait_replayed(void *context, const char *database,
			  const char *server, log_point_t point,
			  uint32_t timeout_ms, pool_done_t done,
			  void *done_context)
{
	defer_call(
		&(deferred_call_t){.confirmed = done, .context = done_context});
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
	defer_call(&(deferred_call_t){.point = done, .context = done_context});
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	g_atomic_int_set(&entry.sessions,
			 (gint)callers_task_session_count(entry.task));
	g_atomic_int_set(&entry.busy, (gint)pool_task_busy_count(entry.pool));
	if (g_atomic_int_compare_and_exchange(&entry.drain, 1, 2)) {
		drain_plan_t plan;

		drain_plan_begin(&plan, clock_now_ms(), DRAIN_GRACE_MS, 0);
		callers_task_drain(entry.task, &plan);
	}
	if (g_atomic_int_compare_and_exchange(&entry.finish, 1, 2))
		callers_task_finish(entry.task);
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

/* Returns a port that was free during the call. */
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

static int set_up_entry(void)
{
	const struct timeval interval = {.tv_usec = 1000};
	const pool_group_t group = {confirm,  wait_replayed, is_fresh,
				    replayed, server_failed, newest,
				    NULL};
	const callers_dispatch_t dispatch = {submit, cancel, release, barrier,
					     NULL};

	entry.confirms = 1;
	entry.base = event_base_new();
	entry.metrics = metrics_create(1000);
	entry.backend = fake_backend_create(entry.base);
	fill_config();
	entry.settings.callers.address = "127.0.0.1";
	entry.settings.callers.port = free_port();
	entry.pool = pool_task_create(entry.base, entry.metrics, group);
	pool_task_configure(entry.pool, &entry.config);
	pool_task_set_share(entry.pool, "match", "akl-1", SHARE);
	entry.task = callers_task_create(entry.base, entry.metrics,
					 &entry.settings, dispatch, NULL);
	assert_non_null(entry.task);
	callers_task_configure(entry.task, &entry.config);
	entry.tick = event_new(entry.base, -1, EV_PERSIST, on_tick, NULL);
	event_add(entry.tick, &interval);
	entry.thread = g_thread_new("entry", run_loop, NULL);
	return 0;
}

static int set_up(void **state)
{
	memset(&entry, 0, sizeof(entry));
	return set_up_entry();
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

static PGconn *connect_as_foreman(const char *more)
{
	PGconn *conn = connect_as("foreman", more);

	if (PQstatus(conn) != CONNECTION_OK)
		fail_msg("%s", PQerrorMessage(conn));
	return conn;
}

/* Runs a statement and checks its SQLSTATE, "" for success. */
static G_GNUC_UNUSED void assert_sqlstate(PGconn *conn, const char *sql,
					  const char *sqlstate)
{
	PGresult *result = PQexec(conn, sql);
	const char *found = PQresultErrorField(result, PG_DIAG_SQLSTATE);

	if (g_strcmp0(found ? found : "", sqlstate) != 0)
		fail_msg("%s: SQLSTATE %s, expected %s: %s", sql, found,
			 sqlstate, PQerrorMessage(conn));
	PQclear(result);
}

static G_GNUC_UNUSED char *query_value(PGconn *conn, const char *sql)
{
	PGresult *result = PQexec(conn, sql);
	char *value = NULL;

	if (PQresultStatus(result) != PGRES_TUPLES_OK)
		fail_msg("%s: %s", sql, PQerrorMessage(conn));
	value = g_strdup(PQgetvalue(result, 0, 0));
	PQclear(result);
	return value;
}

static G_GNUC_UNUSED void wait_for(gint *value, gint wanted)
{
	int i;

	for (i = 0; i < WAIT_STEPS && g_atomic_int_get(value) != wanted; i++)
		usleep(WAIT_STEP_US);
	assert_int_equal(g_atomic_int_get(value), wanted);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif

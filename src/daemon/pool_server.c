#include "daemon/pool_server.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/pool_run.h"

/* Maximum number of connections to one server that open at a time. */
#define OPENING_CONNECTIONS_MAX 4

#define BACKOFF_MS_MIN 20
#define BACKOFF_MS_MAX 1000

static void process_queue(pool_server_t *server);

static void on_process_event(evutil_socket_t fd, short what, void *context)
{
	process_queue(context);
}

void pool_server_wake(pool_server_t *server)
{
	event_active(server->process_event, EV_TIMEOUT, 0);
}

pool_server_t *pool_server_create(pool_task_t *pool, const char *database,
				  const char *name)
{
	pool_server_t *server = g_new0(pool_server_t, 1);
	g_autofree char *labels = g_strdup_printf(
		"database=\"%s\",server=\"%s\"", database, name);

	server->pool = pool;
	server->database = g_strdup(database);
	server->name = g_strdup(name);
	server->connections = g_ptr_array_new();
	server->admission = admission_create();
	server->process_event =
		evtimer_new(pool->base, on_process_event, server);
	/* event_active() would clear the timeout of a shared event. */
	server->retry_event = evtimer_new(pool->base, on_process_event, server);
	server->open_gauge = metrics_gauge(
		pool->metrics, "toucanhook_server_connections", labels);
	server->queued_gauge = metrics_gauge(
		pool->metrics, "toucanhook_queued_requests", labels);
	return server;
}

void pool_server_destroy(pool_server_t *server)
{
	guint i = server->connections->len;

	while (i-- > 0)
		pool_connection_close(
			g_ptr_array_index(server->connections, i));
	g_ptr_array_unref(server->connections);
	admission_destroy(server->admission);
	event_free(server->process_event);
	event_free(server->retry_event);
	g_free(server->database);
	g_free(server->name);
	g_free(server);
}

void pool_server_configure(pool_server_t *server)
{
	config_lookup_t place = {0};

	server->service = NULL;
	server->config = NULL;
	if (!server->pool->config ||
	    !config_find_database(server->pool->config, server->database,
				  &place))
		return;
	server->service = place.service;
	server->config = config_find_server(place.database, server->name);
	pool_server_wake(server);
}

/* Refuses all queued runs; a sink may submit its request again meanwhile. */
static void refuse_queued(pool_server_t *server, reason_t reason)
{
	uint32_t count = admission_count(server->admission);

	while (count-- > 0) {
		const uint64_t run_id = admission_next(server->admission);
		pool_run_t *run =
			g_hash_table_lookup(server->pool->runs, &run_id);

		if (run)
			pool_run_refuse(run, reason);
	}
}

/* Closes the idle connections above the share; busy ones close when idle. */
static void close_excess_connections(pool_server_t *server)
{
	guint i = server->connections->len;

	while (i-- > 0 && server->connections->len > server->share) {
		pool_connection_t *connection =
			g_ptr_array_index(server->connections, i);

		if (connection->state == POOL_CONNECTION_IDLE ||
		    connection->state == POOL_CONNECTION_OPENING)
			pool_connection_close(connection);
	}
}

void pool_server_set_share(pool_server_t *server, uint32_t share)
{
	server->share = share;
	close_excess_connections(server);
	pool_server_wake(server);
}

/* Jitter keeps the owners of a server from reconnecting at the same time. */
static void start_back_off(pool_server_t *server)
{
	const uint32_t backoff_ms =
		server->backoff_ms ?
			MIN(server->backoff_ms * 2, BACKOFF_MS_MAX) :
			BACKOFF_MS_MIN;

	server->backoff_ms = backoff_ms;
	server->retry_at_ms = clock_now_ms() + backoff_ms / 2 +
			      (uint32_t)g_rand_int_range(server->pool->jitter,
							 0, (gint32)backoff_ms);
	pool_server_wake(server);
}

/* @return false during a back-off, at whose end the queue is processed */
static bool may_open(pool_server_t *server)
{
	const uint64_t now_ms = clock_now_ms();
	const uint64_t delay_ms =
		now_ms < server->retry_at_ms ? server->retry_at_ms - now_ms : 0;
	const struct timeval delay = {
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000) * 1000,
	};

	if (delay_ms)
		event_add(server->retry_event, &delay);
	return !delay_ms;
}

static reason_t reason_from_sqlstate(const char *sqlstate)
{
	if (g_str_has_prefix(sqlstate, "57P"))
		return REASON_LEAVING;
	return REASON_UNREACHABLE;
}

static void open_failed(pool_server_t *server, const char *sqlstate)
{
	const pool_group_t *group = &server->pool->group;

	log_event(LOG_LEVEL_WARNING, "server_refused",
		  "database=%s server=%s sqlstate=%s", server->database,
		  server->name, *sqlstate ? sqlstate : "none");
	server->full = !strcmp(sqlstate, "53300");
	server->unreachable = !server->full;
	start_back_off(server);
	if (server->full)
		return;
	if (server->connections->len == server->opening)
		refuse_queued(server, reason_from_sqlstate(sqlstate));
	group->server_failed(group->context, server->database, server->name);
}

static void on_ready(void *context)
{
	pool_connection_t *connection = context;
	pool_server_t *server = connection->server;

	server->opening--;
	server->backoff_ms = 0;
	server->retry_at_ms = 0;
	server->unreachable = false;
	server->full = false;
	connection->state = POOL_CONNECTION_IDLE;
	pool_server_wake(server);
}

static void send_next(pool_connection_t *connection)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	exchange_send(connection->run->exchange, out);
	server_connection_send(connection->link, out->data, out->len);
}

/* Waits for the ReadyForQuery of a ROLLBACK; other messages are ignored. */
static void handle_reset_message(pool_connection_t *connection,
				 const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);

	if (message->type != 'Z')
		return;
	if (pg_read_u8(&reader) != 'I') {
		pool_connection_close(connection);
		return;
	}
	connection->state = POOL_CONNECTION_IDLE;
	pool_server_wake(connection->server);
}

static void on_message(void *context, const pg_message_t *message)
{
	pool_connection_t *connection = context;

	if (connection->state == POOL_CONNECTION_RESETTING) {
		handle_reset_message(connection, message);
		return;
	}
	if (connection->state != POOL_CONNECTION_RUNNING) {
		/* Notices and notifications may arrive at any time. */
		if (message->type != 'N' && message->type != 'A')
			pool_connection_close(connection);
		return;
	}
	switch (exchange_handle_message(connection->run->exchange, message)) {
	case EXCHANGE_RUNNING:
		return;
	case EXCHANGE_SEND:
		if (pool_paused_since(connection->server->pool,
				      connection->run->started_us))
			pool_run_abort(connection->run, REASON_PAUSED);
		else
			send_next(connection);
		return;
	case EXCHANGE_ENDED:
		pool_run_complete(connection->run);
		return;
	}
}

static void on_paused(void *context)
{
	pool_connection_t *connection = context;

	if (connection->state == POOL_CONNECTION_RUNNING)
		pool_run_flush(connection->run);
}

static void on_closed(void *context, const char *sqlstate)
{
	pool_connection_t *connection = context;
	pool_server_t *server = connection->server;
	const pool_group_t *group = &server->pool->group;
	const bool opening = connection->state == POOL_CONNECTION_OPENING;
	pool_run_t *run = connection->run;
	char sqlstate_copy[sizeof("00000")];

	g_strlcpy(sqlstate_copy, sqlstate, sizeof(sqlstate_copy));
	pool_connection_close(connection);
	if (opening) {
		open_failed(server, sqlstate_copy);
		return;
	}
	log_event(LOG_LEVEL_NOTICE, "server_connection_lost",
		  "database=%s server=%s sqlstate=%s", server->database,
		  server->name, *sqlstate_copy ? sqlstate_copy : "none");
	group->server_failed(group->context, server->database, server->name);
	if (run)
		pool_run_end_disconnected(run,
					  reason_from_sqlstate(sqlstate_copy));
}

static void open_connection(pool_server_t *server)
{
	pool_task_t *pool = server->pool;
	pool_connection_t *connection = g_new0(pool_connection_t, 1);
	const server_connection_target_t target = {
		.address = server->config->address,
		.port = server->config->port,
		.user = server->service->backend_user,
		.database = server->database,
	};
	const server_connection_handlers_t handlers = {
		.ready = on_ready,
		.message = on_message,
		.paused = on_paused,
		.closed = on_closed,
		.context = connection,
	};

	connection->connection_id = ++pool->next_connection_id;
	connection->server = server;
	connection->state = POOL_CONNECTION_OPENING;
	connection->link =
		server_connection_create(pool->base, &target, handlers);
	g_ptr_array_add(server->connections, connection);
	g_hash_table_insert(pool->connections, &connection->connection_id,
			    connection);
	server->opening++;
	metric_set(server->open_gauge, server->connections->len);
}

void pool_connection_close(pool_connection_t *connection)
{
	pool_server_t *server = connection->server;
	pool_task_t *pool = server->pool;
	const uint64_t lease_id = lease_table_for_connection(
		pool->leases, connection->connection_id);

	if (lease_id)
		lease_table_end(pool->leases, lease_id, NULL);
	if (connection->state == POOL_CONNECTION_OPENING)
		server->opening--;
	if (connection->run)
		connection->run->connection = NULL;
	server_connection_destroy(connection->link);
	g_hash_table_remove(pool->connections, &connection->connection_id);
	g_ptr_array_remove(server->connections, connection);
	g_free(connection);
	metric_set(server->open_gauge, server->connections->len);
	if (!pool->destroying)
		pool_server_wake(server);
}

void pool_connection_abandon(pool_connection_t *connection)
{
	if (!connection->server->pool->destroying)
		server_connection_cancel(connection->link);
	pool_connection_close(connection);
}

void pool_connection_start(pool_connection_t *connection, pool_run_t *run)
{
	connection->state = POOL_CONNECTION_RUNNING;
	connection->run = run;
	send_next(connection);
}

void pool_connection_reset(pool_connection_t *connection)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	connection->state = POOL_CONNECTION_RESETTING;
	pg_write_query(out, "ROLLBACK");
	server_connection_send(connection->link, out->data, out->len);
}

/* Finds an idle connection, preferably one set to @p term already. */
static pool_connection_t *find_idle_connection(const pool_server_t *server,
					       uint64_t term)
{
	pool_connection_t *found = NULL;
	guint i;

	for (i = 0; i < server->connections->len; i++) {
		pool_connection_t *connection =
			g_ptr_array_index(server->connections, i);

		if (connection->state != POOL_CONNECTION_IDLE)
			continue;
		if (connection->term == term)
			return connection;
		found = connection;
	}
	return found;
}

static void start_queued(pool_server_t *server)
{
	while (admission_count(server->admission) &&
	       find_idle_connection(server, 0)) {
		const uint64_t run_id = admission_next(server->admission);
		pool_run_t *run =
			g_hash_table_lookup(server->pool->runs, &run_id);

		g_assert(run);
		if (pool_paused_since(server->pool, run->queued_us)) {
			pool_run_refuse(run, REASON_PAUSED);
			continue;
		}
		pool_run_begin(
			run, find_idle_connection(server, run->request->term));
	}
}

static void open_connections(pool_server_t *server)
{
	while (admission_count(server->admission) > server->opening &&
	       server->opening < OPENING_CONNECTIONS_MAX &&
	       server->connections->len < server->share && may_open(server))
		open_connection(server);
}

static void process_queue(pool_server_t *server)
{
	if (!server->share || !server->config) {
		refuse_queued(server, REASON_NOT_OWNER);
		close_excess_connections(server);
		return;
	}
	if (server->config->leaving)
		refuse_queued(server, REASON_LEAVING);
	close_excess_connections(server);
	start_queued(server);
	open_connections(server);
	metric_set(server->queued_gauge, admission_count(server->admission));
}

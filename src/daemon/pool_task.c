#include "daemon/pool.h"

#include <openssl/rand.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/pool_run.h"
#include "daemon/pool_server.h"

/* Time that a transaction may be idle before it is rolled back. */
#define LEASE_IDLE_TIMEOUT_MS 60000
#define SWEEP_INTERVAL_S 1
#define TICK_INTERVAL_US (PAUSE_NOTICED_MS * 1000 / 4)

static void on_sweep(evutil_socket_t fd, short what, void *context)
{
	pool_task_t *pool = context;
	uint64_t lease_id;

	while ((lease_id = lease_table_find_idle(pool->leases, clock_now_ms(),
						 LEASE_IDLE_TIMEOUT_MS))) {
		log_event(LOG_LEVEL_NOTICE, "transaction_idle", "idle_ms=%d",
			  LEASE_IDLE_TIMEOUT_MS);
		pool_task_release(pool, lease_id);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *context)
{
	pool_task_t *pool = context;

	pause_watch_tick(&pool->pause, clock_now_ms());
}

bool pool_paused_since(pool_task_t *pool, uint64_t since_us)
{
	pause_watch_tick(&pool->pause, clock_now_ms());
	return pause_watch_paused_since(&pool->pause, since_us / 1000);
}

static void free_server(gpointer data)
{
	pool_server_destroy(data);
}

/* A random start avoids the lease ids of an earlier incarnation. */
static uint64_t initial_lease_id(void)
{
	uint64_t first = 0;

	RAND_bytes((unsigned char *)&first, sizeof(first));
	return first;
}

pool_task_t *pool_task_create(struct event_base *base, metrics_t *metrics,
			      pool_group_t group)
{
	pool_task_t *pool = g_new0(pool_task_t, 1);
	const struct timeval interval = {.tv_sec = SWEEP_INTERVAL_S};
	const struct timeval tick = {.tv_usec = TICK_INTERVAL_US};

	pool->base = base;
	pool->metrics = metrics;
	pool->group = group;
	pool->servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_server);
	pool->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->connections = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->leases = lease_table_create(initial_lease_id());
	pool->jitter = g_rand_new();
	pool->sweep = event_new(base, -1, EV_PERSIST, on_sweep, pool);
	event_add(pool->sweep, &interval);
	pool->tick = event_new(base, -1, EV_PERSIST, on_tick, pool);
	event_add(pool->tick, &tick);
	return pool;
}

void pool_task_destroy(pool_task_t *pool)
{
	g_autoptr(GList) runs = NULL;
	GList *link = NULL;

	if (!pool)
		return;
	pool->destroying = true;
	runs = g_hash_table_get_values(pool->runs);
	for (link = runs; link; link = link->next)
		pool_run_cancel(link->data);
	g_hash_table_destroy(pool->servers);
	g_hash_table_destroy(pool->runs);
	g_hash_table_destroy(pool->connections);
	lease_table_destroy(pool->leases);
	g_rand_free(pool->jitter);
	event_free(pool->sweep);
	event_free(pool->tick);
	g_free(pool);
}

void pool_task_configure(pool_task_t *pool, const config_t *config)
{
	GHashTableIter iter;
	gpointer server = NULL;

	pool->config = config;
	g_hash_table_iter_init(&iter, pool->servers);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		pool_server_configure(server);
}

static char *server_key(const char *database, const char *name)
{
	return g_strdup_printf("%s/%s", database, name);
}

pool_server_t *pool_find_server(pool_task_t *pool, const char *database,
				const char *name)
{
	g_autofree char *key = server_key(database, name ? name : "");

	return g_hash_table_lookup(pool->servers, key);
}

void pool_task_set_share(pool_task_t *pool, const char *database,
			 const char *server, uint32_t connections)
{
	pool_server_t *found = pool_find_server(pool, database, server);

	if (!found && !connections)
		return;
	if (!found) {
		found = pool_server_create(pool, database, server);
		g_hash_table_insert(pool->servers, server_key(database, server),
				    found);
		pool_server_configure(found);
	}
	log_event(LOG_LEVEL_INFO, "server_owned",
		  "database=%s server=%s connections=%u", database, server,
		  connections);
	pool_server_set_share(found, connections);
}

void pool_task_submit(pool_task_t *pool, const request_t *request,
		      answer_sink_t sink)
{
	pool_run_submit(pool, request, sink);
}

void pool_task_submit_forwarded(pool_task_t *pool, const request_t *request,
				answer_sink_t sink)
{
	const uint64_t now_ms = clock_now_ms();

	pause_watch_tick(&pool->pause, now_ms);
	if (!pause_watch_is_draining(&pool->pause, now_ms)) {
		pool_run_submit(pool, request, sink);
		return;
	}
	if (request->lease_id)
		pool_task_release(pool, request->lease_id);
	pool_run_submit_refused(pool, request, sink, REASON_PAUSED);
}

void pool_task_cancel(pool_task_t *pool, uint64_t request_id,
		      void *sink_context)
{
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, pool->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pool_run_t *run = value;

		if (run->request->request_id != request_id ||
		    run->sink.context != sink_context)
			continue;
		pool_run_cancel(run);
		return;
	}
}

void pool_task_release(pool_task_t *pool, uint64_t lease_id)
{
	bool busy = false;
	const uint64_t connection_id =
		lease_table_end(pool->leases, lease_id, &busy);
	pool_connection_t *connection =
		g_hash_table_lookup(pool->connections, &connection_id);
	pool_run_t *run = NULL;

	if (!connection)
		return;
	run = connection->run;
	if (!busy) {
		pool_connection_reset(connection);
		return;
	}
	pool_connection_abandon(connection);
	if (run)
		pool_run_end_disconnected(run, REASON_CANCELLED);
}

uint32_t pool_task_busy_count(const pool_task_t *pool)
{
	return g_hash_table_size(pool->runs) + lease_table_count(pool->leases);
}

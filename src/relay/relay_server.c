#include "relay/relay_server.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_link_pool.h"
#include "relay/relay_path.h"

/* Number of connections that may be in the process of being opened. */
#define OPENING_MAX 4

/* Idle time after which a connection above the share is closed. */
#define IDLE_MS 400

/* Idle time of a connection over a hub; it occupies no server connection. */
#define HUB_IDLE_MS 10000

/*
 * Time without data on any connection after which a server counts as cut off.
 */
#define CUT_OFF_MS 500

/*
 * Weight of a new value in the moving average of run times, and its initial
 * value in milliseconds.
 */
#define RUN_MS_WEIGHT 0.1
#define RUN_MS_DEFAULT 25.0

/*
 * Time for which a server gets no reads, and the number of consecutive
 * unanswered statements after which this time starts.
 */
#define AVOID_MS 1000
#define AVOID_AFTER 2

struct relay_server {
	const relay_server_host_t *host;
	backend_entry_t *entry;
	relay_link_pool_t pool;
	relay_path_t path;
	uint32_t share;	      /* number of connections kept open while idle */
	uint32_t burst_limit; /* maximum number of open connections */
	struct event *close_idle_event; /* closes idle links above the share */
	wait_queue_t queue;
	struct event *serve_event; /* serves the queue, or frees the server */
	uint32_t unanswered;	 /* consecutive statements without an answer */
	uint64_t avoid_until_ms; /* time until which it gets no reads */
	uint64_t last_received_ms; /* when the server itself last sent data */
	double run_ms;		   /* moving average of run times */
	replica_lag_t lag;
	outlier_t outlier;
	send_budget_t budget;
	zone_server_t zone;
	bool retired; /* destroyed; freed when all links are closed */
};

static void serve_queue(relay_server_t *server);

static void serve_queue_after(relay_server_t *server, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(server->serve_event, &delay);
}

static void refuse_all(relay_server_t *server)
{
	wait_entry_t *entry;

	while ((entry = wait_queue_next(&server->queue, 0))) {
		relay_waiter_t *waiter = entry->owner;

		waiter->waiting = false;
		waiter->refused(waiter->context, server);
	}
}

/* @return the hub to connect through, or NULL to connect directly */
static const endpoint_t *hub_endpoint(const relay_server_t *server,
				      uint64_t now_ms)
{
	return server->host->hub(
		server->host->context, server,
		relay_path_hub_failures(&server->path, now_ms));
}

static void hub_failed(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();

	if (hub_endpoint(server, now_ms))
		relay_path_hub_failed(&server->path, now_ms);
}

/*
 * Handles a failure to connect. After a direct attempt, the next connections
 * are forwarded by other nodes; after a forwarded one, the next connection is
 * direct if the server was full.
 */
static void handle_connect_failure(relay_server_t *server,
				   const relay_link_t *link,
				   relay_error_t error)
{
	if (relay_link_is_forwarded(link)) {
		hub_failed(server);
		relay_path_forwarding_failed(&server->path);
		return;
	}
	server->path.is_full = error == RELAY_ERROR_CONNECTION_LIMIT;
	if (error == RELAY_ERROR_CONNECTION_LIMIT &&
	    server->pool.links->len > server->pool.opening + 1)
		return;
	relay_path_forward(&server->path, clock_boot_ms());
}

/* Data on a forwarded connection proves nothing about the server itself. */
static void record_received(relay_server_t *server, const relay_link_t *link,
			    uint64_t last_received_ms)
{
	if (!relay_link_is_forwarded(link))
		server->last_received_ms =
			MAX(server->last_received_ms, last_received_ms);
}

static void on_opened(void *context, relay_link_t *link, log_point_t point,
		      uint64_t requested_ms)
{
	relay_server_t *server = context;

	relay_path_opened(&server->path, relay_link_is_forwarded(link));
	record_received(server, link, clock_boot_ms());
	relay_link_pool_put_idle(&server->pool, link);
	server->host->opened(server->host->context, server, point,
			     requested_ms);
	serve_queue(server);
}

static void on_closed(void *context, relay_link_t *link, relay_error_t error,
		      bool was_open)
{
	relay_server_t *server = context;
	const bool granted = relay_link_pool_is_granted(&server->pool, link);

	if (!was_open) {
		server->pool.opening--;
		relay_path_back_off(&server->path, clock_boot_ms());
		handle_connect_failure(server, link, error);
		log_event(LOG_LEVEL_INFO, "server_connect_failed",
			  "server=%s reason=%s open=%u", server->entry->id,
			  relay_error_name(error), server->pool.links->len - 1);
	}
	if (granted) /* the user of the connection discards it */
		return;
	if (error == RELAY_ERROR_CONNECTION_LIMIT)
		record_received(server, link, clock_boot_ms());
	relay_link_pool_close(&server->pool, link);
	if (error == RELAY_ERROR_CONNECTION_LIMIT)
		relay_path_limited(&server->path, clock_boot_ms());
	else
		server->host->on_connection_failure(server->host->context,
						    server);
	if (!server->pool.links->len && error != RELAY_ERROR_CONNECTION_LIMIT)
		refuse_all(server);
	serve_queue_after(server, 0);
}

/* @return whether a waiter accepts only direct connections */
static bool has_direct_waiter(const relay_server_t *server)
{
	for (guint i = 0; i < server->queue.entries->len; i++) {
		const wait_entry_t *entry = server->queue.entries->pdata[i];

		if (((relay_waiter_t *)entry->owner)->direct)
			return true;
	}
	return false;
}

/*
 * Other nodes may still reach the server, or have idle connections to it.
 *
 * @return the node to connect through, or NULL to connect directly
 */
static const endpoint_t *forwarding_endpoint(const relay_server_t *server,
					     uint64_t now_ms)
{
	const endpoint_t *hub;

	if (has_direct_waiter(server))
		return NULL;
	hub = hub_endpoint(server, now_ms);
	if (hub || now_ms >= server->path.forwarding_until_ms)
		return hub;
	return server->host->forwarding_node(server->host->context, server);
}

static uint32_t limit_now(const relay_server_t *server, uint64_t now_ms)
{
	return now_ms < server->path.full_until_ms ? MAX(server->share, 1) :
						     server->burst_limit;
}

static bool has_urgent_waiter(const relay_server_t *server)
{
	for (guint i = 0; i < server->queue.entries->len; i++) {
		const wait_entry_t *entry = server->queue.entries->pdata[i];

		if (((relay_waiter_t *)entry->owner)->urgent)
			return true;
	}
	return false;
}

static void open_more(relay_server_t *server, uint32_t wanted)
{
	const relay_link_handlers_t handlers = {
		.opened = on_opened,
		.closed = on_closed,
		.context = server,
	};
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t limit =
		limit_now(server, now_ms) + (has_urgent_waiter(server) ? 1 : 0);

	if (now_ms < server->path.reconnect_at_ms) {
		serve_queue_after(server,
				  server->path.reconnect_at_ms - now_ms);
		return;
	}
	while (server->pool.opening < MIN(OPENING_MAX, wanted) &&
	       server->pool.links->len < limit)
		relay_link_pool_add(
			&server->pool,
			relay_link_open(server->host->base, server->host->codec,
					server->entry, NULL,
					forwarding_endpoint(server, now_ms),
					handlers));
}

/* @return number of waiters that a new connection could serve */
static uint32_t connections_wanted(const relay_server_t *server)
{
	uint32_t wanted = 0;

	for (guint i = 0; i < server->queue.entries->len; i++) {
		const wait_entry_t *entry = server->queue.entries->pdata[i];

		wanted +=
			relay_link_pool_wants_new(&server->pool, entry->owner);
	}
	return wanted;
}

/* Grants idle connections to the waiters and opens new ones if needed. */
static void serve_queue(relay_server_t *server)
{
	g_autoptr(GPtrArray) skipped = g_ptr_array_new();

	while (server->pool.idle->len && server->queue.entries->len) {
		wait_entry_t *entry =
			wait_queue_next(&server->queue, clock_boot_ms());
		relay_waiter_t *waiter = entry->owner;

		if (!relay_link_pool_can_take(&server->pool, waiter)) {
			g_ptr_array_add(skipped, entry);
			continue;
		}
		waiter->waiting = false;
		waiter->granted(waiter->context, server,
				relay_link_pool_take(&server->pool, waiter));
	}
	for (guint i = 0; i < skipped->len; i++)
		wait_queue_return(&server->queue, skipped->pdata[i]);
	if (connections_wanted(server))
		open_more(server, connections_wanted(server));
}

static void close_idle_after(relay_server_t *server, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(server->close_idle_event, &delay);
}

static uint64_t idle_limit_ms(const relay_link_t *link, bool over_hub)
{
	return over_hub && relay_link_is_forwarded(link) ? HUB_IDLE_MS :
							   IDLE_MS;
}

/*
 * Closes idle connections above the share. The oldest connection is kept
 * because it can prove which server is primary.
 */
static void on_close_idle(evutil_socket_t fd, short what, void *context)
{
	relay_server_t *server = context;
	const relay_link_t *oldest =
		server->share ? relay_link_pool_oldest_open(&server->pool) :
				NULL;
	const uint64_t now_ms = clock_boot_ms();
	const bool over_hub = hub_endpoint(server, now_ms);

	for (guint i = server->pool.idle->len;
	     i > 0 && server->pool.links->len > server->share; i--) {
		relay_link_t *link = server->pool.idle->pdata[i - 1];

		if (link == oldest ||
		    now_ms < relay_link_last_received_ms(link) +
				     idle_limit_ms(link, over_hub))
			continue;
		relay_link_pool_close(&server->pool, link);
	}
	if (server->pool.links->len > server->share)
		close_idle_after(server,
				 over_hub ? HUB_IDLE_MS / 4 : IDLE_MS / 2);
}

static void server_free(relay_server_t *server);

static void on_serve_event(evutil_socket_t fd, short what, void *context)
{
	relay_server_t *server = context;

	if (!server->retired)
		serve_queue(server);
	else if (!server->pool.links->len)
		server_free(server);
}

relay_server_t *relay_server_create(const relay_server_host_t *host,
				    backend_entry_t *entry)
{
	relay_server_t *server = g_new0(relay_server_t, 1);

	server->host = host;
	server->entry = entry;
	relay_link_pool_init(&server->pool);
	server->share = 1;
	server->burst_limit = 1;
	server->close_idle_event =
		evtimer_new(host->base, on_close_idle, server);
	relay_path_init(&server->path);
	server->run_ms = RUN_MS_DEFAULT;
	server->serve_event = evtimer_new(host->base, on_serve_event, server);
	wait_queue_init(&server->queue);
	return server;
}

static void server_free(relay_server_t *server)
{
	relay_link_pool_clear(&server->pool);
	event_free(server->serve_event);
	event_free(server->close_idle_event);
	wait_queue_clear(&server->queue);
	backend_entry_delete(server->entry);
	g_free(server);
}

void relay_server_destroy(relay_server_t *server)
{
	server->retired = true;
	refuse_all(server);
	relay_link_pool_close_unused(&server->pool);
	serve_queue_after(server, 0);
}

bool relay_server_is_retired(const relay_server_t *server)
{
	return server->retired;
}

void relay_server_update(relay_server_t *server, backend_entry_t *entry)
{
	backend_entry_delete(server->entry);
	server->entry = entry;
}

const backend_entry_t *relay_server_entry(const relay_server_t *server)
{
	return server->entry;
}

void relay_server_set_limit(relay_server_t *server, uint32_t share,
			    uint32_t burst_limit)
{
	server->share = share;
	server->burst_limit = MAX(share, burst_limit);
	serve_queue_after(server, 0);
}

void relay_server_acquire(relay_server_t *server, relay_waiter_t *waiter)
{
	waiter->entry.owner = waiter;
	waiter->entry.customer = waiter->customer;
	if (waiter->direct &&
	    clock_boot_ms() < server->path.forwarding_until_ms) {
		waiter->refused(waiter->context, server);
		return;
	}
	waiter->waiting = true;
	wait_queue_add(&server->queue, &waiter->entry);
	serve_queue(server);
}

void relay_server_cancel_wait(relay_server_t *server, relay_waiter_t *waiter)
{
	if (!waiter->waiting)
		return;
	waiter->waiting = false;
	wait_queue_remove(&server->queue, &waiter->entry);
}

void relay_server_release(relay_server_t *server, relay_link_t *link,
			  uint64_t held_ms)
{
	wait_queue_served(&server->queue, held_ms);
	if (server->retired || server->pool.links->len > server->burst_limit ||
	    !relay_link_is_open(link) || relay_link_is_busy(link)) {
		relay_server_discard(server, link);
		return;
	}
	relay_link_pool_put_idle(&server->pool, link);
	serve_queue(server);
	if (server->pool.links->len > server->share &&
	    !evtimer_pending(server->close_idle_event, NULL))
		close_idle_after(server, IDLE_MS);
}

void relay_server_discard(relay_server_t *server, relay_link_t *link)
{
	record_received(server, link, relay_link_last_received_ms(link));
	if (relay_link_is_forwarded(link))
		relay_path_forwarding_failed(&server->path);
	relay_link_pool_close(&server->pool, link);
	serve_queue_after(server, 0);
}

void relay_server_record_run_time(relay_server_t *server, uint64_t run_ms)
{
	server->run_ms += RUN_MS_WEIGHT * ((double)run_ms - server->run_ms);
	server->unanswered = 0;
	server->avoid_until_ms = 0;
}

/*
 * Switches to other connections. The server does not answer at all, so that its
 * idle connections are useless and new ones on the same way would hang.
 */
static void switch_to_forwarding(relay_server_t *server, uint64_t now_ms)
{
	const bool over_hub = hub_endpoint(server, now_ms);

	relay_path_forward(&server->path, now_ms);
	hub_failed(server);
	for (guint i = server->pool.idle->len; i > 0; i--) {
		relay_link_t *link = server->pool.idle->pdata[i - 1];

		if (relay_link_is_forwarded(link) != over_hub)
			continue;
		relay_link_pool_close(&server->pool, link);
	}
	log_event(LOG_LEVEL_NOTICE, "server_unresponsive",
		  "server=%s heard_ms_ago=%" PRIu64 " open=%u",
		  server->entry->id, now_ms - server->last_received_ms,
		  server->pool.links->len - server->pool.opening);
	serve_queue_after(server, 0);
}

void relay_server_forwarding_refused(relay_server_t *server)
{
	hub_failed(server);
}

void relay_server_record_timeout(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();

	if (++server->unanswered < AVOID_AFTER)
		return;
	server->avoid_until_ms = now_ms + AVOID_MS;
	if (now_ms >= relay_server_last_received_ms(server) + CUT_OFF_MS)
		switch_to_forwarding(server, now_ms);
	server->host->on_connection_failure(server->host->context, server);
}

bool relay_server_is_usable(const relay_server_t *server, uint64_t now_ms)
{
	if (now_ms < server->avoid_until_ms ||
	    !outlier_may_run(&server->outlier, now_ms))
		return false;
	return server->pool.links->len > server->pool.opening ||
	       now_ms >= server->path.reconnect_at_ms;
}

bool relay_server_is_full(const relay_server_t *server)
{
	return server->path.is_full;
}

uint64_t relay_server_last_received_ms(const relay_server_t *server)
{
	uint64_t last_received_ms = server->last_received_ms;

	for (guint i = 0; i < server->pool.links->len; i++) {
		const relay_link_t *link = server->pool.links->pdata[i];

		if (relay_link_is_open(link) && !relay_link_is_forwarded(link))
			last_received_ms =
				MAX(last_received_ms,
				    relay_link_last_received_ms(link));
	}
	return last_received_ms;
}

/* @return number of connections that are open or can be opened soon */
static uint32_t capacity(const relay_server_t *server)
{
	const uint32_t open = server->pool.links->len - server->pool.opening;
	const uint64_t now_ms = clock_boot_ms();

	if (now_ms < server->path.full_until_ms ||
	    now_ms < server->path.reconnect_at_ms)
		return MAX(open, 1);
	return MAX(MIN(server->burst_limit, open + OPENING_MAX), 1);
}

uint64_t relay_server_wait_ms(const relay_server_t *server)
{
	if (server->pool.idle->len > server->queue.entries->len)
		return 0;
	return wait_queue_estimate_ms(&server->queue, capacity(server));
}

uint64_t relay_server_mean_run_ms(const relay_server_t *server)
{
	return (uint64_t)server->run_ms;
}

bool relay_server_can_serve(const relay_server_t *server,
			    const relay_waiter_t *waiter, uint64_t now_ms)
{
	return wait_queue_can_serve(&server->queue, &waiter->entry,
				    capacity(server), now_ms);
}

uint32_t relay_server_open_count(const relay_server_t *server)
{
	return server->pool.links->len - server->pool.opening;
}

uint32_t relay_server_share(const relay_server_t *server)
{
	return server->share;
}

void relay_server_ensure_connection(relay_server_t *server)
{
	if (!server->pool.links->len)
		open_more(server, 1);
}

uint64_t relay_server_oldest_opened_ms(const relay_server_t *server)
{
	const relay_link_t *oldest = relay_link_pool_oldest_open(&server->pool);

	return oldest ? relay_link_opened_ms(oldest) : UINT64_MAX;
}

replica_lag_t *relay_server_lag(relay_server_t *server)
{
	return &server->lag;
}

uint64_t relay_server_lag_ms(const relay_server_t *server, uint64_t now_ms)
{
	return replica_lag_ms(&server->lag, now_ms);
}

outlier_t *relay_server_outlier(relay_server_t *server)
{
	return &server->outlier;
}

send_budget_t *relay_server_budget(relay_server_t *server)
{
	return &server->budget;
}

zone_server_t *relay_server_zone(relay_server_t *server)
{
	return &server->zone;
}

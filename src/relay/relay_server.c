#include "relay/relay_server_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

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

/*
 * Time after which the refusal of a hub means that no connection of the
 * statement's customer became free there. Other hubs of the domain have none
 * to the server, and the statements of other customers must not leave the hub.
 */
#define SHORT_OF_CONNECTIONS_MS 500

/* Idle time before the first look at connections above the share. */
#define IDLE_MS 400

static void server_free(relay_server_t *server)
{
	relay_link_pool_clear(&server->pool);
	event_free(server->serve_event);
	g_clear_pointer(&server->close_idle_event, event_free);
	g_free(server->budget);
	wait_queue_clear(&server->queue);
	customer_uses_clear(&server->uses);
	backend_entry_delete(server->entry);
	g_free(server);
}

static void on_serve_event(evutil_socket_t fd, short what, void *context)
{
	relay_server_t *server = context;

	if (!server->retired)
		relay_server_serve(server);
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
	relay_path_init(&server->path);
	server->run_ms = RUN_MS_DEFAULT;
	server->serve_event = evtimer_new(host->base, on_serve_event, server);
	wait_queue_init(&server->queue);
	customer_uses_init(&server->uses);
	return server;
}

void relay_server_destroy(relay_server_t *server)
{
	server->retired = true;
	relay_server_refuse_all(server);
	relay_link_pool_close_unused(&server->pool);
	relay_server_serve_after(server, 0);
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
	burst_limit = MAX(share, burst_limit);
	if (server->share == share && server->burst_limit == burst_limit &&
	    !server->by_customer)
		return;
	server->share = share;
	server->burst_limit = burst_limit;
	server->by_customer = false;
	relay_server_serve_after(server, 0);
}

void relay_server_set_customer_limit(relay_server_t *server, uint32_t control,
				     uint32_t room, uint32_t forwarded)
{
	if (server->by_customer && server->share == control &&
	    server->room == room && server->burst_limit == forwarded)
		return;
	server->share = control;
	server->burst_limit = forwarded;
	server->room = room;
	server->by_customer = true;
	if (server->pool.links->len)
		relay_server_close_idle_after(server, 0);
	relay_server_serve_after(server, 0);
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
	if (waiter->direct && !relay_server_may_wait(server, waiter)) {
		waiter->refused(waiter->context, server);
		return;
	}
	waiter->waiting = true;
	waiter->queued_ms = clock_boot_ms();
	wait_queue_add(&server->queue, &waiter->entry);
	relay_server_serve(server);
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
	if (server->retired || relay_server_is_above_limit(server, link) ||
	    !relay_link_is_open(link) || relay_link_is_busy(link)) {
		relay_server_discard(server, link);
		return;
	}
	relay_link_pool_put_idle(&server->pool, link);
	relay_server_serve(server);
	if ((server->by_customer || server->pool.links->len > server->share) &&
	    !(server->close_idle_event &&
	      evtimer_pending(server->close_idle_event, NULL)))
		relay_server_close_idle_after(server, IDLE_MS);
}

void relay_server_discard(relay_server_t *server, relay_link_t *link)
{
	relay_server_record_received(server, link,
				     relay_link_last_received_ms(link));
	if (relay_link_is_forwarded(link))
		relay_path_forwarding_failed(&server->path);
	relay_link_pool_close(&server->pool, link);
	relay_server_serve_after(server, 0);
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
	const bool over_hub = relay_server_hub(server, now_ms);

	relay_path_forward(&server->path, now_ms);
	relay_server_hub_failed(server);
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
	relay_server_serve_after(server, 0);
}

void relay_server_forwarding_refused(relay_server_t *server, uint64_t waited_ms)
{
	if (server->by_customer && waited_ms >= SHORT_OF_CONNECTIONS_MS)
		return;
	relay_server_hub_failed(server);
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
	return MAX(MIN(relay_server_limit(server, now_ms),
		       open + RELAY_SERVER_OPENING_MAX),
		   1);
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

bool relay_server_ensure_connection(relay_server_t *server)
{
	const guint before = server->pool.links->len;

	if (server->by_customer)
		relay_server_ensure_control(server);
	else if (!before)
		relay_server_open_more(server, 1);
	return server->pool.links->len > before;
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
	if (!server->budget)
		server->budget = g_new0(send_budget_t, 1);
	return server->budget;
}

zone_server_t *relay_server_zone(relay_server_t *server)
{
	return &server->zone;
}

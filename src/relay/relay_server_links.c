#include "relay/relay_server_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_customer_links.h"

/* Idle time after which a connection above the share is closed. */
#define IDLE_MS 400

/* Idle time of a connection over a hub; it occupies no server connection. */
#define HUB_IDLE_MS 10000

void relay_server_serve_after(relay_server_t *server, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(server->serve_event, &delay);
}

void relay_server_refuse_all(relay_server_t *server)
{
	wait_entry_t *entry;

	while ((entry = wait_queue_next(&server->queue, 0))) {
		relay_waiter_t *waiter = entry->owner;

		waiter->waiting = false;
		waiter->refused(waiter->context, server);
	}
}

/* @return the hub to connect through, or NULL to connect directly */
const endpoint_t *relay_server_hub(const relay_server_t *server,
				   uint64_t now_ms)
{
	return server->host->hub(
		server->host->context, server,
		relay_path_hub_failures(&server->path, now_ms));
}

void relay_server_hub_failed(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();

	if (relay_server_hub(server, now_ms))
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
		relay_server_hub_failed(server);
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
void relay_server_record_received(relay_server_t *server,
				  const relay_link_t *link,
				  uint64_t last_received_ms)
{
	if (!relay_link_is_forwarded(link))
		server->last_received_ms =
			MAX(server->last_received_ms, last_received_ms);
}

void relay_server_count(relay_server_t *server, const char *event)
{
	if (server->host->count_connection)
		server->host->count_connection(server->host->context, server,
					       event);
}

static void on_opened(void *context, relay_link_t *link, log_point_t point,
		      uint64_t requested_ms)
{
	relay_server_t *server = context;

	relay_path_opened(&server->path, relay_link_is_forwarded(link));
	relay_server_record_received(server, link, clock_boot_ms());
	relay_link_pool_put_idle(&server->pool, link);
	if (!relay_link_is_forwarded(link))
		relay_server_count(server, "opened");
	server->host->opened(server->host->context, server, point,
			     requested_ms);
	relay_server_serve(server);
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
		relay_server_record_received(server, link, clock_boot_ms());
	relay_link_pool_close(&server->pool, link);
	if (error == RELAY_ERROR_CONNECTION_LIMIT)
		relay_path_limited(&server->path, clock_boot_ms());
	else
		server->host->on_connection_failure(server->host->context,
						    server);
	if (!server->pool.links->len && error != RELAY_ERROR_CONNECTION_LIMIT)
		relay_server_refuse_all(server);
	relay_server_serve_after(server, 0);
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
	hub = relay_server_hub(server, now_ms);
	if (hub || now_ms >= server->path.forwarding_until_ms)
		return hub;
	return server->host->forwarding_node(server->host->context, server);
}

static uint32_t limit_now(const relay_server_t *server, uint64_t now_ms)
{
	return now_ms < server->path.full_until_ms ? MAX(server->share, 1) :
						     server->burst_limit;
}

bool relay_server_has_urgent_waiter(const relay_server_t *server)
{
	for (guint i = 0; i < server->queue.entries->len; i++) {
		const wait_entry_t *entry = server->queue.entries->pdata[i];

		if (((relay_waiter_t *)entry->owner)->urgent)
			return true;
	}
	return false;
}

/* @param via node that forwards the connection, or NULL */
void relay_server_open_link(relay_server_t *server, const char *customer,
			    const endpoint_t *via)
{
	const relay_link_handlers_t handlers = {
		.opened = on_opened,
		.closed = on_closed,
		.context = server,
	};

	relay_link_pool_add(&server->pool,
			    relay_link_open(server->host->base,
					    server->host->codec, server->entry,
					    customer, via, handlers));
}

void relay_server_open_more(relay_server_t *server, uint32_t wanted)
{
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t limit = limit_now(server, now_ms) +
			       (relay_server_has_urgent_waiter(server) ? 1 : 0);

	if (now_ms < server->path.reconnect_at_ms) {
		relay_server_serve_after(server,
					 server->path.reconnect_at_ms - now_ms);
		return;
	}
	while (server->pool.opening < MIN(RELAY_SERVER_OPENING_MAX, wanted) &&
	       server->pool.links->len < limit)
		relay_server_open_link(server, NULL,
				       forwarding_endpoint(server, now_ms));
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

void relay_server_grant(relay_server_t *server, relay_waiter_t *waiter)
{
	waiter->waiting = false;
	waiter->granted(waiter->context, server,
			relay_link_pool_take(&server->pool, waiter));
}

static void grant_idle(relay_server_t *server)
{
	g_autoptr(GPtrArray) skipped = g_ptr_array_new();

	while (server->pool.idle->len && server->queue.entries->len) {
		wait_entry_t *entry =
			wait_queue_next(&server->queue, clock_boot_ms());

		if (relay_link_pool_can_take(&server->pool, entry->owner))
			relay_server_grant(server, entry->owner);
		else
			g_ptr_array_add(skipped, entry);
	}
	for (guint i = 0; i < skipped->len; i++)
		wait_queue_return(&server->queue, skipped->pdata[i]);
}

void relay_server_serve(relay_server_t *server)
{
	if (server->by_customer) {
		relay_server_serve_customers(server);
		return;
	}
	grant_idle(server);
	if (connections_wanted(server))
		relay_server_open_more(server, connections_wanted(server));
}

void relay_server_close_idle_after(relay_server_t *server, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	if (!server->close_idle_event)
		server->close_idle_event = evtimer_new(
			server->host->base, relay_server_on_close_idle, server);
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
static void close_idle_above_share(relay_server_t *server)
{
	const relay_link_t *oldest =
		server->share ? relay_link_pool_oldest_open(&server->pool) :
				NULL;
	const uint64_t now_ms = clock_boot_ms();
	const bool over_hub = relay_server_hub(server, now_ms);

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
		relay_server_close_idle_after(
			server, over_hub ? HUB_IDLE_MS / 4 : IDLE_MS / 2);
}

void relay_server_on_close_idle(evutil_socket_t fd, short what, void *context)
{
	relay_server_t *server = context;

	if (server->by_customer)
		relay_server_close_idle_customers(server);
	else
		close_idle_above_share(server);
}

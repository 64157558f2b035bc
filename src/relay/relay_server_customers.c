#include "relay/relay_server_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_customer_links.h"

/* Interval of looking for connections that were idle for long. */
#define CLOSE_IDLE_INTERVAL_MS 1000

/* @return connections to the server itself that this node may have now */
static uint32_t direct_room(const relay_server_t *server, uint64_t now_ms)
{
	const uint32_t direct = relay_link_pool_direct_count(&server->pool);
	const bool first = !server->host->hub(server->host->context, server, 0);
	const uint32_t room = first ? server->room : server->share;

	return now_ms < server->path.full_until_ms ?
		       MIN(room, MAX(direct, server->share)) :
		       room;
}

/*
 * Statements of callers go over the hub that ranks first for the server. If
 * this is the node itself, or the hub failed, they go to the server as far as
 * the node has room there, or else over another failure domain.
 */
static const endpoint_t *customer_endpoint(const relay_server_t *server,
					   uint64_t now_ms)
{
	const endpoint_t *hub = relay_server_hub(server, now_ms);

	if (hub || (now_ms >= server->path.forwarding_until_ms &&
		    direct_room(server, now_ms) > server->share))
		return hub;
	return server->host->forwarding_node(server->host->context, server);
}

/* Other nodes may reach a server to which this one could not connect. */
static const endpoint_t *control_endpoint(const relay_server_t *server,
					  uint64_t now_ms)
{
	if (now_ms >= server->path.forwarding_until_ms ||
	    !relay_server_has_urgent_waiter(server))
		return NULL;
	return server->host->forwarding_node(server->host->context, server);
}

static relay_customer_links_t
customer_links(relay_server_t *server, const endpoint_t *via, uint64_t now_ms)
{
	const uint32_t room = direct_room(server, now_ms);

	return (relay_customer_links_t){
		.pool = &server->pool,
		.queue = &server->queue,
		.uses = &server->uses,
		/* Without any hub the node must reach the server itself. */
		.room = via ? room : MAX(room, 1),
		.reserved = server->share,
		.forwards = via,
		.now_ms = now_ms,
	};
}

static void log_closed_for(relay_server_t *server, relay_link_t *link,
			   const char *customer)
{
	const char *closed = relay_link_state(link)->customer;

	log_event(LOG_LEVEL_INFO, "connection_closed_for_customer",
		  "server=%s closed=\"%s\" opened=\"%s\" unused_ms=%" PRIu64
		  " served=%d",
		  server->entry->id, closed ? closed : "",
		  customer ? customer : "",
		  clock_boot_ms() - relay_link_last_received_ms(link),
		  relay_link_has_served(link));
}

/* Opens the connections that the waiting customers are to get. */
static void open_for_customers(relay_server_t *server,
			       const relay_customer_links_t *links)
{
	while (server->pool.opening < RELAY_SERVER_OPENING_MAX) {
		relay_link_t *closing = NULL;
		const customer_pool_decision_t decision =
			relay_customer_links_decide(links, &closing);

		if (decision.action == CUSTOMER_POOL_OPEN) {
			relay_server_open_link(server, decision.customer, NULL);
		} else if (decision.action == CUSTOMER_POOL_CLOSE) {
			log_closed_for(server, closing, decision.customer);
			relay_server_count(server, "closed_for_customer");
			relay_link_pool_close(&server->pool, closing);
		} else {
			if (decision.retry_at_ms)
				relay_server_serve_after(server,
							 decision.retry_at_ms -
								 links->now_ms);
			break;
		}
	}
}

static void open_forwarded(relay_server_t *server,
			   const relay_customer_links_t *links,
			   const endpoint_t *via)
{
	while (via && server->pool.opening < RELAY_SERVER_OPENING_MAX &&
	       relay_customer_links_forwarded_wanted(links) &&
	       server->pool.links->len -
			       relay_link_pool_direct_count(&server->pool) <
		       server->burst_limit)
		relay_server_open_link(server, NULL, via);
}

static bool can_grant(void *context, const wait_entry_t *entry)
{
	return relay_link_pool_can_take(context, entry->owner);
}

/* Only the customers of the idle connections can be served. */
static void grant_idle(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();
	wait_entry_t *entry;

	while (server->pool.idle->len &&
	       (entry = wait_queue_next_accepted(&server->queue, now_ms,
						 can_grant, &server->pool))) {
		relay_waiter_t *waiter = entry->owner;

		customer_uses_record(&server->uses, waiter->customer, now_ms);
		relay_server_grant(server, waiter);
	}
}

void relay_server_serve_customers(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();
	const endpoint_t *via = customer_endpoint(server, now_ms);
	const endpoint_t *control_via = control_endpoint(server, now_ms);
	relay_customer_links_t links = customer_links(server, via, now_ms);
	const bool may_connect = now_ms >= server->path.reconnect_at_ms;

	if (!server->queue.entries->len)
		return;
	links.control_forwards = control_via;
	if (!may_connect)
		relay_server_serve_after(server,
					 server->path.reconnect_at_ms - now_ms);
	else
		open_for_customers(server, &links);
	grant_idle(server);
	if (may_connect)
		open_forwarded(server, &links, control_via ? control_via : via);
}

void relay_server_close_idle_customers(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();
	const relay_customer_links_t links = customer_links(
		server, customer_endpoint(server, now_ms), now_ms);
	relay_link_t *link;

	while ((link = relay_customer_links_expired(&links))) {
		relay_server_count(server, "closed_idle");
		relay_link_pool_close(&server->pool, link);
	}
	if (server->pool.links->len > server->share)
		relay_server_close_idle_after(server, CLOSE_IDLE_INTERVAL_MS);
}

void relay_server_ensure_control(relay_server_t *server)
{
	const uint64_t now_ms = clock_boot_ms();
	const relay_customer_links_t links =
		customer_links(server, NULL, now_ms);

	if (relay_customer_links_has_control(&links) ||
	    now_ms < server->path.reconnect_at_ms ||
	    server->pool.opening >= RELAY_SERVER_OPENING_MAX)
		return;
	relay_server_open_link(server, NULL, NULL);
}

bool relay_server_may_wait(relay_server_t *server, const relay_waiter_t *waiter)
{
	return !server->by_customer || waiter->urgent ||
	       direct_room(server, clock_boot_ms()) > server->share ||
	       relay_link_pool_can_take(&server->pool, waiter);
}

bool relay_server_is_above_limit(const relay_server_t *server,
				 const relay_link_t *link)
{
	const uint32_t direct = relay_link_pool_direct_count(&server->pool);

	if (!server->by_customer)
		return server->pool.links->len > server->burst_limit ||
		       (!relay_link_is_forwarded(link) &&
			relay_link_state((relay_link_t *)link)->customer);
	if (relay_link_is_forwarded(link))
		return server->pool.links->len - direct > server->burst_limit;
	return direct > MAX(server->room, 1) + 1;
}

uint32_t relay_server_limit(const relay_server_t *server, uint64_t now_ms)
{
	if (!server->by_customer || customer_endpoint(server, now_ms))
		return server->burst_limit;
	return direct_room(server, now_ms);
}

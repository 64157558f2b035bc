#include "relay/relay_customer_links.h"

/*
 * Time after which an unused connection is closed although its room is not
 * needed. Opening a new one costs the server 12 ms of a slot.
 */
#define IDLE_MS 10000

/*
 * The same while more than half of the room is in use. When all VMs lose power,
 * servers count their connections for 3 s more; what is not kept idle is then
 * free for the VMs that are back.
 */
#define IDLE_ABOVE_HALF_MS 1000

bool relay_customer_links_is_direct(const relay_customer_links_t *links,
				    const relay_waiter_t *waiter)
{
	if (waiter->urgent)
		return !links->control_forwards;
	return waiter->direct || !links->forwards;
}

static void append_connections(const relay_customer_links_t *links,
			       GArray *connections, GPtrArray *direct)
{
	const relay_link_pool_t *pool = links->pool;

	for (guint i = 0; i < pool->links->len; i++) {
		relay_link_t *link = pool->links->pdata[i];
		customer_pool_connection_t connection = {
			.customer = relay_link_state(link)->customer,
			.state = CUSTOMER_POOL_OPENING,
			.used_ms = relay_link_last_received_ms(link),
			.served = relay_link_has_served(link),
		};

		if (relay_link_is_forwarded(link))
			continue;
		if (relay_link_pool_is_granted(pool, link))
			connection.state = CUSTOMER_POOL_BUSY;
		else if (relay_link_is_open(link))
			connection.state = CUSTOMER_POOL_IDLE;
		g_array_append_val(connections, connection);
		g_ptr_array_add(direct, link);
	}
}

static GArray *list_waiters(const relay_customer_links_t *links)
{
	const GPtrArray *entries = links->queue->entries;
	GArray *list =
		g_array_new(FALSE, FALSE, sizeof(customer_pool_waiter_t));

	for (guint i = 0; i < entries->len; i++) {
		const wait_entry_t *entry = entries->pdata[i];
		const relay_waiter_t *waiter = entry->owner;
		const customer_pool_waiter_t item = {
			.customer = waiter->customer,
			.due_ms = entry->target_ms,
			.queued_ms = waiter->queued_ms,
			.urgent = waiter->urgent,
		};

		if (relay_customer_links_is_direct(links, waiter) &&
		    relay_link_pool_wants_new(links->pool, waiter))
			g_array_append_val(list, item);
	}
	return list;
}

customer_pool_decision_t
relay_customer_links_decide(const relay_customer_links_t *links,
			    relay_link_t **closing)
{
	g_autoptr(GPtrArray) direct = g_ptr_array_new();
	g_autoptr(GArray) waiters = list_waiters(links);
	g_autoptr(GArray) connections =
		g_array_new(FALSE, FALSE, sizeof(customer_pool_connection_t));
	customer_pool_decision_t decision = {.action = CUSTOMER_POOL_WAIT};
	customer_pool_input_t input;

	if (!waiters->len)
		return decision;
	append_connections(links, connections, direct);
	input = (customer_pool_input_t){
		.connections = (customer_pool_connection_t *)connections->data,
		.connections_count = connections->len,
		.waiters = (customer_pool_waiter_t *)waiters->data,
		.waiters_count = waiters->len,
		.uses = links->uses,
		.room = links->room,
		.reserved = links->reserved,
		.now_ms = links->now_ms,
	};
	decision = customer_pool_decide(&input);
	if (decision.action == CUSTOMER_POOL_CLOSE)
		*closing = direct->pdata[decision.connection];
	return decision;
}

static uint32_t control_count(const relay_customer_links_t *links)
{
	uint32_t count = 0;

	for (guint i = 0; i < links->pool->links->len; i++) {
		relay_link_t *link = links->pool->links->pdata[i];

		count += !relay_link_is_forwarded(link) &&
			 !relay_link_state(link)->customer;
	}
	return count;
}

bool relay_customer_links_has_control(const relay_customer_links_t *links)
{
	return control_count(links) > 0;
}

/* @return whether the link is one of those kept for control statements */
static bool is_reserved(const relay_customer_links_t *links, relay_link_t *link)
{
	return !relay_link_is_forwarded(link) &&
	       !relay_link_state(link)->customer &&
	       control_count(links) <= links->reserved;
}

/* @return the least recently used idle link, or NULL */
static relay_link_t *least_recent(const relay_customer_links_t *links,
				  bool direct_only)
{
	const GPtrArray *idle = links->pool->idle;
	relay_link_t *oldest = NULL;

	for (guint i = 0; i < idle->len; i++) {
		relay_link_t *link = idle->pdata[i];

		if (is_reserved(links, link) ||
		    (direct_only && relay_link_is_forwarded(link)))
			continue;
		if (!oldest || relay_link_last_received_ms(link) <
				       relay_link_last_received_ms(oldest))
			oldest = link;
	}
	return oldest;
}

static bool is_unused(const relay_customer_links_t *links,
		      const relay_link_t *link, uint64_t time_ms)
{
	return link &&
	       links->now_ms >= relay_link_last_received_ms(link) + time_ms;
}

relay_link_t *relay_customer_links_expired(const relay_customer_links_t *links)
{
	const uint32_t direct = relay_link_pool_direct_count(links->pool);
	relay_link_t *any = least_recent(links, false);
	relay_link_t *own = least_recent(links, true);

	if (is_unused(links, any, IDLE_MS))
		return any;
	if (direct > links->room)
		return own;
	if (direct > MAX(links->room / 2, 1) &&
	    is_unused(links, own, IDLE_ABOVE_HALF_MS))
		return own;
	return NULL;
}

uint32_t
relay_customer_links_forwarded_wanted(const relay_customer_links_t *links)
{
	const GPtrArray *entries = links->queue->entries;
	const relay_link_pool_t *pool = links->pool;
	uint32_t wanted = 0;
	uint32_t opening = 0;

	for (guint i = 0; i < entries->len; i++) {
		const wait_entry_t *entry = entries->pdata[i];

		wanted += !relay_customer_links_is_direct(links, entry->owner);
	}
	for (guint i = 0; i < pool->links->len; i++) {
		const relay_link_t *link = pool->links->pdata[i];

		opening += relay_link_is_forwarded(link) &&
			   !relay_link_is_open(link) &&
			   !relay_link_pool_is_granted(pool, link);
	}
	return wanted - MIN(wanted, opening);
}

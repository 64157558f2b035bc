#include "relay/relay_link_pool.h"

void relay_link_pool_init(relay_link_pool_t *pool)
{
	pool->links = g_ptr_array_new();
	pool->idle = g_ptr_array_new();
	pool->granted = g_ptr_array_new();
}

void relay_link_pool_clear(relay_link_pool_t *pool)
{
	g_ptr_array_unref(pool->links);
	g_ptr_array_unref(pool->idle);
	g_ptr_array_unref(pool->granted);
}

void relay_link_pool_add(relay_link_pool_t *pool, relay_link_t *link)
{
	g_ptr_array_add(pool->links, link);
	pool->opening++;
}

void relay_link_pool_put_idle(relay_link_pool_t *pool, relay_link_t *link)
{
	if (!g_ptr_array_remove_fast(pool->granted, link))
		pool->opening--;
	g_ptr_array_add(pool->idle, link);
}

void relay_link_pool_close(relay_link_pool_t *pool, relay_link_t *link)
{
	if (!g_ptr_array_remove_fast(pool->granted, link))
		g_ptr_array_remove_fast(pool->idle, link);
	g_ptr_array_remove_fast(pool->links, link);
	relay_link_destroy(link);
}

void relay_link_pool_close_unused(relay_link_pool_t *pool)
{
	for (guint i = pool->links->len; i > 0; i--) {
		relay_link_t *link = pool->links->pdata[i - 1];

		if (relay_link_pool_is_granted(pool, link))
			continue;
		g_ptr_array_remove_index_fast(pool->links, i - 1);
		relay_link_destroy(link);
	}
	g_ptr_array_set_size(pool->idle, 0);
	pool->opening = 0;
}

bool relay_link_pool_is_granted(const relay_link_pool_t *pool,
				const relay_link_t *link)
{
	return g_ptr_array_find(pool->granted, link, NULL);
}

relay_link_t *relay_link_pool_oldest_open(const relay_link_pool_t *pool)
{
	relay_link_t *oldest = NULL;

	for (guint i = 0; i < pool->links->len; i++) {
		relay_link_t *link = pool->links->pdata[i];

		if (relay_link_is_open(link) &&
		    !relay_link_state(link)->customer &&
		    (!oldest ||
		     relay_link_opened_ms(link) < relay_link_opened_ms(oldest)))
			oldest = link;
	}
	return oldest;
}

static bool values_match(GHashTable *wanted, GHashTable *held)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if ((wanted ? g_hash_table_size(wanted) : 0) != g_hash_table_size(held))
		return false;
	if (!wanted)
		return true;
	g_hash_table_iter_init(&iter, wanted);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (g_strcmp0(g_hash_table_lookup(held, name), value))
			return false;
	return true;
}

/*
 * A connection to the server serves the customer in whose name it was opened.
 * A forwarded one is switched to the customer of the next statement, except
 * back to control statements, which do not name one.
 */
bool relay_link_pool_may_take(const relay_waiter_t *waiter, relay_link_t *link)
{
	const char *customer = relay_link_state(link)->customer;

	if (!relay_link_is_forwarded(link))
		return !g_strcmp0(customer, waiter->customer);
	return !waiter->direct && (!waiter->urgent || !customer);
}

static guint oldest_idle(const relay_link_pool_t *pool,
			 const relay_waiter_t *waiter)
{
	guint oldest = pool->idle->len;

	for (guint i = 0; i < pool->idle->len; i++) {
		relay_link_t *link = pool->idle->pdata[i];

		if (relay_link_pool_may_take(waiter, link) &&
		    (oldest == pool->idle->len ||
		     relay_link_opened_ms(link) <
			     relay_link_opened_ms(pool->idle->pdata[oldest])))
			oldest = i;
	}
	return oldest;
}

static relay_link_t *grant_idle(relay_link_pool_t *pool, guint index)
{
	g_ptr_array_add(pool->granted, pool->idle->pdata[index]);
	return g_ptr_array_steal_index(pool->idle, index);
}

static bool is_old_enough(const relay_waiter_t *waiter,
			  const relay_link_t *link)
{
	return !waiter->opened_before_ms ||
	       relay_link_opened_ms(link) < waiter->opened_before_ms;
}

/* @return whether an open connection, idle or not, is old enough */
static bool has_old_enough(const relay_link_pool_t *pool,
			   const relay_waiter_t *waiter)
{
	for (guint i = 0; i < pool->links->len; i++) {
		relay_link_t *link = pool->links->pdata[i];

		if (relay_link_is_open(link) && is_old_enough(waiter, link) &&
		    relay_link_pool_may_take(waiter, link))
			return true;
	}
	return false;
}

relay_link_t *relay_link_pool_take(relay_link_pool_t *pool,
				   const relay_waiter_t *waiter)
{
	const relay_link_t *best = NULL;
	bool best_matches = false;
	guint chosen = 0;

	if (waiter->urgent)
		return grant_idle(pool, oldest_idle(pool, waiter));

	for (guint i = 0; i < pool->idle->len; i++) {
		relay_link_t *link = pool->idle->pdata[i];
		const bool matches = values_match(
			waiter->values, relay_link_state(link)->values);

		if (!relay_link_pool_may_take(waiter, link))
			continue;
		if (best && (best_matches != matches ?
				     best_matches :
				     relay_link_opened_ms(best) >=
					     relay_link_opened_ms(link)))
			continue;
		best = link;
		best_matches = matches;
		chosen = i;
	}
	return grant_idle(pool, chosen);
}

bool relay_link_pool_can_take(const relay_link_pool_t *pool,
			      const relay_waiter_t *waiter)
{
	const bool needs_old =
		waiter->opened_before_ms && has_old_enough(pool, waiter);

	for (guint i = 0; i < pool->idle->len; i++) {
		relay_link_t *link = pool->idle->pdata[i];

		if (relay_link_pool_may_take(waiter, link) &&
		    (!needs_old || is_old_enough(waiter, link)))
			return true;
	}
	return false;
}

uint32_t relay_link_pool_direct_count(const relay_link_pool_t *pool)
{
	uint32_t count = 0;

	for (guint i = 0; i < pool->links->len; i++)
		count += !relay_link_is_forwarded(pool->links->pdata[i]);
	return count;
}

bool relay_link_pool_wants_new(const relay_link_pool_t *pool,
			       const relay_waiter_t *waiter)
{
	return !waiter->opened_before_ms || !has_old_enough(pool, waiter);
}

#ifndef RELAY_RELAY_LINK_POOL_H
#define RELAY_RELAY_LINK_POOL_H

#include "relay/relay_waiter.h"

/** The connections of a node to one server, which the pool owns. */
typedef struct {
	GPtrArray *links;   /**< relay_link_t: opening, idle and granted */
	GPtrArray *idle;    /**< relay_link_t */
	GPtrArray *granted; /**< relay_link_t in use */
	uint32_t opening;   /**< number of links that are being opened */
} relay_link_pool_t;

void relay_link_pool_init(relay_link_pool_t *pool);

/** Frees the arrays; all links must have been removed. */
void relay_link_pool_clear(relay_link_pool_t *pool);

/** Adds a link that is being opened. */
void relay_link_pool_add(relay_link_pool_t *pool, relay_link_t *link);

/** Makes a link available: it was opened or its user returned it. */
void relay_link_pool_put_idle(relay_link_pool_t *pool, relay_link_t *link);

/** Closes a link that is idle or in use. */
void relay_link_pool_close(relay_link_pool_t *pool, relay_link_t *link);

/** Closes the links that are not in use. */
void relay_link_pool_close_unused(relay_link_pool_t *pool);

bool relay_link_pool_is_granted(const relay_link_pool_t *pool,
				const relay_link_t *link);

/** @return the link without a customer that was opened first, or NULL */
relay_link_t *relay_link_pool_oldest_open(const relay_link_pool_t *pool);

/** @return whether an idle link can serve @p waiter */
bool relay_link_pool_can_take(const relay_link_pool_t *pool,
			      const relay_waiter_t *waiter);

/**
 * Grants an idle link: one whose variables match if there is one, and the
 * newest of several, because the old ones are kept free to prove which server
 * is primary. relay_link_pool_can_take() must hold.
 */
relay_link_t *relay_link_pool_take(relay_link_pool_t *pool,
				   const relay_waiter_t *waiter);

/** @return whether the link could serve @p waiter when it is idle */
bool relay_link_pool_may_take(const relay_waiter_t *waiter, relay_link_t *link);

/** @return number of links to the server itself */
uint32_t relay_link_pool_direct_count(const relay_link_pool_t *pool);

/** @return whether a new link could serve @p waiter */
bool relay_link_pool_wants_new(const relay_link_pool_t *pool,
			       const relay_waiter_t *waiter);

#endif

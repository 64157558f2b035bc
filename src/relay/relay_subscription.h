#ifndef RELAY_RELAY_SUBSCRIPTION_H
#define RELAY_RELAY_SUBSCRIPTION_H

#include "relay/relay_hub_message.h"
#include "relay/relay_service.h"

/**
 * Subscribes to the hubs of the node's failure domain: passes on the changes of
 * the store that they report, applies their proofs of the primaries and their
 * points of the primaries' logs, and knows which of them answer. While no hub
 * of the domain is in touch with the store, hubs of other domains are asked as
 * well.
 */
typedef struct relay_subscription relay_subscription_t;

typedef struct {
	/**
	 * A key was written or removed. Hubs may be behind each other, so that
	 * a change may come again, also after a later one of the same key.
	 */
	void (*changed)(void *context, hub_stream_t stream,
			const kv_item_t *item);
	/** All changes up to @p revision were reported. */
	void (*synced)(void *context, hub_stream_t stream, int64_t revision);
	void *context;
} relay_subscription_handlers_t;

relay_subscription_t *
relay_subscription_create(relay_services_t *services,
			  relay_subscription_handlers_t handlers);

/** NULL is allowed. */
void relay_subscription_destroy(relay_subscription_t *subscription);

/**
 * Sets the hubs of all failure domains; this node is passed over.
 *
 * @param hubs relay_peer_t, copied
 */
void relay_subscription_set_hubs(relay_subscription_t *subscription,
				 const GPtrArray *hubs);

/** @return when a hub last answered, on the boot clock; 0 for never */
uint64_t
relay_subscription_answered_ms(const relay_subscription_t *subscription);

/** @return when the hub @p name last answered, on the boot clock, or 0 */
uint64_t relay_subscription_heard_ms(const relay_subscription_t *subscription,
				     const char *name);

/**
 * @param failures connections over hubs that failed lately; each chooses the
 *        next hub
 * @param own name of this node if it is a hub and ranks itself too, or NULL
 * @return where to reach a server over a hub of this domain that answers, or
 *         NULL to connect directly
 */
const endpoint_t *
relay_subscription_route(const relay_subscription_t *subscription,
			 const char *server, uint32_t failures,
			 const char *own);

#endif

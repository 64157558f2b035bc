#ifndef RELAY_RELAY_REVOCATION_H
#define RELAY_RELAY_REVOCATION_H

#include <event2/event.h>

#include "store/kv_store.h"

/**
 * Takes the old primary away from all nodes before a takeover. Nodes that
 * confirm in the store that they know of the takeover keep their leases; the
 * leases of others are ended, so that the store proves nothing to them.
 */
typedef struct relay_revocation relay_revocation_t;

typedef struct {
	/** Every lease was ended or its node has confirmed. */
	void (*revoked)(void *context, uint32_t ended);
	/** No node can use what it had proved before. */
	void (*forgotten)(void *context);
	void *context;
} relay_revocation_handlers_t;

/**
 * @param revision of the store at which the takeover was written
 */
relay_revocation_t *
relay_revocation_start(struct event_base *base, kv_store_t *store,
		       int64_t revision, relay_revocation_handlers_t handlers);

/** Stops; calls under way still end leases. NULL is allowed. */
void relay_revocation_stop(relay_revocation_t *revocation);

#endif

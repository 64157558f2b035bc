#ifndef RELAY_RELAY_REVOCATION_H
#define RELAY_RELAY_REVOCATION_H

#include <event2/event.h>

#include "store/kv_store.h"

/**
 * Revokes the right of all nodes to use the old primary before it is replaced.
 * Nodes that confirm in the store that they know of the takeover keep their
 * leases. The leases of all other nodes are ended, so that the store no longer
 * proves the old primary to them.
 */
typedef struct relay_revocation relay_revocation_t;

typedef struct {
	/** Every lease was confirmed or ended; @p ended counts the latter. */
	void (*revoked)(void *context, uint32_t ended);
	/** No node can use a proof from before the takeover any more. */
	void (*forgotten)(void *context);
	void *context;
} relay_revocation_handlers_t;

/**
 * @param revision store revision at which the takeover's intent was written
 */
relay_revocation_t *
relay_revocation_start(struct event_base *base, kv_store_t *store,
		       int64_t revision, relay_revocation_handlers_t handlers);

/**
 * Stops the revocation and frees it once its pending calls have returned. Calls
 * that are already sent may still end leases. NULL is allowed.
 */
void relay_revocation_stop(relay_revocation_t *revocation);

#endif

#ifndef RELAY_RELAY_REGISTRATION_H
#define RELAY_RELAY_REGISTRATION_H

#include <event2/event.h>

#include "relay/relay_service.h"
#include "store/kv_store.h"

/**
 * Prefix of the keys of registered leases, see lease_record_t. A key is kept
 * until its node registers again or leaves, or a takeover removes it. A
 * takeover removes the key of a node that has registered a newer lease, and a
 * key written more than twice RELAY_LEASE_AGE_MAX_MS ago.
 */
#define RELAY_LEASES_PREFIX "toucanhook/leases/"

/** Maximum time without the store during which a node may use any proof. */
#define RELAY_LEASE_AGE_MAX_MS (30u * 60 * 1000)

/** Prefix of the keys of live nodes; a key is removed with its node's lease. */
#define RELAY_NODES_PREFIX "toucanhook/nodes/"

/**
 * Maintains the node's own lease at the store: opens, registers and renews the
 * lease, and registers a new one when the store no longer knows it.
 */
typedef struct relay_registration relay_registration_t;

typedef struct {
	/** A new lease was registered in the store. */
	void (*registered)(void *context);
	/** The store answers again after an outage. */
	void (*recovered)(void *context);
	void *context;
} relay_registration_handlers_t;

/**
 * @param description value of the node's key below RELAY_NODES_PREFIX, which
 *        other nodes read
 */
relay_registration_t *
relay_registration_create(struct event_base *base, kv_store_t *store,
			  relay_services_t *services, const char *node,
			  const char *description,
			  relay_registration_handlers_t handlers);

/** Must be called before the store is destroyed. */
void relay_registration_destroy(relay_registration_t *registration);

/**
 * Handles the removal of the node's key at @p revision. If the removal came
 * after the registration, the node registers a new lease.
 */
void relay_registration_key_removed(relay_registration_t *registration,
				    int64_t revision);

/**
 * Confirms in the store that this node knows all primary records up to
 * @p revision, so that a takeover need not end its lease. If the confirmation
 * fails, the node registers a new lease.
 */
void relay_registration_confirm(relay_registration_t *registration,
				int64_t revision);

/** Discards all proofs and registers a new lease at once. */
void relay_registration_renew(relay_registration_t *registration);

/**
 * Discards all proofs and removes the node's keys. The node must not run
 * statements at a primary after this call.
 */
void relay_registration_leave(relay_registration_t *registration);

#endif

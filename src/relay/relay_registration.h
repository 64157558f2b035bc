#ifndef RELAY_RELAY_REGISTRATION_H
#define RELAY_RELAY_REGISTRATION_H

#include <event2/event.h>

#include "relay/relay_service.h"
#include "store/kv_store.h"

/**
 * Keys of registered leases, see lease_record_t; kept until the node registers
 * anew, leaves, or has been silent for RELAY_LEASE_AGE_MAX_MS.
 */
#define RELAY_LEASES_PREFIX "toucanhook/leases/"

/** Longest time without the store for which a node may use any proof. */
#define RELAY_LEASE_AGE_MAX_MS (30u * 60 * 1000)

/** Keys of the nodes that live; they go with the node's lease. */
#define RELAY_NODES_PREFIX "toucanhook/nodes/"

/**
 * Holds the node's own lease at the store: opens and registers it, renews
 * it, and starts anew when the store does not know it any more.
 */
typedef struct relay_registration relay_registration_t;

typedef struct {
	/** The lease stands in the store. */
	void (*registered)(void *context);
	/** The store answers again after it has not for a while. */
	void (*recovered)(void *context);
	void *context;
} relay_registration_handlers_t;

/**
 * @param description what others read below RELAY_NODES_PREFIX
 */
relay_registration_t *
relay_registration_create(struct event_base *base, kv_store_t *store,
			  relay_services_t *services, const char *node,
			  const char *description,
			  relay_registration_handlers_t handlers);

/** Must be called before the store is destroyed. */
void relay_registration_destroy(relay_registration_t *registration);

/**
 * The node's key was removed at a revision; if that was after its
 * registration, it registers anew.
 */
void relay_registration_repeat(relay_registration_t *registration,
			       int64_t revision);

/**
 * A takeover is under way: confirms that all records of primaries are known
 * up to a revision, so that the lease need not be ended. If that fails, the
 * node registers anew.
 */
void relay_registration_confirm(relay_registration_t *registration,
				int64_t revision);

/** Forgets what was proved and registers a new lease at once. */
void relay_registration_renew(relay_registration_t *registration);

/**
 * Gives up all proofs and removes the node's keys. The node must not run
 * anything at a primary after that.
 */
void relay_registration_leave(relay_registration_t *registration);

#endif

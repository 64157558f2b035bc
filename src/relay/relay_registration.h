#ifndef RELAY_RELAY_REGISTRATION_H
#define RELAY_RELAY_REGISTRATION_H

#include <event2/event.h>

#include "relay/relay_service.h"
#include "store/kv_store.h"

/**
 * Prefix of the keys NODE/LEASE of registered leases, see lease_record_t and
 * lease_keys.h. A takeover removes only one written more than twice
 * RELAY_LEASE_AGE_MAX_MS ago.
 */
#define RELAY_LEASES_PREFIX "toucanhook/leases/"

/**
 * Maximum time since its record was written during which a node may use any
 * proof; the record is written again much more often while the store answers.
 */
#define RELAY_LEASE_AGE_MAX_MS (30u * 60 * 1000)

/**
 * Prefix of the keys DOMAIN/SLOT of the hubs, see hub_slots.h; a key is removed
 * with its node's lease.
 */
#define RELAY_HUBS_PREFIX "toucanhook/hubs/"

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
	/** The claimed key belongs to another node; nothing was registered. */
	void (*taken)(void *context);
	/**
	 * Asks to call relay_registration_settled() once no other node can use
	 * a proof that this node gave; a new lease is registered then.
	 */
	void (*settle)(void *context);
	void *context;
} relay_registration_handlers_t;

/**
 * Nothing is registered before relay_registration_claim().
 *
 * @param description value of the hub's key, which other nodes read
 */
relay_registration_t *
relay_registration_create(struct event_base *base, kv_store_t *store,
			  relay_services_t *services, const char *node,
			  const char *description,
			  relay_registration_handlers_t handlers);

/**
 * Registers the node with a key below RELAY_HUBS_PREFIX. Keys of its leases
 * that the store has are those of earlier runs, whose proofs other nodes may
 * still use.
 *
 * @param revision revision of the key, 0 if it must not exist
 */
void relay_registration_claim(relay_registration_t *registration,
			      const char *key, int64_t revision);

/** @return the key of this hub, or NULL before relay_registration_claim() */
const char *relay_registration_key(const relay_registration_t *registration);

/** See relay_registration_handlers_t. */
void relay_registration_settled(relay_registration_t *registration);

/** @return whether a lease is registered and no new one is being registered */
bool relay_registration_is_active(const relay_registration_t *registration);

/**
 * Handles a restore of the store from an older copy: the lease and the keys may
 * be gone. They are registered again after
 * relay_registration_records_restored(), at the latest after some seconds; the
 * replicas' proofs are kept until then.
 */
void relay_registration_restored(relay_registration_t *registration);

/** Records that all primary records were written again after a restore. */
void relay_registration_records_restored(relay_registration_t *registration);

/** Must be called before the store is destroyed. */
void relay_registration_destroy(relay_registration_t *registration);

/**
 * Handles the removal of the hub's key at @p revision. If the removal came
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

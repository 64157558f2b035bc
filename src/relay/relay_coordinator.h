#ifndef RELAY_RELAY_COORDINATOR_H
#define RELAY_RELAY_COORDINATOR_H

#include <event2/event.h>

#include "relay/relay_promoter.h"
#include "relay/relay_service.h"
#include "store/kv_store.h"

/** Prefix of the primary records and of the coordinator lease key. */
#define RELAY_PRIMARIES_PREFIX "toucanhook/primaries/"

/**
 * Watches the primaries and carries out takeovers while this node holds the
 * coordinator lease. One node holds the lease at a time. Every node follows
 * the keys and tries to acquire the lease when it is free.
 */
typedef struct relay_coordinator relay_coordinator_t;

/**
 * @param on_takeover called when a record announces a new takeover, which the
 *        node confirms in the store once all changes are applied
 */
relay_coordinator_t *
relay_coordinator_create(struct event_base *base, kv_store_t *store,
			 relay_services_t *services, relay_promoter_t promoter,
			 const char *node, void (*on_takeover)(void *context),
			 void *context);

/** Must be called before the store is destroyed. */
void relay_coordinator_destroy(relay_coordinator_t *coordinator);

/** Applies a change of a key below RELAY_PRIMARIES_PREFIX. */
void relay_coordinator_key_changed(relay_coordinator_t *coordinator,
				   const kv_item_t *item);

/** Lets the node acquire the coordinator lease; at first it may not. */
void relay_coordinator_enable(relay_coordinator_t *coordinator);

/**
 * Handles a restore of the store from an older copy: the lease is lost, and the
 * keys are read anew. Records count again once they are written in the store's
 * new era.
 */
void relay_coordinator_restored(relay_coordinator_t *coordinator);

/** @return whether the records of all services count in the store's era */
bool relay_coordinator_is_current(const relay_coordinator_t *coordinator);

/** Records that all changes of those keys up to a revision were applied. */
void relay_coordinator_synced(relay_coordinator_t *coordinator);

/**
 * Records that connections to a server failed. If the server is a primary and
 * this node holds the coordinator lease, the server is probed at once.
 */
void relay_coordinator_connection_failed(relay_coordinator_t *coordinator,
					 const char *service,
					 const char *server);

/** Stops all takeovers and releases the coordinator lease permanently. */
void relay_coordinator_resign(relay_coordinator_t *coordinator);

/** @return whether this node holds the coordinator lease */
bool relay_coordinator_is_held(const relay_coordinator_t *coordinator);

#endif

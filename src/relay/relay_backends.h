#ifndef RELAY_RELAY_BACKENDS_H
#define RELAY_RELAY_BACKENDS_H

#include <event2/event.h>

#include "relay/relay_service.h"
#include "relay/relay_source.h"
#include "store/kv_store.h"

/**
 * Applies the entries of the backend servers in the store to the services: a
 * server whose entry vanishes is used for a while longer, and an entry that a
 * restore of the store brings back does not undo what its server said since.
 * An entry of another writer that names no server counts as none; it is logged
 * once, and counted.
 */
typedef struct relay_backends relay_backends_t;

/** @param source decodes the entries; must outlive the object */
relay_backends_t *relay_backends_create(struct event_base *base,
					relay_services_t *services,
					const relay_source_t *source,
					metrics_t *metrics);

/** Must be called before the services are destroyed; NULL is allowed. */
void relay_backends_destroy(relay_backends_t *backends);

/**
 * Checks a change that was read from the store; logs and counts an entry that
 * names no server.
 *
 * @return whether the item's value names a server
 */
bool relay_backends_check(relay_backends_t *backends, const kv_item_t *item);

/** Applies a change of a key below the prefix of the backend servers. */
void relay_backends_apply(relay_backends_t *backends, const kv_item_t *item);

#endif

#ifndef RELAY_RELAY_DUTY_H
#define RELAY_RELAY_DUTY_H

#include <event2/event.h>

#include "relay/relay_promoter.h"
#include "relay/relay_service.h"
#include "store/kv_store.h"

/** Keys of who leads and who holds the duty of replacing primaries. */
#define RELAY_PRIMARIES_PREFIX "toucanhook/primaries/"

/**
 * The duty of replacing primaries; one node holds it at a time. All nodes
 * take in the keys and try for the duty when it is free.
 */
typedef struct relay_duty relay_duty_t;

/** @param takeover called when a record tells of a new takeover, which the
 *                  node confirms once all changes are told */
relay_duty_t *relay_duty_create(struct event_base *base, kv_store_t *store,
				relay_services_t *services,
				relay_promoter_t promoter, const char *node,
				void (*takeover)(void *context), void *context);

/** Must be called before the store is destroyed. */
void relay_duty_destroy(relay_duty_t *duty);

/** A key below RELAY_PRIMARIES_PREFIX changed. */
void relay_duty_changed(relay_duty_t *duty, const kv_item_t *item);

/** All changes of those keys up to a revision were told. */
void relay_duty_synced(relay_duty_t *duty);

/** A server's connections failed: looks at once whether it is lost. */
void relay_duty_troubled(relay_duty_t *duty, const char *service,
			 const char *server);

/** Gives the duty up. */
void relay_duty_leave(relay_duty_t *duty);

/** @return whether this node holds the duty */
bool relay_duty_is_held(const relay_duty_t *duty);

#endif

#ifndef RELAY_RELAY_JOIN_H
#define RELAY_RELAY_JOIN_H

#include <event2/event.h>

#include "relay/relay_settings.h"
#include "store/kv_store.h"

/**
 * Decides whether a node becomes a hub of its failure domain. Reads the hubs'
 * keys when the node starts, while no hub answers, and when a key is free;
 * claims a free key after a delay, see hub_slots.h.
 */
typedef struct relay_join relay_join_t;

typedef struct {
	/** The hubs' keys were read. @param items kv_item_t, all of them */
	void (*listed)(void *context, const GPtrArray *items);
	/**
	 * The node is to claim a hub's key.
	 *
	 * @param revision of the key, 0 if it is free
	 */
	void (*claim)(void *context, const char *key, int64_t revision);
	/** @return the hubs' keys and values as known now (char *, char *) */
	GHashTable *(*hubs)(void *context);
	/** @return when a hub last answered, on the boot clock, or 0 */
	uint64_t (*answered_ms)(void *context);
	void *context;
} relay_join_handlers_t;

/** Value of a hub's key: its name, and where it forwards. */
typedef struct {
	char *domain;
	char *name;
	endpoint_t forwarding;
} relay_hub_key_t;

/** @return the value of a hub's key; free with g_free() */
char *relay_hub_key_encode(const char *name, const endpoint_t *forwarding);

/** @return false if the key or its value is invalid */
bool relay_hub_key_decode(const char *key, const char *value,
			  relay_hub_key_t *hub);
void relay_hub_key_clear(relay_hub_key_t *hub);

relay_join_t *relay_join_create(struct event_base *base, kv_store_t *store,
				const relay_settings_t *settings,
				relay_join_handlers_t handlers);

/** Must be called before the store is destroyed. NULL is allowed. */
void relay_join_destroy(relay_join_t *join);

/** The claimed key was taken by another node: reads the keys again. */
void relay_join_taken(relay_join_t *join);

/** The node leaves: claims nothing any more. */
void relay_join_stop(relay_join_t *join);

#endif

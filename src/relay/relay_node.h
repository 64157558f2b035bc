#ifndef RELAY_RELAY_NODE_H
#define RELAY_RELAY_NODE_H

#include <event2/event.h>

#include "relay/relay_codec.h"
#include "relay/relay_promoter.h"
#include "relay/relay_settings.h"
#include "relay/relay_source.h"
#include "store/kv_store.h"

/** All tasks of one node that proxies the callers of a platform. */
typedef struct relay_node relay_node_t;

/** The platform's implementations; the node owns store and promoter. */
typedef struct {
	const relay_codec_t *codec;
	const relay_source_t *source;
	kv_store_t *store;
	relay_promoter_t promoter;
} relay_platform_t;

/** @return the node, or NULL with @p error set */
relay_node_t *relay_node_create(struct event_base *base,
				const relay_settings_t *settings,
				relay_platform_t platform, GError **error);
void relay_node_destroy(relay_node_t *node);

/**
 * Starts a graceful shutdown. The event loop ends once all callers are served
 * or the grace period is over.
 */
void relay_node_drain(relay_node_t *node);

#endif

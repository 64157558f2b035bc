#ifndef RELAY_RELAY_SETTINGS_H
#define RELAY_RELAY_SETTINGS_H

#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** The settings of a node that relays for a platform's callers. */
typedef struct {
	char *node;
	char *failure_domain;
	GHashTable *regions; /**< failure domain -> region, both owned */
	endpoint_t callers;
	endpoint_t readiness;
	endpoint_t metrics;
	endpoint_t gate; /**< where connections are lent to other nodes */
	endpoint_t store;
	endpoint_t control; /**< of the platform: promotions */
	uint32_t grace_ms;  /**< from the order to stop to the kill */
} relay_settings_t;

/** Frees the settings; NULL is allowed. */
void relay_settings_delete(relay_settings_t *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(relay_settings_t, relay_settings_delete)

#endif

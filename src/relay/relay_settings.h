#ifndef RELAY_RELAY_SETTINGS_H
#define RELAY_RELAY_SETTINGS_H

#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** Settings of a node that proxies the callers of a platform. */
typedef struct {
	char *node;
	char *failure_domain;
	GHashTable *regions;	/**< failure domain -> region, both owned */
	endpoint_t callers;	/**< listens for callers */
	endpoint_t readiness;	/**< HTTP readiness check */
	endpoint_t metrics;	/**< HTTP metrics */
	endpoint_t forwarding;	/**< forwards the statements of other nodes */
	endpoint_t store;	/**< key-value store */
	endpoint_t control;	/**< the platform's promotion interface */
	double processor_share; /**< processor of the VM, in cores */
	uint32_t grace_ms;	/**< time from the stop signal to the kill */
	/** Memory at which the VM kills the node, in bytes; 0 if unknown. */
	uint64_t memory_bytes;
} relay_settings_t;

/** Frees the settings; NULL is allowed. */
void relay_settings_delete(relay_settings_t *settings);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(relay_settings_t, relay_settings_delete)

#endif

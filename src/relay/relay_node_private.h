#ifndef RELAY_RELAY_NODE_PRIVATE_H
#define RELAY_RELAY_NODE_PRIVATE_H

#include "coordination/drain_plan.h"
#include "relay/relay_backends.h"
#include "relay/relay_callers.h"
#include "relay/relay_coordinator.h"
#include "relay/relay_forwarding.h"
#include "relay/relay_hub.h"
#include "relay/relay_join.h"
#include "relay/relay_node.h"
#include "relay/relay_proof.h"
#include "relay/relay_quota.h"
#include "relay/relay_registration.h"
#include "relay/relay_status_page.h"
#include "relay/relay_subscription.h"
#include "state/revision_table.h"
#include "store/kv_follow.h"

/* Declarations shared by the source files of the node. */

struct relay_node {
	struct event_base *base;
	const relay_settings_t *settings;
	relay_platform_t platform;
	metrics_t *metrics;
	relay_services_t *services;
	relay_callers_t *callers;
	relay_forwarding_t *forwarding;
	relay_registration_t *registration;
	relay_coordinator_t *coordinator;
	relay_proof_t *proof;
	relay_quota_leader_t *quota_leader;
	relay_quota_t *quota;
	relay_status_page_t *page;
	relay_join_t *join;
	relay_subscription_t *subscription;
	/* Of a hub alone; NULL on other nodes. */
	relay_hub_t *hub;
	kv_follow_t *follow;	/* all keys, with a long pause */
	kv_follow_t *primaries; /* primary records, with a short pause */
	struct event *read_timer;
	bool reading;	       /* the primary records are being read */
	bool read_again;       /* another read is due after the present one */
	uint64_t read_sent_ms; /* when the last read was sent */
	int64_t read_revision; /* of its first page, or 0 */
	bool hubs_changed;     /* hub_values changed since the last sync */
	bool registered;       /* a lease was registered at least once */
	bool confirm_due;      /* a takeover must be confirmed */
	catalog_t *catalog;
	revision_table_t *applied;  /* changes of keys, from all sources */
	GHashTable *hub_values;	    /* key -> value written by the hub */
	relay_backends_t *backends; /* the backend servers' entries */
	bool synced;		    /* all keys were read at least once */
	struct event *drain_timer;
	drain_plan_t drain;
};

/* relay_node_changes.c */

/* Applies a change of the configuration, a server or a hub. */
void relay_node_apply_change(relay_node_t *node, const kv_item_t *item);

/* A key changed, as the store says; a kv_follow callback. */
void relay_node_on_changed(void *context, const kv_item_t *item);

/* A key changed, as a hub says. */
void relay_node_on_hub_changed(void *context, hub_stream_t stream,
			       const kv_item_t *item);

/* All keys were read from a hub. */
void relay_node_on_hub_synced(void *context, hub_stream_t stream,
			      int64_t revision);

/* A primary record changed, as the store says; a kv_follow callback. */
void relay_node_on_primary(void *context, const kv_item_t *item);

/* All keys were read; a kv_follow callback. */
void relay_node_on_synced(void *context, int64_t revision, uint64_t queried_ms);

/* Passes the hubs on to what uses them, after their keys changed. */
void relay_node_update_hubs(relay_node_t *node);

/* relay_node_hub.c */

/* Creates what finds the hubs, follows them, and claims a hub's key. */
void relay_node_create_hub_tasks(relay_node_t *node);

/* Reads the primary records again; a timer callback. */
void relay_node_on_read_timer(evutil_socket_t fd, short what, void *context);

/* The store came back from an older copy. */
void relay_node_on_restored(void *context);

/* A takeover ended; it is confirmed once the records are read. */
void relay_node_on_takeover(void *context);

/* relay_node_drain.c */

/* The next step of the drain; a timer callback. */
void relay_node_on_drain(evutil_socket_t fd, short what, void *context);

#endif

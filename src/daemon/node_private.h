#ifndef DAEMON_NODE_PRIVATE_H
#define DAEMON_NODE_PRIVATE_H

#include "base/metrics.h"
#include "coordination/drain_plan.h"
#include "coordination/ownership.h"
#include "daemon/callers_task.h"
#include "daemon/config_task.h"
#include "daemon/dispatch_task.h"
#include "daemon/group_task.h"
#include "daemon/node.h"
#include "daemon/operators_task.h"
#include "daemon/peers_task.h"
#include "daemon/pool_task.h"

struct node {
	struct event_base *base;
	const settings_t *settings;
	metrics_t *metrics;
	store_t *store;
	group_table_t *table;
	ownership_t *ownership;
	peers_task_t *peers;
	pool_task_t *pool;
	group_task_t *group;
	dispatch_task_t *dispatch;
	callers_task_t *callers;
	config_task_t *config;
	operators_task_t *operators;
	struct event *ownership_timer;
	struct event *drain_timer;
	uint64_t started_ms;
	bool listed; /**< the platform's list of VMs has been read */
	drain_plan_t drain;
	uint64_t drain_busy_ms; /**< last time a request was running */
};

/** Create one task each, with callbacks to the node's other tasks. */
void node_config_create(node_t *node);
void node_dispatch_create(node_t *node);
void node_group_create(node_t *node);
void node_pool_create(node_t *node);

/** Create one task each. @return false with @p error set on failure */
bool node_callers_create(node_t *node, GError **error);
bool node_operators_create(node_t *node, GError **error);
bool node_peers_create(node_t *node, GError **error);

/** Updates the owned servers from the newest view and configuration. */
void node_ownership_refresh(node_t *node);

/** Timer callback that updates the owned servers of a node. */
void node_ownership_on_timer(evutil_socket_t fd, short what, void *context);

/**
 * Lists up to @p limit owners of the server with the given names.
 *
 * @return number of owners
 */
uint32_t node_ownership_owners(void *context, const char *database,
			       const char *server, const char **nodes,
			       uint32_t limit);

/** Lists up to OWNER_LIMIT owners of a server. @return number of owners */
uint32_t node_ownership_ranked(void *context, const config_service_t *service,
			       const config_server_t *server,
			       const char **nodes);

/** Passes a newer membership view on to the tasks. */
void node_peers_on_members(void *context, const member_view_t *view);

/** Timer callback that ends the event loop once a node has drained. */
void node_drain_on_timer(evutil_socket_t fd, short what, void *context);

#endif

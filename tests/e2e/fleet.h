#ifndef E2E_FLEET_H
#define E2E_FLEET_H

#include <event2/event.h>
#include <glib.h>

#include "daemon/group_task.h"
#include "world/process.h"

#define FLEET_DOMAINS 3
#define FLEET_NODES 6 /**< two for each failure domain */
#define FLEET_DATABASE "match"

typedef struct fleet_node fleet_node_t;

/** Three backend servers and six nodes that share one event loop. */
typedef struct {
	struct event_base *base;
	metrics_t *metrics;
	config_t config;
	config_service_t service;
	config_database_t database;
	config_server_t servers[FLEET_DOMAINS];
	process_t *processes[FLEET_DOMAINS];
	member_t members[FLEET_NODES];
	member_view_t view;
	fleet_node_t *nodes[FLEET_NODES];
	bool lossy; /**< every third note is lost */
	uint32_t sent;
} fleet_t;

/** One node, without callers. */
struct fleet_node {
	fleet_t *fleet;
	uint32_t index;
	group_table_t *table;
	group_task_t *group;
};

extern const char *const fleet_server_names[FLEET_DOMAINS];

/** Start and end a fleet in @p state, as cmocka's set-up and tear-down. */
int fleet_open(void **state);
int fleet_close(void **state);

/** Runs the event loop until a condition holds. @return whether it does */
bool fleet_run_until(fleet_t *fleet, bool (*met)(void *context), void *context);

/** Has a node confirm a point. @return whether it is confirmed */
bool fleet_confirm(fleet_t *fleet, uint32_t node, log_point_t point);

/** Asks a node for a barrier. @return its point, zero if there is none */
log_point_t fleet_barrier(fleet_t *fleet, uint32_t node);

/** Writes a row as the pool does. @return its point, zero if it did not run */
log_point_t fleet_write_row(const fleet_t *fleet, uint32_t server,
			    uint64_t term, const char *key);

/** @return whether a server has a row. */
bool fleet_row_exists(const fleet_t *fleet, uint32_t server, const char *key);

/** @return the primary as a node knows it. */
group_view_t fleet_view(const fleet_t *fleet, uint32_t node);

#endif

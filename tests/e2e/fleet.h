#ifndef E2E_FLEET_H
#define E2E_FLEET_H

#include <event2/event.h>
#include <glib.h>

#include "daemon/group_task.h"
#include "world/process.h"

#define FLEET_DOMAINS 3 /**< failure domains, with one server each */
#define FLEET_NODES 6	/**< two for each failure domain */
#define FLEET_DATABASE "match"

typedef struct fleet_node fleet_node_t;

/**
 * Three backend servers, which are processes, and six nodes, which run the
 * group tasks in this process on one event loop.
 */
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
	/** Loses each message between nodes with a probability of one third. */
	bool drops_messages;
	GRand *losses;
	/** Node that neither sends nor receives; FLEET_NODES for none. */
	uint32_t cut_node;
} fleet_t;

/** A node without callers. */
struct fleet_node {
	fleet_t *fleet;
	uint32_t index;
	group_table_t *table;
	group_task_t *group;
};

/** Names of the backend servers, by failure domain. */
extern const char *const fleet_server_names[FLEET_DOMAINS];

/** Starts a fleet and stores it in @p state; a set-up function of cmocka. */
int fleet_open(void **state);

/** Stops the fleet in @p state; a tear-down function of cmocka. */
int fleet_close(void **state);

/**
 * Runs the event loop until a condition holds or the time limit is reached.
 *
 * @return whether the condition holds
 */
bool fleet_run_until(fleet_t *fleet, bool (*condition)(void *context),
		     void *context);

/**
 * Lets a node wait for the confirmation of a point.
 *
 * @return whether the point was confirmed
 */
bool fleet_confirm(fleet_t *fleet, uint32_t node, log_point_t point);

/** Requests a barrier from a node. @return its point, or zero if it failed */
log_point_t fleet_barrier(fleet_t *fleet, uint32_t node);

/**
 * Inserts a row at a server in a term, as the pool does.
 *
 * @return the point of the write, or zero if the server rejected it
 */
log_point_t fleet_write_row(const fleet_t *fleet, uint32_t server,
			    uint64_t term, const char *key);

/** Returns whether a server has a row with this key. */
bool fleet_row_exists(const fleet_t *fleet, uint32_t server, const char *key);

/** Returns a node's view of the group: its primary and term. */
group_view_t fleet_view(const fleet_t *fleet, uint32_t node);

#endif

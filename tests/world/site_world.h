#ifndef WORLD_SITE_WORLD_H
#define WORLD_SITE_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Maximum number of nodes of a site. */
#define SITE_NODES_MAX 100
/** Maximum number of groups of a site. */
#define SITE_GROUPS_MAX 8
/** Backend servers of a group: the primary and its replicas. */
#define SITE_SERVERS_PER_GROUP 3

/** Size and seed of a site. */
typedef struct {
	uint32_t nodes;	 /**< number of nodes */
	uint32_t groups; /**< number of groups of SITE_SERVERS_PER_GROUP servers
			  */
	uint32_t seed;	 /**< seed of the stand-in and of the relay */
} site_plan_t;

/**
 * A site of real processes on this machine: the platform's stand-in, which
 * includes the backend servers, a relay in front of the stand-in, and the
 * nodes.
 */
typedef struct site_world site_world_t;

/** Starts all processes. @return the site, or NULL with @p error set */
site_world_t *site_world_create(const site_plan_t *plan, GError **error);

/** Kills all processes of the site and frees it. NULL is allowed. */
void site_world_destroy(site_world_t *world);

/** Waits until every node reports that it accepts callers. */
bool site_world_wait_ready(site_world_t *world, uint32_t timeout_ms);

/** Returns the port at which a node accepts callers. */
uint16_t site_world_callers_port(const site_world_t *world, uint32_t node);

/** @return the port of a node's metrics endpoint */
uint16_t site_world_metrics_port(const site_world_t *world, uint32_t node);

/** Returns the HTTP port of the stand-in, for faults and its report. */
uint16_t site_world_port(const site_world_t *world);

/** Sends a signal to a node's process. */
void site_world_signal(site_world_t *world, uint32_t node, int signal_number);

/**
 * Starts a node again after its process has ended.
 *
 * @return whether the node was started; false if it still runs
 */
bool site_world_restart(site_world_t *world, uint32_t node);

/** Returns whether the node's process runs. */
bool site_world_is_running(site_world_t *world, uint32_t node);

/** Injects a fault, such as "crash?server=group0-1&for_ms=9". */
void site_world_inject_fault(site_world_t *world, const char *fault);

/**
 * Changes the settings of relayed links, such as "cut=1".
 *
 * @param tag "store-N" for the link of node N to the store, the id of a
 *            server, or "*" for all links
 */
void site_world_set_link(site_world_t *world, const char *tag,
			 const char *settings);

/** @return whether any node's log contains @p text */
bool site_world_logs_contain(const site_world_t *world, const char *text);

/** Prints the last lines of each node's log to standard error. */
void site_world_print_logs(const site_world_t *world);

#endif

#ifndef WORLD_SITE_WORLD_H
#define WORLD_SITE_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Most nodes and groups of a site. */
#define SITE_NODES_MAX 100
#define SITE_GROUPS_MAX 8
#define SITE_COPIES 3

/** How a site is built. */
typedef struct {
	uint32_t nodes;
	uint32_t groups;
	uint32_t seed;
} site_plan_t;

/**
 * A site of real processes on this machine: the stand-in of the platform
 * with its servers, a relay before all of them, and nodes.
 */
typedef struct site_world site_world_t;

/** Starts all processes. @return NULL with @p error set */
site_world_t *site_world_create(const site_plan_t *plan, GError **error);

/** Ends all processes that it started; NULL is allowed. */
void site_world_destroy(site_world_t *world);

/** Waits until every node says that it takes callers. */
bool site_world_wait_ready(site_world_t *world, uint32_t timeout_ms);

/** @return the port at which a node takes callers */
uint16_t site_world_callers_port(const site_world_t *world, uint32_t node);

/** @return the port of the stand-in, for faults and its report */
uint16_t site_world_port(const site_world_t *world);

/** Sends a signal to a node's process. */
void site_world_signal(site_world_t *world, uint32_t node, int number);

/** Starts a node anew once its process has ended. @return whether it did */
bool site_world_restart(site_world_t *world, uint32_t node);

/** @return whether the node's process runs */
bool site_world_runs(site_world_t *world, uint32_t node);

/** Asks the stand-in for a fault, as in "crash?server=group0-1&for_ms=9". */
void site_world_fault(site_world_t *world, const char *fault);

/**
 * Sets what the relay does to links, as in "cut=1".
 *
 * @param tag "store-N" of a node, "ID" of a server, or "*"
 */
void site_world_link(site_world_t *world, const char *tag,
		     const char *settings);

/** Prints the ends of all logs to standard error. */
void site_world_print_logs(const site_world_t *world);

#endif

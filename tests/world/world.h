#ifndef WORLD_WORLD_H
#define WORLD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <libpq-fe.h>

#include "world/deployment.h"
#include "world/http_request.h"
#include "world/process.h"

/** Password of every caller of a test deployment. */
#define WORLD_PASSWORD "late-bus"

/** An entry VM. */
typedef struct {
	char name[64];
	uint32_t domain; /**< index of its failure domain */
	uint16_t callers_port;
	uint16_t relayed_callers_port; /**< port by which callers reach
			       callers_port; the relay's if links are relayed */
	uint16_t peers_port;
	uint16_t operators_port;
	char *settings_path;
	process_t *process;
	bool listed_leaving; /**< listed in the catalog as leaving */
	bool unlisted;	     /**< left out of the catalog */
} world_node_t;

/** A backend server. */
typedef struct {
	char name[64];
	char database[64];
	uint32_t service; /**< index of its service */
	uint32_t domain;  /**< index of its failure domain */
	uint16_t port;
	uint16_t control_port; /**< HTTP port for state and faults */
	bool first_primary;
	process_t *process;
} world_server_t;

/**
 * A test deployment of real processes on this machine, for tests, the demo and
 * benchmarks.
 */
typedef struct {
	deployment_t deployment;
	char *directory;	/**< directory of the settings and logs */
	char *programs;		/**< directory of the programs */
	GPtrArray *nodes;	/**< of world_node_t */
	GPtrArray *servers;	/**< of world_server_t */
	GPtrArray *relay_links; /**< command line arguments of the relay */
	GArray *routes; /**< of world_route_t: relayed ports by domain */
	process_t *platform;
	process_t *relay;
	uint16_t platform_port;
	uint16_t platform_control_port;
	uint16_t relay_control_port;
	char public_key[41];
	char secret_key[41];
	bool failed; /**< world_destroy() prints the logs */
} world_t;

/**
 * Starts the platform's stand-in, the relay, the backend servers and the entry
 * VMs, applies the operators' configuration and waits until every VM serves
 * every database. The kernel kills all processes when this process ends, also
 * after a crash.
 *
 * @return the deployment, or NULL with @p error set
 */
world_t *world_create(const deployment_t *deployment, GError **error);

/** Kills every process and removes the files. NULL is allowed. */
void world_destroy(world_t *world);

/** Prints the last log lines of each process to standard error. */
void world_print_logs(const world_t *world);

/**
 * Waits until @p condition returns true; checks it every few milliseconds.
 *
 * @return false if the condition did not hold within @p timeout_ms
 */
bool world_wait(uint32_t timeout_ms, bool (*condition)(void *context),
		void *context);

/** Returns entry VM number @p index of a failure domain, or NULL. */
world_node_t *world_node(world_t *world, uint32_t domain, uint32_t index);

/** Returns the server of a database in a failure domain, or NULL. */
world_server_t *world_server(world_t *world, const char *database,
			     uint32_t domain);

/** Returns the server that is primary in the highest term, or NULL. */
world_server_t *world_primary(world_t *world, const char *database);

/** Returns the name of a database, to be freed with g_free(). */
char *world_database(const world_t *world, uint32_t service, uint32_t database);

/**
 * Builds a libpq connection string for a VM, to be freed with g_free().
 *
 * @param options further parameters such as "connect_timeout=2", or ""
 */
char *world_conninfo(const world_t *world, const world_node_t *node,
		     const char *database, const char *user,
		     const char *options);

/**
 * Connects to a VM as the caller of the first class.
 *
 * @return the connection, never NULL; its status tells whether it succeeded
 */
PGconn *world_connect(const world_t *world, const world_node_t *node,
		      const char *database);

/**
 * Posts a request, such as a fault or a setting, to a control port.
 *
 * @return whether the request was accepted
 */
bool world_post_control(uint16_t control_port, const char *path);

/**
 * Cuts or heals the links between two failure domains.
 *
 * @return whether the relay accepted the change
 */
bool world_cut(world_t *world, uint32_t domain, uint32_t other, bool cut);

/**
 * Cuts or heals the links of a failure domain to the other domains and to the
 * platform.
 *
 * @return whether the relay accepted all changes
 */
bool world_cut_domain(world_t *world, uint32_t domain, bool cut);

/**
 * Opens a relayed link by which callers in a failure domain reach a server
 * without entry VMs. The link has the delay of a caller's link, plus the delay
 * between domains if the server is in another one.
 *
 * @return the link's port, or 0 if the relay did not open the link
 */
uint16_t world_direct_link(world_t *world, uint32_t domain,
			   const world_server_t *server);

/** Starts the process of an entry VM; kills its old process if one runs. */
bool world_start_node(world_t *world, world_node_t *node, GError **error);

/**
 * Starts a backend server; kills its old process if one runs.
 *
 * @param spare starts it empty and without a primary; otherwise it starts as
 *              the initial primary or as a replica of that one
 */
bool world_start_server(world_t *world, world_server_t *server, bool spare,
			GError **error);

/** Publishes all VMs but the unlisted ones in the platform's catalog. */
bool world_list_nodes(world_t *world);

/** Applies the operators' configuration with toucanctl. */
bool world_apply(world_t *world, GError **error);

/**
 * Sums a metric over all VMs.
 *
 * @param labels text that the metric's labels must contain, or ""
 */
int64_t world_metric(const world_t *world, const char *name,
		     const char *labels);

/**
 * Sums a counter of promotion events over all VMs that run.
 *
 * @param event value of the label, such as "promotion_started" or "promoted"
 */
int64_t world_promotions(const world_t *world, const char *event);

#endif

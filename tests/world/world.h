#ifndef WORLD_WORLD_H
#define WORLD_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <libpq-fe.h>

#include "world/deployment.h"
#include "world/http_ask.h"
#include "world/process.h"

/** Password of every caller of a world. */
#define WORLD_PASSWORD "late-bus"

/** One entry VM. */
typedef struct {
	char name[64];
	uint32_t domain;
	uint16_t callers_port;
	uint16_t near_port; /**< callers_port as callers reach it */
	uint16_t peers_port;
	uint16_t operators_port;
	char *settings_path;
	process_t *process;
	bool listed_leaving;
	bool unlisted;
} world_node_t;

/** One backend server. */
typedef struct {
	char name[64];
	char database[64];
	uint32_t service;
	uint32_t domain;
	uint16_t port;
	uint16_t control_port;
	bool first_primary;
	process_t *process;
} world_server_t;

/** A whole deployment on this machine, for tests, demo and bench. */
typedef struct {
	deployment_t deployment;
	char *directory; /**< settings and logs */
	char *programs;	 /**< folder of the programs */
	GPtrArray *nodes;
	GPtrArray *servers;
	GPtrArray *relay_links; /**< arguments of the relay */
	GArray *routes;		/**< how addresses are reached by domain */
	process_t *platform;
	process_t *relay;
	uint16_t platform_port;
	uint16_t platform_control_port;
	uint16_t relay_control_port;
	char public_key[41];
	char secret_key[41];
	bool failed; /**< logs are printed at the end */
} world_t;

/**
 * Starts the platform, relay, backend servers and entry VMs, applies the
 * operators' configuration and waits until every VM serves every database.
 * All of it ends with this process, whatever its end.
 *
 * @return the world, or NULL with @p error set
 */
world_t *world_create(const deployment_t *deployment, GError **error);

/** Stops every process and removes the files. NULL is allowed. */
void world_destroy(world_t *world);

/** Prints what each process logged last. */
void world_print_logs(const world_t *world);

/**
 * Waits until @p condition holds; asks every few milliseconds.
 *
 * @return false when it did not hold within @p timeout_ms
 */
bool world_wait(uint32_t timeout_ms, bool (*condition)(void *context),
		void *context);

/** @return entry VM number @p index of a failure domain. */
world_node_t *world_node(world_t *world, uint32_t domain, uint32_t index);

/** @return the server of a database in a failure domain, or NULL. */
world_server_t *world_server(world_t *world, const char *database,
			     uint32_t domain);

/** @return the server that leads the highest term, or NULL. */
world_server_t *world_primary(world_t *world, const char *database);

/** @return name of a database; free with g_free(). */
char *world_database(const world_t *world, uint32_t service, uint32_t database);

/**
 * Writes a libpq connection string to a VM.
 *
 * @param options further settings such as "connect_timeout=2", or ""
 */
char *world_conninfo(const world_t *world, const world_node_t *node,
		     const char *database, const char *user,
		     const char *options);

/** Connects to a VM as the first class's caller. @return never NULL */
PGconn *world_connect(const world_t *world, const world_node_t *node,
		      const char *database);

/** Asks a control port for a fault. @return whether it was accepted */
bool world_fault(uint16_t control_port, const char *path);

/** Cuts or heals the links between two failure domains. */
bool world_cut(world_t *world, uint32_t domain, uint32_t other, bool cut);

/** Cuts or heals a failure domain from the others and the platform. */
bool world_cut_domain(world_t *world, uint32_t domain, bool cut);

/**
 * Opens a link by which callers in a failure domain reach a server without
 * entry VMs, with the delays of the callers' and the domains' links.
 *
 * @return its port, or 0 if it was not opened
 */
uint16_t world_direct_link(world_t *world, uint32_t domain,
			   const world_server_t *server);

/** Starts an entry VM that has ended. */
bool world_start_node(world_t *world, world_node_t *node, GError **error);

/** Starts a backend server, empty unless it is the first primary. */
bool world_start_server(world_t *world, world_server_t *server, bool spare,
			GError **error);

/** Tells the platform of the VMs that are not unlisted. */
bool world_list_nodes(world_t *world);

/** Applies the operators' configuration by toucanctl. */
bool world_apply(world_t *world, GError **error);

/** @return the sum of a metric over all VMs, by name and part of its labels. */
int64_t world_metric(const world_t *world, const char *name,
		     const char *labels);

/**
 * Counts an event of promotions over all VMs that run.
 *
 * @param event such as "promotion_started" or "promoted"
 */
int64_t world_promotions(const world_t *world, const char *event);

#endif

#ifndef RELAY_RELAY_PEERS_H
#define RELAY_RELAY_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/endpoint.h"

/** A hub; other nodes may forward statements over its connections. */
typedef struct {
	char *name;
	char *failure_domain;
	endpoint_t forwarding; /**< where the node forwards for other nodes */
} relay_peer_t;

void relay_peer_free(relay_peer_t *peer);

/** The hubs of all failure domains, as this node knows them. */
typedef struct {
	GPtrArray *list;  /**< relay_peer_t, or NULL before any is known */
	uint32_t next;	  /**< rotates over the list */
	const char *node; /**< name of this node */
	const char *failure_domain; /**< of this node */
	GHashTable *regions;	    /**< failure domain -> region, or NULL */
} relay_peers_t;

/** @return number of hubs in a failure domain */
uint32_t relay_peers_in(const relay_peers_t *peers, const char *domain);

/** @return the forwarding endpoint of a hub, or NULL if there is none */
const endpoint_t *relay_peers_endpoint(const relay_peers_t *peers,
				       const char *name);

/** @return number of hubs */
uint32_t relay_peers_count(const relay_peers_t *peers);

/**
 * @return whether a node is a prover. The provers are the nodes with the lowest
 *         hashes; all nodes agree on them.
 */
bool relay_peers_is_prover(const relay_peers_t *peers, const char *node);

/**
 * @param server_domain failure domain of the server
 * @param limit number of connections that the server accepts
 * @return this domain's connections to a server that each serve one customer
 */
uint32_t relay_peers_customer_room(const relay_peers_t *peers,
				   const char *server_domain, uint32_t limit);

/** @return the next other hub of a domain, or of any if it is NULL, or NULL */
const endpoint_t *relay_peers_next(relay_peers_t *peers, const char *domain);

/** The same, but every other time a prover. */
const endpoint_t *relay_peers_next_proving(relay_peers_t *peers);

/** @return whether this node ranks before all other hubs of its domain */
bool relay_peers_is_first(const relay_peers_t *peers, const char *server);

/**
 * @return the next hub of another domain that ranks first there for a server,
 *         which has the domain's connections to it, or NULL
 */
const endpoint_t *relay_peers_next_first(relay_peers_t *peers,
					 const char *server);

#endif

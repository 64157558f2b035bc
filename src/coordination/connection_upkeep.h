#ifndef COORDINATION_CONNECTION_UPKEEP_H
#define COORDINATION_CONNECTION_UPKEEP_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Decides which hubs keep connections to a server. Load: a fleet whose number
 * of servers grows with its number of hubs. If each hub keeps two connections
 * to each server, 18 hubs and 300 servers make 10,800, opened again at every
 * start of the hubs, which then answer nobody for a second.
 */

/** Number of servers up to which each hub keeps connections to all. */
#define CONNECTION_UPKEEP_SERVERS_MAX 64u

/** Number of connections that a hub opens in one step without a use. */
#define CONNECTION_UPKEEP_OPENS_MAX 8u

/** What a hub's connections to one server depend on. */
typedef struct {
	bool large;	/**< see connection_upkeep_is_large() */
	uint32_t share; /**< connections that the limit allows to each hub */
	bool prover;	/**< the hub proves primaries for other nodes */
	bool first; /**< it ranks first for the server in its failure domain */
	bool coordinator; /**< it watches the primaries of all services */
} connection_upkeep_t;

/** @return whether there are too many servers for connections to all */
bool connection_upkeep_is_large(uint32_t servers);

/** @return the number of connections that stay open while idle */
uint32_t connection_upkeep_kept(const connection_upkeep_t *input);

/**
 * @param kept number of connections that stay open while idle
 * @return whether a connection is opened before it is used
 */
bool connection_upkeep_opens(bool large, bool prover, uint32_t kept);

#endif

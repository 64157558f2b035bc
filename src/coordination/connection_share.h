#ifndef COORDINATION_CONNECTION_SHARE_H
#define COORDINATION_CONNECTION_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** What a node knows when it decides how many connections it may hold. */
typedef struct {
	uint32_t limit;	     /**< of the server, from all nodes */
	uint32_t nodes_near; /**< in the server's failure domain */
	uint32_t nodes_far;  /**< elsewhere */
	bool near;	     /**< this node is in the server's domain */
} connection_share_ask_t;

/**
 * @return connections that a node keeps open while they rest; all nodes
 *         together keep no more than a part of the limit, so that the rest
 *         goes to the nodes that need it
 */
uint32_t connection_share(const connection_share_ask_t *ask);

/** @return most connections that a node may hold while there is room */
uint32_t connection_most(const connection_share_ask_t *ask);

#endif

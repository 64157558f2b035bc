#ifndef COORDINATION_CONNECTION_SHARE_H
#define COORDINATION_CONNECTION_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** What a node's number of connections to one server depends on. */
typedef struct {
	uint32_t limit;	     /**< connections that the server accepts in all */
	uint32_t nodes_near; /**< nodes in the server's failure domain */
	uint32_t nodes_far;  /**< nodes in other failure domains */
	bool near;	     /**< this node is in the server's failure domain */
} connection_share_input_t;

/**
 * @return the number of idle connections that a node keeps open; all nodes
 *         together keep only a part of the limit idle, so that the rest is
 *         available to the nodes that need it
 */
uint32_t connection_share(const connection_share_input_t *input);

/** @return the maximum number of connections of a node while some are free */
uint32_t connection_share_max(const connection_share_input_t *input);

#endif

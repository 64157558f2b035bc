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

/** What the connections of a failure domain to one server depend on. */
typedef struct {
	uint32_t limit;	  /**< connections that the server accepts in all */
	uint32_t provers; /**< hubs that keep one for control statements */
	uint32_t domains; /**< failure domains that have hubs */
	uint32_t rank;	  /**< of the domain, the nearest to the server is 0 */
} connection_share_domain_t;

/**
 * Divides a server's connections where each serves one customer. One hub of
 * each failure domain holds the domain's share. The limit also covers the
 * provers' control connections, those of a takeover, and the share of one
 * domain, so that another hub can step in for one that failed while the server
 * still counts the connections of the latter.
 *
 * @return the share of the domain, at least 1
 */
uint32_t connection_share_domain(const connection_share_domain_t *input);

#endif

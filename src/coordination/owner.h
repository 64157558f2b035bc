#ifndef COORDINATION_OWNER_H
#define COORDINATION_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_view.h"

/** Maximum number of owners of one backend server. */
#define OWNER_LIMIT 8

/** Connections of an owner's share that are reserved for polling the server. */
#define OWNER_CONTROL_CONNECTIONS 2

/** The highest ranked nodes for one server; initially zero but for wanted. */
typedef struct {
	const char *nodes[OWNER_LIMIT]; /**< names, highest weight first */
	uint64_t weights[OWNER_LIMIT];	/**< weights of @p nodes */
	uint32_t count;			/**< nodes in the ranking */
	uint32_t wanted;		/**< maximum nodes in the ranking */
} owner_ranking_t;

/** Inserts a node by its weight if it is among the wanted highest. */
void owner_ranking_add(owner_ranking_t *ranking, const char *node,
		       uint64_t weight);

/**
 * Ranks the owners of a backend server by rendezvous hashing over the live
 * members of its failure domain, or over all live members if the failure domain
 * has none.
 *
 * @param wanted number of owners to find, at most OWNER_LIMIT
 * @param nodes  receives their names, highest ranked first; they point into
 *               @p view
 * @return the number of owners found, at most @p wanted
 */
uint32_t owner_rank(const member_view_t *view, const char *server,
		    const char *failure_domain, uint32_t wanted,
		    const char **nodes);

/**
 * @return the share of the owner of a rank in a server's connections, control
 *         connections included; the shares of all ranks add up to
 *         @p connections
 */
uint32_t owner_share(uint32_t connections, uint32_t owners, uint32_t rank);

/**
 * @return the number of owners of a server with a limit of @p connections, at
 *         least 1, such that each owner has a connection besides its control
 *         connections
 */
uint32_t owner_wanted(uint32_t connections, uint32_t owners);

/** @return whether a member may own servers: it is live or suspected. */
bool owner_is_candidate(const member_t *member);

/** @return the hash of a node's or server's name, for owner_weight(). */
uint64_t owner_key(const char *name);

/** @return the rendezvous weight; the node of the highest weight ranks first.
 */
uint64_t owner_weight(uint64_t node_key, uint64_t server_key);

#endif

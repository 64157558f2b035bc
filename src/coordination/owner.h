#ifndef COORDINATION_OWNER_H
#define COORDINATION_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_view.h"

/** Most owners that one backend server can have. */
#define OWNER_LIMIT 8

/** Connections of its share that an owner keeps for watching the server. */
#define OWNER_CONTROL_CONNECTIONS 2

/** The best nodes for one server so far; zeroes but for @p wanted. */
typedef struct {
	const char *nodes[OWNER_LIMIT];
	uint64_t weights[OWNER_LIMIT];
	uint32_t count;
	uint32_t wanted;
} owner_ranking_t;

/** Puts a node where its weight belongs, if it is among the best. */
void owner_ranking_add(owner_ranking_t *ranking, const char *node,
		       uint64_t weight);

/**
 * Ranks the owners of a backend server by rendezvous hashing over the live
 * members of its failure domain; over all live members if it has none left.
 *
 * @param wanted owners asked for, at most OWNER_LIMIT
 * @param nodes  receives their names, best first; they belong to @p view
 * @return how many there are, at most @p wanted
 */
uint32_t owner_rank(const member_view_t *view, const char *server,
		    const char *failure_domain, uint32_t wanted,
		    const char **nodes);

/**
 * @return this owner's share of a server's connections, those for control
 *         included; the shares of all ranks add up to @p connections
 */
uint32_t owner_share(uint32_t connections, uint32_t owners, uint32_t rank);

/**
 * @return how many owners a server of that limit can have, at least 1, so
 *         that each has a connection besides those for control
 */
uint32_t owner_wanted(uint32_t connections, uint32_t owners);

/** @return whether a member may own servers: live or only suspected. */
bool owner_is_candidate(const member_t *member);

/** @return the hash of a node's or server's name, for owner_weight(). */
uint64_t owner_key(const char *name);

/** @return the rendezvous weight; the node of the highest weight is first. */
uint64_t owner_weight(uint64_t node_key, uint64_t server_key);

#endif

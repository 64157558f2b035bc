#ifndef COORDINATION_OWNER_H
#define COORDINATION_OWNER_H

#include <stdint.h>

#include "state/member_view.h"

/** Most owners that one backend server can have. */
#define OWNER_LIMIT 8

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

/** @return this owner's share of a server's connections. */
uint32_t owner_share(uint32_t connections, uint32_t owners, uint32_t rank);

#endif

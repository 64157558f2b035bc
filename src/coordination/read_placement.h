#ifndef COORDINATION_READ_PLACEMENT_H
#define COORDINATION_READ_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of servers that are compared for one read. */
#define READ_PLACEMENT_SERVERS_MAX 16

/** How far a server is from the node. */
typedef enum {
	READ_DISTANCE_DOMAIN,	 /**< in the node's failure domain */
	READ_DISTANCE_REGION,	 /**< in another domain of its region */
	READ_DISTANCE_ELSEWHERE, /**< in another region */
} read_distance_t;

/** One server that could run a read, and its expected delays. */
typedef struct {
	bool usable;	  /**< reachable, not leaving, no failed attempt yet */
	bool leaving;	  /**< the server is about to stop */
	bool held_back;	  /**< not usable because the server rejects reads */
	bool near;	  /**< in the node's failure domain */
	bool same_region; /**< in the node's region */
	uint64_t wait_ms; /**< expected wait before the read starts */
	uint64_t run_ms;  /**< mean time of recent reads, network included */
	uint64_t behind_ms; /**< expected wait until the server has caught up */
} read_candidate_t;

/** @return the name of a distance, for logs and metrics */
const char *read_distance_name(read_distance_t distance);

read_distance_t read_candidate_distance(const read_candidate_t *candidate);

/**
 * Chooses the server with the least expected delay. A server outside the node's
 * failure domain or region is charged a penalty for the cost of its traffic.
 *
 * @return the index of the server, or -1 if none is usable
 */
int read_placement_choose(const read_candidate_t *candidates, uint32_t count);

#endif

#ifndef COORDINATION_READ_PLACEMENT_H
#define COORDINATION_READ_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/** Most servers that are weighed for one read. */
#define READ_PLACEMENT_SERVERS_MAX 16

/** What is known of one server that could run a read. */
typedef struct {
	bool usable; /**< reachable, not leaving, not tried in vain */
	bool near;   /**< in the node's failure domain */
	bool same_region;
	uint64_t wait_ms;   /**< expected before the read starts */
	uint64_t run_ms;    /**< mean time of recent reads, network included */
	uint64_t behind_ms; /**< expected until it has caught up */
} read_candidate_t;

/**
 * Chooses the server with the least expected delay; one far away must be
 * better by more than what its traffic costs.
 *
 * @return its index, or -1 when none is usable
 */
int read_placement_choose(const read_candidate_t *candidates, uint32_t count);

#endif

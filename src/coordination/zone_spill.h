#ifndef COORDINATION_ZONE_SPILL_H
#define COORDINATION_ZONE_SPILL_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/read_placement.h"
#include "coordination/zone_server.h"

/**
 * Decides when a node's reads leave their zone, and how many of them.
 *
 * The zone of a service is the nearest group of servers: those of the node's
 * failure domain, else those of its region, else all. Reads stay there while
 * its servers answer within what callers need. Otherwise each server outside
 * receives a share of the reads, which changes gradually.
 *
 * Load pattern: a server becomes ten times slower or rejects a third of its
 * reads, and a dozen nodes, each with a few reads per second, notice it at the
 * same time. If each of them sent every read to the server with the least
 * expected delay, all would overload the next server together, return together,
 * and so on.
 *
 * Plain data, initially all zero. Times are of one monotonic clock, in
 * milliseconds.
 */

/** Why a read goes where it goes. */
typedef enum {
	ZONE_SPILL_STAYS,    /**< a server of the zone */
	ZONE_SPILL_SLOW,     /**< share sent away: slow or long queue */
	ZONE_SPILL_REJECTS,  /**< share sent away, or held back: rejections */
	ZONE_SPILL_BEHIND,   /**< share sent away: replication lag */
	ZONE_SPILL_DEADLINE, /**< the zone would answer after the deadline */
	ZONE_SPILL_UNUSABLE, /**< no server of the zone can be used */
	ZONE_SPILL_REASONS
} zone_spill_reason_t;

/** State of one service on one node. */
typedef struct {
	uint64_t needed_ms;    /**< shortest time that callers need lately */
	uint64_t needed_at_ms; /**< when such a read last arrived */
	double answer_bytes;   /**< moving average of answer sizes */
	double trend; /**< slow moving average of the pressure on the zone */
	uint64_t stepped_ms;	    /**< when the shares were last adjusted */
	uint64_t return_from_ms;    /**< earliest time to reduce the shares */
	uint64_t return_pause_ms;   /**< pause after the shares have grown */
	bool returning;		    /**< the latest change was a reduction */
	zone_spill_reason_t reason; /**< why the shares last grew */
	double reported;	    /**< total share at the last report */
} zone_spill_t;

/** Properties of one read. */
typedef struct {
	uint64_t needed_ms;    /**< time in which the callers need an answer */
	uint64_t remaining_ms; /**< time until its deadline */
	bool repeated;	       /**< it was tried before and does not count */
} zone_spill_read_t;

/** Where a read goes, and why. */
typedef struct {
	int server; /**< index, or -1 if no server is usable */
	zone_spill_reason_t reason;
	read_distance_t distance; /**< of the chosen server */
	bool changed; /**< the total share changed enough to be reported */
	double share; /**< total share that is sent away */
} zone_spill_choice_t;

/**
 * Chooses the server for a read and adjusts the shares.
 *
 * @param candidates at most READ_PLACEMENT_SERVERS_MAX servers
 * @param servers    the states of the same servers, in the same order
 */
zone_spill_choice_t zone_spill_choose(zone_spill_t *spill,
				      const zone_spill_read_t *read,
				      const read_candidate_t *candidates,
				      zone_server_t *const *servers,
				      uint32_t count, uint64_t now_ms);

/** Records the size of an answer to a read. */
void zone_spill_answered(zone_spill_t *spill, uint64_t bytes);

/** @return the name of a reason, for logs and metrics */
const char *zone_spill_reason_name(zone_spill_reason_t reason);

#endif

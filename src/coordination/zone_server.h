#ifndef COORDINATION_ZONE_SERVER_H
#define COORDINATION_ZONE_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/read_placement.h"

/**
 * What a node knows of one server for zone_spill_t: how well it answers, and
 * the share of the node's reads that it gets although it is outside the zone.
 *
 * Plain data, initially all zero. Times are of one monotonic clock, in
 * milliseconds.
 */
typedef struct {
	double run_ms;	 /**< moving average of run times, network included */
	double rejected; /**< moving average, fraction of rejected reads */
	uint64_t measured_ms; /**< when run_ms changed, or 0 */
	uint64_t rejected_ms; /**< when rejected changed, or 0 */
	double share;  /**< share of the node's reads, outside the zone */
	double credit; /**< reads owed to the server, for its share */
	bool full;     /**< has no room for reads of other zones */
} zone_server_t;

/** The largest part of the pressure on a server. */
typedef enum {
	ZONE_SERVER_SLOW,    /**< run time or queue */
	ZONE_SERVER_REJECTS, /**< rejected reads */
	ZONE_SERVER_BEHIND,  /**< replication lag */
} zone_server_trouble_t;

/** Records the run time of a statement that the server accepted. */
void zone_server_answered(zone_server_t *server, uint64_t run_ms,
			  uint64_t now_ms);

/** Records that the server rejected a statement as overloaded. */
void zone_server_rejected(zone_server_t *server, uint64_t now_ms);

/**
 * @return expected run time in milliseconds; that of @p candidate if the server
 *         has not answered yet
 */
double zone_server_run_ms(const zone_server_t *server,
			  const read_candidate_t *candidate, uint64_t now_ms);

/**
 * @param needed_ms time in which callers need an answer, greater than 0
 * @return expected delay as a multiple of @p needed_ms, increased by rejections
 */
double zone_server_pressure(const zone_server_t *server,
			    const read_candidate_t *candidate, double needed_ms,
			    uint64_t now_ms);

/** Arguments as for zone_server_pressure(). */
zone_server_trouble_t zone_server_trouble(const zone_server_t *server,
					  const read_candidate_t *candidate,
					  double needed_ms, uint64_t now_ms);

#endif

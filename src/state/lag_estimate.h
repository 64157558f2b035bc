#ifndef STATE_LAG_ESTIMATE_H
#define STATE_LAG_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/log_point.h"

/** Number of points that are kept for one primary. */
#define LAG_POINTS_COUNT 32

/** Log points of one primary and when this node first received each. */
typedef struct {
	log_point_t points[LAG_POINTS_COUNT];
	uint64_t seen_at_ms[LAG_POINTS_COUNT];
	uint32_t head;	/**< next index to write in the ring */
	uint32_t count; /**< entries in use */
} lag_points_t;

/** Estimated lag of one replica. */
typedef struct {
	log_point_t replayed; /**< newest point that the replica reported */
	uint32_t lag_ms;      /**< lag estimated from the replica's answers */
	bool known;	      /**< whether the replica has answered */
} lag_estimate_t;

/** Adds a point unless the newest point covers it. */
void lag_points_add(lag_points_t *points, log_point_t point, uint64_t now_ms);

/**
 * @return time at which @p point or the first point above it was received;
 *         @p now_ms if there is none
 */
uint64_t lag_points_seen_at(const lag_points_t *points, log_point_t point,
			    uint64_t now_ms);

/**
 * Records that a replica had replayed @p replayed at @p now_ms.
 *
 * @param behind whether a read timed out waiting for the replica to catch up
 */
void lag_estimate_update(lag_estimate_t *estimate, const lag_points_t *points,
			 log_point_t replayed, bool behind, uint64_t now_ms);

/** @return estimated time until the replica covers @p wanted, in ms. */
uint32_t lag_estimate_wait_ms(const lag_estimate_t *estimate,
			      const lag_points_t *points, log_point_t wanted,
			      uint64_t now_ms);

#endif

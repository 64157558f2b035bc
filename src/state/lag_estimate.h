#ifndef STATE_LAG_ESTIMATE_H
#define STATE_LAG_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/log_point.h"

#define LAG_POINTS_COUNT 32

/** Points of one primary and when this node first heard of each. */
typedef struct {
	log_point_t points[LAG_POINTS_COUNT];
	uint64_t seen_at_ms[LAG_POINTS_COUNT];
	uint32_t head; /**< next place to write */
	uint32_t count;
} lag_points_t;

/** What is known of one replica. */
typedef struct {
	log_point_t replayed; /**< newest point it was seen to have */
	uint32_t lag_ms;      /**< as far as answers bound it */
	bool known;
} lag_estimate_t;

/** Remembers a point; one not above the newest is left out. */
void lag_points_add(lag_points_t *points, log_point_t point, uint64_t now_ms);

/** @return when @p point, or the first one above it, was heard; else now. */
uint64_t lag_points_seen_at(const lag_points_t *points, log_point_t point,
			    uint64_t now_ms);

/**
 * Takes in that a replica had replayed @p replayed at @p now_ms.
 *
 * @param behind it kept a read waiting in vain
 */
void lag_estimate_update(lag_estimate_t *estimate, const lag_points_t *points,
			 log_point_t replayed, bool behind, uint64_t now_ms);

/** @return milliseconds until the replica should cover @p wanted. */
uint32_t lag_estimate_wait_ms(const lag_estimate_t *estimate,
			      const lag_points_t *points, log_point_t wanted,
			      uint64_t now_ms);

#endif

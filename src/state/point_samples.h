#ifndef STATE_POINT_SAMPLES_H
#define STATE_POINT_SAMPLES_H

#include <stdbool.h>
#include <stdint.h>

#include "state/log_point.h"

/** Samples kept of one primary's log. */
#define POINT_SAMPLES_MAX 64

/** Time between two samples that are both kept. */
#define POINT_SAMPLES_GAP_MS 50

/**
 * Points that a primary had reached, each with the time before which
 * everything acknowledged is covered by it. Plain data, all zero when empty.
 */
typedef struct {
	struct {
		uint64_t asked_ms;
		log_point_t point;
	} entries[POINT_SAMPLES_MAX]; /**< a ring, oldest first */
	uint32_t first;
	uint32_t count;
} point_samples_t;

/** Takes in a point answered by the primary to a question of @p asked_ms. */
void point_samples_add(point_samples_t *samples, uint64_t asked_ms,
		       log_point_t point);

/**
 * Finds the lowest point that covers all that was acknowledged up to
 * @p since_ms.
 *
 * @return false when no sample is that young
 */
bool point_samples_since(const point_samples_t *samples, uint64_t since_ms,
			 log_point_t *point);

/** @return the newest point, or the zero point. */
log_point_t point_samples_newest(const point_samples_t *samples);

/**
 * Estimates how long ago the primary had only reached @p point.
 *
 * @return milliseconds; 0 when the point is the newest
 */
uint64_t point_samples_age_ms(const point_samples_t *samples, log_point_t point,
			      uint64_t now_ms);

#endif

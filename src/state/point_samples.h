#ifndef STATE_POINT_SAMPLES_H
#define STATE_POINT_SAMPLES_H

#include <stdbool.h>
#include <stdint.h>

#include "state/log_point.h"

/** Maximum number of samples of one primary's log. */
#define POINT_SAMPLES_MAX 64

/** Minimum time between two kept samples, except for the newest. */
#define POINT_SAMPLES_GAP_MS 50

/**
 * Sampled log points of a primary. Each sample covers every change that was
 * acknowledged before its query was sent. Plain data, all zero when empty.
 */
typedef struct {
	struct {
		uint64_t sent_ms; /**< time at which the query was sent */
		log_point_t point;
	} entries[POINT_SAMPLES_MAX]; /**< ring buffer, oldest first */
	uint32_t first;		      /**< index of the oldest sample */
	uint32_t count;
} point_samples_t;

/**
 * Adds the point that the primary returned to a query sent at @p sent_ms.
 * Answers that arrive out of order are dropped.
 */
void point_samples_add(point_samples_t *samples, uint64_t sent_ms,
		       log_point_t point);

/**
 * Finds the lowest point that covers every change acknowledged up to
 * @p since_ms.
 *
 * @return false if every sample is older than @p since_ms
 */
bool point_samples_since(const point_samples_t *samples, uint64_t since_ms,
			 log_point_t *point);

/** @return the newest point, or the zero point if there is no sample. */
log_point_t point_samples_newest(const point_samples_t *samples);

/**
 * Reads the newest sample.
 *
 * @return false if there is none
 */
bool point_samples_last(const point_samples_t *samples, uint64_t *sent_ms,
			log_point_t *point);

/**
 * Estimates the age of @p point: the time since the primary's log ended there.
 *
 * @return age in milliseconds; 0 if @p point covers the newest sample
 */
uint64_t point_samples_age_ms(const point_samples_t *samples, log_point_t point,
			      uint64_t now_ms);

#endif

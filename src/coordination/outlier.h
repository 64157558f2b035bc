#ifndef COORDINATION_OUTLIER_H
#define COORDINATION_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Finds out that a server fails what it runs, from the answers of statements
 * and not from what it says of its health. While it is an outlier it gets one
 * statement now and then, so that a recovery is noticed.
 *
 * Plain data, all zero at first. Times are of one monotonic clock.
 */
typedef struct {
	double answers; /**< fading counts */
	double failures;
	uint64_t at_ms;	    /**< when the counts were as they stand here */
	uint64_t since_ms;  /**< since when it is an outlier, or 0 */
	uint64_t probed_ms; /**< when it was given a statement last */
} outlier_t;

/** Takes in an answer: whether the statement ran and failed. */
void outlier_answered(outlier_t *outlier, bool failed, uint64_t now_ms);

/** @return since when it fails what it runs, or 0 */
uint64_t outlier_since_ms(const outlier_t *outlier, uint64_t now_ms);

/** @return whether it may be given a statement now */
bool outlier_may_run(const outlier_t *outlier, uint64_t now_ms);

/** Takes in that it is given a statement. */
void outlier_runs(outlier_t *outlier, uint64_t now_ms);

#endif

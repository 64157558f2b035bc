#ifndef COORDINATION_OUTLIER_H
#define COORDINATION_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Outlier detection: detects a server that fails statements, whatever the
 * server reports about its health. An outlier still gets one statement from
 * time to time, so that its recovery is noticed.
 *
 * Plain data, initially all zero. Times are of one monotonic clock.
 */
typedef struct {
	double answers;	    /**< decaying count of answers */
	double failures;    /**< decaying count of failed statements */
	uint64_t at_ms;	    /**< time as of which the counts hold */
	uint64_t since_ms;  /**< since when the server is an outlier, or 0 */
	uint64_t probed_ms; /**< when a statement was last sent to the server */
} outlier_t;

/** Records an answer; @p failed if the statement ran and failed. */
void outlier_answered(outlier_t *outlier, bool failed, uint64_t now_ms);

/** @return since when the server is an outlier, or 0 */
uint64_t outlier_since_ms(const outlier_t *outlier, uint64_t now_ms);

/** @return whether a statement may be sent to the server now */
bool outlier_may_run(const outlier_t *outlier, uint64_t now_ms);

/** Records that a statement is sent to the server. */
void outlier_record_sent(outlier_t *outlier, uint64_t now_ms);

#endif

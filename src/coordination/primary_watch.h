#ifndef COORDINATION_PRIMARY_WATCH_H
#define COORDINATION_PRIMARY_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Finds out whether a primary is lost, from when it was last heard and how
 * questions to it ended. Plain data, all zero at first.
 */
typedef struct {
	uint64_t heard_ms;
	uint64_t failing_ms; /**< first failure in a row, or 0 */
	uint32_t refused;    /**< connections refused in a row */
	uint32_t failures;   /**< of all kinds in a row */
} primary_watch_t;

/** Silence after which the primary is asked. */
#define PRIMARY_WATCH_SILENCE_MS 300u

/** Silence after which a primary that does not answer is lost. */
#define PRIMARY_WATCH_LOST_MS 900u

/** It sent something at @p heard_ms. */
void primary_watch_heard(primary_watch_t *watch, uint64_t heard_ms);

/** A question failed; @p refused when no connection could be made. */
void primary_watch_failed(primary_watch_t *watch, bool refused,
			  uint64_t now_ms);

/** @return whether it should be asked now */
bool primary_watch_must_ask(const primary_watch_t *watch, uint64_t now_ms);

/** @return whether it is lost */
bool primary_watch_is_lost(const primary_watch_t *watch, uint64_t now_ms);

#endif

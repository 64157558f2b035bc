#ifndef COORDINATION_TAKEOVER_TIMES_H
#define COORDINATION_TAKEOVER_TIMES_H

#include <stdint.h>

/** Number of takeovers that are remembered. */
#define TAKEOVER_TIMES_KEPT 4u

/**
 * How long recent takeovers took, as seen by one node: from the record that
 * announces one to the record that names the primary. Estimates when a takeover
 * under way ends.
 *
 * Without a history the phases of a takeover are used: it ends within 0.7 s if
 * all nodes confirm it; if one does not, earlier proofs have to run out, and it
 * lasts 1.3 s or longer (2.1 to 2.3 s with 30 nodes cut off from the store).
 */
typedef struct {
	uint32_t durations_ms[TAKEOVER_TIMES_KEPT];
	uint32_t count; /**< takeovers recorded so far */
} takeover_times_t;

/** The expected end of a takeover, between two bounds. */
typedef struct {
	uint64_t earliest_ms; /**< as fast as the fastest recent one */
	uint64_t latest_ms;   /**< as slow as the slowest recent one */
} takeover_end_t;

/** Records a takeover that has ended. */
void takeover_times_add(takeover_times_t *times, uint64_t duration_ms);

/** @return when a takeover that began at @p began_ms will end */
takeover_end_t takeover_times_end(const takeover_times_t *times,
				  uint64_t began_ms, uint64_t now_ms);

#endif

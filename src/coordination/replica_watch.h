#ifndef COORDINATION_REPLICA_WATCH_H
#define COORDINATION_REPLICA_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Finds out when a primary should hand over to a replica: because it fails
 * what it runs, or because all replicas are late to apply what they have
 * received. Then the primary alone serves every read; a replica that is
 * promoted applies what it has at once, and the old primary follows as one
 * that is not late.
 *
 * Plain data, all zero at first.
 */
typedef struct {
	uint64_t late_ms;	 /**< since when all replicas are late, or 0 */
	uint64_t failing_ms;	 /**< when the primary was failing last */
	bool relief;		 /**< a replica could lead, as of the round */
	uint64_t round_ms;	 /**< when they answered last */
	uint64_t overloaded_ms;	 /**< when the primary turned work away last */
	uint64_t handed_over_ms; /**< the last time, or 0 */
} replica_watch_t;

/** Lag of all replicas from which on they are looked at. */
#define REPLICA_WATCH_LAG_MS 700u

/** What a replica said of itself. */
typedef struct {
	bool answered;
	bool complete;	 /**< it has received what the primary has */
	uint64_t lag_ms; /**< by which it applies later than it receives */
} replica_watch_answer_t;

/** Takes in one round of answers of all replicas. */
void replica_watch_round(replica_watch_t *watch,
			 const replica_watch_answer_t *answers, uint32_t count,
			 uint64_t now_ms);

/** Takes in that the primary has more work than it takes. */
void replica_watch_overloaded(replica_watch_t *watch, uint64_t now_ms);

/** Takes in that the primary fails statements that it runs. */
void replica_watch_failing(replica_watch_t *watch, uint64_t now_ms);

/** @return whether the primary should hand over now */
bool replica_watch_is_due(const replica_watch_t *watch, uint64_t now_ms);

/** Takes in that a handover was begun. */
void replica_watch_handed_over(replica_watch_t *watch, uint64_t now_ms);

#endif

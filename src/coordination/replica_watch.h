#ifndef COORDINATION_REPLICA_WATCH_H
#define COORDINATION_REPLICA_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Decides when a primary should hand over to a replica: because it fails the
 * statements that it runs, or because all replicas lag in applying what they
 * have received. While all replicas lag, the primary alone serves every read. A
 * promoted replica applies its received log at once, and the old primary then
 * follows as a replica that does not lag.
 *
 * Plain data, initially all zero.
 */
typedef struct {
	uint64_t lagging_ms;	 /**< since when all replicas lag, or 0 */
	uint64_t failing_ms;	 /**< when the primary last failed statements */
	bool has_successor;	 /**< a replica can become primary */
	uint64_t round_ms;	 /**< time of the latest round of answers */
	uint64_t overloaded_ms;	 /**< when the primary last rejected work */
	uint64_t handed_over_ms; /**< time of the latest handover, or 0 */
} replica_watch_t;

/** Lag from which on a replica counts as lagging. */
#define REPLICA_WATCH_LAG_MS 700u

/** The state of a replica in one round. */
typedef struct {
	bool answered;	 /**< the replica answered; the rest is set */
	bool complete;	 /**< it has received all of the primary's log */
	uint64_t lag_ms; /**< delay from receiving to applying a record */
} replica_watch_answer_t;

/** Handles one round of answers of all replicas. */
void replica_watch_round(replica_watch_t *watch,
			 const replica_watch_answer_t *answers, uint32_t count,
			 uint64_t now_ms);

/** Records that the primary rejects work because it is overloaded. */
void replica_watch_overloaded(replica_watch_t *watch, uint64_t now_ms);

/** Records that the primary fails statements that it runs. */
void replica_watch_failing(replica_watch_t *watch, uint64_t now_ms);

/** @return whether the primary should hand over now */
bool replica_watch_is_due(const replica_watch_t *watch, uint64_t now_ms);

/** Records that a handover was started. */
void replica_watch_handed_over(replica_watch_t *watch, uint64_t now_ms);

#endif

#ifndef STATE_SYNC_HOLDERS_H
#define STATE_SYNC_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of replicas of one service that are remembered. */
#define SYNC_HOLDERS_MAX 32u

/**
 * Time after which a replica without an entry is taken for gone. One that runs
 * and reaches the store has its entry back within about two seconds.
 */
#define SYNC_HOLDERS_GONE_MS 3000u

/** One run of a replica; after a restart its log may be gone. */
typedef struct {
	char id[64];
	uint64_t started_ms;  /**< start time by the replica's own clock */
	uint64_t departed_ms; /**< when it was first missing, or 0 */
} sync_holder_t;

/**
 * The replicas that may hold commits which were acknowledged in the present
 * term, where a commit is acknowledged once some replicas have received it.
 * One that has departed counts until it is taken for gone and enough others are
 * known to have received all that the primary had by then. Plain data,
 * initially zero.
 */
typedef struct {
	sync_holder_t holders[SYNC_HOLDERS_MAX];
	uint32_t count;
	/** More replicas than can be remembered: nothing proves a log complete.
	 */
	bool overflowed;
} sync_holders_t;

/** A replica that is present. */
typedef struct {
	const char *id;
	uint64_t started_ms;
} sync_replica_t;

/**
 * Adds the replicas that are present and notes which others have departed.
 *
 * @return whether a replica has departed since the last call
 */
bool sync_holders_update(sync_holders_t *holders,
			 const sync_replica_t *replicas, uint32_t count,
			 uint64_t now_ms);

/** Adds the holders of another list, for instance one read from the store. */
void sync_holders_merge(sync_holders_t *holders, const sync_holders_t *other);

/**
 * Begins a new term: the promoted server is no replica any more, the old
 * primary may come back as one and be used before it is seen.
 *
 * @param old        id of the old primary, or "" if it was unknown
 * @param started_ms its start time, 0 if unknown
 */
void sync_holders_new_term(sync_holders_t *holders, const char *primary,
			   const char *old, uint64_t started_ms);

/** @return number of replicas that have departed and still count */
uint32_t sync_holders_departed(const sync_holders_t *holders);

/**
 * Drops the replicas that were gone by @p asked_ms, when the primary was asked
 * for the end of its log, which enough others have received since.
 */
void sync_holders_superseded(sync_holders_t *holders, uint64_t asked_ms);

#endif

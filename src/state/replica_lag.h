#ifndef STATE_REPLICA_LAG_H
#define STATE_REPLICA_LAG_H

#include <stdint.h>

/**
 * Lag of a replica, estimated from its answers. A lagging replica is avoided
 * until its backoff has passed. Plain data, all zero when unknown.
 */
typedef struct {
	uint64_t lag_ms;      /**< last estimate */
	uint64_t retry_at_ms; /**< time from which a read may try it again */
	uint64_t backoff_ms;  /**< current backoff, doubled by misses */
} replica_lag_t;

/** Records that the replica did not have a change made @p age_ms ago. */
void replica_lag_record_missing(replica_lag_t *lag, uint64_t age_ms,
				uint64_t now_ms);

/** Records that the replica had a change made @p age_ms ago. */
void replica_lag_record_present(replica_lag_t *lag, uint64_t age_ms);

/**
 * Records the lag of the log that the replica has received. The replica may
 * not have applied this log yet, so the value can only raise the estimate.
 */
void replica_lag_record_received(replica_lag_t *lag, uint64_t lag_ms,
				 uint64_t now_ms);

/** @return the lag in milliseconds; 0 once the replica may be tried again. */
uint64_t replica_lag_ms(const replica_lag_t *lag, uint64_t now_ms);

#endif

#ifndef STATE_REPLICA_LAG_H
#define STATE_REPLICA_LAG_H

#include <stdint.h>

/** What answers say of a replica's lag. Plain data, all zero when unknown. */
typedef struct {
	uint64_t lag_ms;
	uint64_t until_ms; /**< when the replica is worth another try */
	uint64_t pause_ms; /**< length of that time, grows while it lacks */
} replica_lag_t;

/** Takes in that it lacked a change made @p age_ms ago. */
void replica_lag_lacked(replica_lag_t *lag, uint64_t age_ms, uint64_t now_ms);

/** Takes in that it had a change made @p age_ms ago. */
void replica_lag_covered(replica_lag_t *lag, uint64_t age_ms);

/** Takes in a lag by what it received, which may not be applied yet. */
void replica_lag_measured(replica_lag_t *lag, uint64_t lag_ms, uint64_t now_ms);

/** @return the lag to count with, in milliseconds */
uint64_t replica_lag_ms(const replica_lag_t *lag, uint64_t now_ms);

#endif

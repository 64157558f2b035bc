#ifndef COORDINATION_WAIT_ESTIMATE_H
#define COORDINATION_WAIT_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/takeover_times.h"

/**
 * Decides whether a statement that has not been sent keeps waiting.
 *
 * Load pattern: a service with 90 statements per second is without a primary
 * for 2 s. Its statements have a timeout of 0.8 to 1.2 s; held until then, a
 * statement that arrives early is rejected for nothing and its caller, who may
 * retry twice, has lost that time. All that were rejected must not come back at
 * the same moment, nor before the takeover ends. A statement that the end of
 * the takeover may still reach in time keeps its place.
 */

/** Interval at which a waiting statement is examined. */
#define WAIT_ESTIMATE_CHECK_MS 40u

/** A statement that waits for the primary during a takeover. */
typedef struct {
	uint64_t now_ms;
	uint64_t deadline_ms; /**< of the statement */
	uint64_t run_ms;      /**< expected time from sending to the answer */
	takeover_end_t end;   /**< of the takeover */
} wait_for_primary_t;

/** A read that waits for a connection to a replica. */
typedef struct {
	uint64_t waited_ms; /**< at this server */
	uint64_t left_ms;   /**< until the deadline */
	bool answers;	    /**< the server has connections and answers */
} wait_for_connection_t;

/** @return whether the statement may still be served by its deadline */
bool wait_estimate_primary(const wait_for_primary_t *wait);

/**
 * @return whether the read should try another server: this one neither accepts
 *         connections nor answers on those that it has, so that the estimate of
 *         its queue, which was right for a server that works, means nothing
 */
bool wait_estimate_moves(const wait_for_connection_t *wait);

/**
 * @param ready_ms time until the statement could be served
 * @param random   from 0 to 1
 * @return the time after which a rejected caller should retry, spread so that
 *         the rejected callers do not return together
 */
uint32_t wait_estimate_retry_ms(uint64_t ready_ms, double random);

#endif

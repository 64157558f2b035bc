#ifndef COORDINATION_RETRY_H
#define COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request.h"

/** What to do with a request whose attempt has ended. */
typedef enum {
	RETRY_END,		/**< return the answer to the caller */
	RETRY_NOW,		/**< try another server or owner at once */
	RETRY_LATER,		/**< try again after delay_ms */
	RETRY_WAIT_FOR_PRIMARY, /**< wait until a primary is known to serve */
} retry_kind_t;

typedef struct {
	retry_kind_t kind;
	uint32_t delay_ms; /**< for RETRY_LATER */
} retry_decision_t;

/** An attempt that has ended. */
typedef struct {
	const request_t *request;
	const answer_t *answer;
	bool at_primary;      /**< the attempt was sent to the primary */
	bool answer_begun;    /**< part of the answer was already sent on */
	uint32_t attempts;    /**< attempts so far, this one included */
	uint64_t deadline_ms; /**< deadline of the request */
} retry_attempt_t;

/**
 * Retry budget of one tenant: each request earns a fraction of a retry, so that
 * retries stay a bounded part of the load. A parked request spends nothing,
 * because it waits for an event instead of being sent again.
 */
typedef struct {
	uint32_t credit; /**< available retries, in hundredths */
} retry_budget_t;

/** @return a budget with the maximum credit. */
retry_budget_t retry_budget_new(void);

/** Adds the credit that one request earns. */
void retry_budget_earn(retry_budget_t *budget);

/** Decides what to do next; a granted retry is deducted from the budget. */
retry_decision_t retry_decide(retry_budget_t *budget,
			      const retry_attempt_t *attempt, uint64_t now_ms);

#endif

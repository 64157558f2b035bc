#ifndef COORDINATION_RETRY_H
#define COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request.h"

/** What to do with a request whose attempt has ended. */
typedef enum {
	RETRY_END,   /**< hand the answer to the caller */
	RETRY_NOW,   /**< try another server or owner at once */
	RETRY_LATER, /**< try again after the given delay */
	RETRY_PARK,  /**< wait until a primary is known to serve */
} retry_kind_t;

typedef struct {
	retry_kind_t kind;
	uint32_t delay_ms; /**< for RETRY_LATER */
} retry_verdict_t;

/** One ended attempt. */
typedef struct {
	const request_t *request;
	const answer_t *answer;
	bool at_primary;   /**< the attempt went to the primary */
	bool answer_begun; /**< a part of the answer left already */
	uint32_t attempts; /**< made so far, this one included */
	uint64_t deadline_ms;
} retry_attempt_t;

/**
 * Retries of one tenant: each request earns a share of a retry, so that
 * retries stay a bounded part of the load. Parked requests cost nothing;
 * they wait for an event instead of asking again.
 */
typedef struct {
	uint32_t credit; /**< in hundredths of a retry */
} retry_budget_t;

/** @return a budget with its opening credit. */
retry_budget_t retry_budget_new(void);

/** Earns the share of one request. */
void retry_budget_earn(retry_budget_t *budget);

/** Decides and, where a retry is granted, takes it from the budget. */
retry_verdict_t retry_decide(retry_budget_t *budget,
			     const retry_attempt_t *attempt, uint64_t now_ms);

#endif

#include "coordination/retry.h"

/* Credits are hundredths of a retry. */
#define CREDIT_ONE_RETRY 100u
#define CREDIT_EACH_REQUEST 20u
#define CREDIT_MAX 5000u
#define ATTEMPTS_MAX 50u
/* Number of attempts after which a retry is delayed. */
#define ATTEMPTS_UNDELAYED 4u
#define DELAY_FIRST_MS 10u
#define DELAY_MAX_MS 320u

retry_budget_t retry_budget_new(void)
{
	return (retry_budget_t){.credit = CREDIT_MAX};
}

void retry_budget_earn(retry_budget_t *budget)
{
	budget->credit += CREDIT_EACH_REQUEST;
	if (budget->credit > CREDIT_MAX)
		budget->credit = CREDIT_MAX;
}

static bool budget_take(retry_budget_t *budget)
{
	if (budget->credit < CREDIT_ONE_RETRY)
		return false;
	budget->credit -= CREDIT_ONE_RETRY;
	return true;
}

static uint32_t delay_ms(uint32_t attempts)
{
	uint32_t delay = DELAY_FIRST_MS;

	for (uint32_t i = 1; i < attempts && delay < DELAY_MAX_MS; i++)
		delay *= 2;
	return delay;
}

/*
 * Whether a request may be sent again. With an unknown outcome that is safe
 * only for a write with an idempotency key.
 */
static bool may_repeat(const retry_attempt_t *attempt)
{
	if (attempt->answer_begun || attempt->request->lease_id)
		return false;
	if (attempt->answer->outcome == OUTCOME_NOT_RUN)
		return true;
	return attempt->answer->outcome == OUTCOME_UNKNOWN &&
	       attempt->request->kind == REQUEST_WRITE &&
	       attempt->request->request_key;
}

static bool waits_for_primary(reason_t reason)
{
	return reason == REASON_OTHER_TERM || reason == REASON_NOT_PRIMARY ||
	       reason == REASON_NO_PRIMARY || reason == REASON_UNREACHABLE ||
	       reason == REASON_UNCONFIRMED || reason == REASON_LOST_ANSWER;
}

/*
 * Whether retries for a reason are bounded without the budget. A lagging
 * replica is tried once for each read and the next attempt goes to the primary,
 * which never lags.
 */
static bool is_bounded(reason_t reason)
{
	return reason == REASON_BEHIND || reason == REASON_STALE;
}

retry_decision_t retry_decide(retry_budget_t *budget,
			      const retry_attempt_t *attempt, uint64_t now_ms)
{
	const reason_t reason = attempt->answer->reason;
	retry_decision_t decision = {.kind = RETRY_END};

	if (attempt->answer->outcome == OUTCOME_DONE || !may_repeat(attempt))
		return decision;
	if (now_ms >= attempt->deadline_ms || reason == REASON_DEADLINE ||
	    reason == REASON_CANCELLED || attempt->attempts >= ATTEMPTS_MAX)
		return decision;
	if ((attempt->request->kind != REQUEST_READ || attempt->at_primary) &&
	    waits_for_primary(reason)) {
		decision.kind = RETRY_WAIT_FOR_PRIMARY;
		return decision;
	}
	if (!is_bounded(reason) && !budget_take(budget))
		return decision;
	if (reason == REASON_OVERLOADED ||
	    attempt->attempts >= ATTEMPTS_UNDELAYED) {
		decision.kind = RETRY_LATER;
		decision.delay_ms = delay_ms(attempt->attempts);
		return decision;
	}
	decision.kind = RETRY_NOW;
	return decision;
}

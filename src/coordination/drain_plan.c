#include "coordination/drain_plan.h"

#include <glib.h>

/*
 * Parts of the grace period at its end: for the last call to the store and the
 * process's end, for answers on their way, and as a margin before the kill.
 */
#define GRACE_PARTS 30
#define LEAVE_PARTS 2
#define ANSWER_PARTS 1

/* Minimum of that margin: the plan is asked in intervals. */
#define EXIT_MARGIN_MS_MIN 100u

/* Time between leaving and the end of an idle process, for the last call. */
#define LEAVE_MS_MIN 150

/*
 * Time of a transaction that begins in the drain, as a part of the time until
 * everything is answered; its last statement needs its timeout besides.
 */
#define TRANSACTION_DIVISOR 4

/* Time before the end in which a caller learns that its transaction ended. */
#define NOTICE_MS 300

void drain_plan_begin(drain_plan_t *plan, uint64_t now_ms, uint32_t grace_ms,
		      uint32_t accept_ms)
{
	const uint64_t part_ms = grace_ms / GRACE_PARTS;
	const uint64_t margin_ms =
		MAX(part_ms, MIN(EXIT_MARGIN_MS_MIN, grace_ms / 4));

	*plan = (drain_plan_t){
		.begun_ms = now_ms,
		.accept_until_ms = now_ms + MIN(accept_ms, grace_ms / 2),
		.transactions_ms = now_ms + grace_ms / 2,
		.exit_ms = now_ms + grace_ms - margin_ms,
	};
	plan->leave_ms = plan->exit_ms - LEAVE_PARTS * part_ms;
	plan->answer_ms = plan->leave_ms - ANSWER_PARTS * part_ms;
	plan->close_ms = now_ms + (plan->answer_ms - now_ms) * 5 / 6;
}

bool drain_plan_is_begun(const drain_plan_t *plan)
{
	return plan->begun_ms;
}

/* @return time that the plan leaves for a statement of this timeout */
static uint64_t longest_ms(const drain_plan_t *plan, uint32_t timeout_ms)
{
	return MIN(timeout_ms, (plan->answer_ms - plan->begun_ms) / 2);
}

bool drain_plan_may_begin(const drain_plan_t *plan, uint64_t now_ms,
			  uint32_t timeout_ms)
{
	return !plan->begun_ms ||
	       now_ms + longest_ms(plan, timeout_ms) <= plan->answer_ms;
}

bool drain_plan_may_begin_transaction(const drain_plan_t *plan, uint64_t now_ms,
				      uint32_t timeout_ms)
{
	const uint64_t transaction_ms =
		(plan->answer_ms - plan->begun_ms) / TRANSACTION_DIVISOR;

	return drain_plan_may_begin(plan, now_ms + transaction_ms, timeout_ms);
}

bool drain_plan_ends_transaction(const drain_plan_t *plan, uint64_t began_ms,
				 uint64_t now_ms)
{
	if (!plan->begun_ms)
		return false;
	if (began_ms < plan->begun_ms && now_ms >= plan->transactions_ms)
		return true;
	return now_ms + NOTICE_MS >= plan->answer_ms;
}

uint64_t drain_plan_latest_ms(const drain_plan_t *plan)
{
	return plan->begun_ms ? plan->answer_ms : UINT64_MAX;
}

static drain_step_t leave(drain_plan_t *plan, uint64_t now_ms)
{
	plan->left_ms = now_ms;
	return DRAIN_LEAVE;
}

/* @return whether the process has left and needs no more time */
static bool has_ended(const drain_plan_t *plan, uint64_t now_ms, bool is_idle)
{
	return now_ms >= plan->exit_ms ||
	       (is_idle && now_ms >= plan->left_ms + LEAVE_MS_MIN);
}

drain_step_t drain_plan_next(drain_plan_t *plan, uint64_t now_ms, bool is_idle)
{
	if (plan->left_ms)
		return has_ended(plan, now_ms, is_idle) ? DRAIN_EXIT :
							  DRAIN_CLOSE;
	if (is_idle && now_ms >= plan->accept_until_ms)
		return leave(plan, now_ms);
	if (now_ms >= plan->answer_ms && !plan->answered) {
		plan->answered = true;
		return DRAIN_ANSWER;
	}
	if (now_ms >= plan->leave_ms)
		return leave(plan, now_ms);
	return now_ms >= plan->close_ms ? DRAIN_CLOSE : DRAIN_ACCEPT;
}

#include "coordination/proof_poll.h"

/* Interval between rounds where all services are asked in each. */
#define ROUND_MS 300u

/*
 * Remaining validity of a proof from which a service is not asked in its step.
 * Its next step is 600 ms later, so that 300 ms are left for the answers.
 */
#define REMAINING_ENOUGH_MS 900u

/* Remaining validity below which a service is asked in any step. */
#define REMAINING_SHORT_MS 150u

bool proof_poll_step(proof_poll_t *poll, bool needed, bool large,
		     uint64_t now_ms)
{
	const uint64_t interval_ms = large ? PROOF_POLL_STEP_MS : ROUND_MS;

	poll->large = large;
	if (!needed || now_ms < poll->round_ms + interval_ms)
		return false;
	poll->round++;
	poll->round_ms = now_ms;
	return true;
}

bool proof_poll_wants(const proof_poll_t *poll, uint32_t key, uint64_t until_ms,
		      uint64_t now_ms)
{
	if (!poll->large)
		return true;
	if (now_ms < until_ms && until_ms <= now_ms + REMAINING_SHORT_MS)
		return true;
	return key % PROOF_POLL_PARTS == poll->round % PROOF_POLL_PARTS &&
	       until_ms <= now_ms + REMAINING_ENOUGH_MS;
}

#include "coordination/wait_estimate.h"

#include <glib.h>

/*
 * Shortest time after which a read moves to another server. Opening a
 * connection to another region takes 92 ms, and up to 300 ms when all hubs open
 * theirs at once.
 */
#define MOVE_AFTER_MS 200u

/* With less time left, another server would not answer either. */
#define MOVE_LEFT_MS 60u

/* Shortest and longest time to retry, before the spread. */
#define RETRY_MS_MIN 50u
#define RETRY_MS_MAX 3000u

/* The spread is half of that time, within these bounds. */
#define SPREAD_MS_MIN 100u
#define SPREAD_MS_MAX 600u

bool wait_estimate_primary(const wait_for_primary_t *wait)
{
	return MAX(wait->end.earliest_ms, wait->now_ms) + wait->run_ms <
	       wait->deadline_ms;
}

bool wait_estimate_moves(const wait_for_connection_t *wait)
{
	return !wait->answers && wait->left_ms >= MOVE_LEFT_MS &&
	       wait->waited_ms >= MOVE_AFTER_MS;
}

uint32_t wait_estimate_retry_ms(uint64_t ready_ms, double random)
{
	const uint64_t retry_ms = CLAMP(ready_ms, RETRY_MS_MIN, RETRY_MS_MAX);
	const double spread_ms =
		(double)CLAMP(retry_ms / 2, SPREAD_MS_MIN, SPREAD_MS_MAX);

	return (uint32_t)retry_ms + (uint32_t)(random * spread_ms);
}

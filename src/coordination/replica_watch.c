#include "coordination/replica_watch.h"

/* Time for which all replicas must be late. */
#define LATE_FOR_MS 800

/* Time for which it counts that the primary was overloaded. */
#define OVERLOADED_MS 1500

/* Time for which a round of answers counts. */
#define ROUND_MS 900

/* Pause between two handovers: what made one useless lasts. */
#define PAUSE_MS 20000

/* @return whether it would lead with all that was acknowledged */
static bool can_relieve(const replica_watch_answer_t *answer)
{
	return answer->answered && answer->complete;
}

static bool is_late(const replica_watch_answer_t *answer)
{
	return !answer->answered || answer->lag_ms >= REPLICA_WATCH_LAG_MS;
}

void replica_watch_round(replica_watch_t *watch,
			 const replica_watch_answer_t *answers, uint32_t count,
			 uint64_t now_ms)
{
	bool all_late = true;
	bool relief = false;

	if (now_ms > watch->round_ms + ROUND_MS)
		watch->late_ms = 0;
	watch->round_ms = now_ms;
	for (uint32_t i = 0; i < count; i++) {
		all_late &= is_late(&answers[i]);
		relief |= can_relieve(&answers[i]);
	}
	watch->relief = relief;
	if (!all_late || !relief)
		watch->late_ms = 0;
	else if (!watch->late_ms)
		watch->late_ms = now_ms;
}

void replica_watch_overloaded(replica_watch_t *watch, uint64_t now_ms)
{
	watch->overloaded_ms = now_ms;
}

void replica_watch_failing(replica_watch_t *watch, uint64_t now_ms)
{
	watch->failing_ms = now_ms;
}

static bool is_recent(uint64_t at_ms, uint64_t within_ms, uint64_t now_ms)
{
	return at_ms && now_ms <= at_ms + within_ms;
}

bool replica_watch_is_due(const replica_watch_t *watch, uint64_t now_ms)
{
	const bool late =
		watch->late_ms && now_ms >= watch->late_ms + LATE_FOR_MS &&
		is_recent(watch->overloaded_ms, OVERLOADED_MS, now_ms);
	const bool failing = is_recent(watch->failing_ms, ROUND_MS, now_ms);

	if (!watch->relief || !is_recent(watch->round_ms, ROUND_MS, now_ms))
		return false;
	if (!late && !failing)
		return false;
	return !watch->handed_over_ms ||
	       now_ms >= watch->handed_over_ms + PAUSE_MS;
}

void replica_watch_handed_over(replica_watch_t *watch, uint64_t now_ms)
{
	watch->handed_over_ms = now_ms;
	watch->late_ms = 0;
	watch->relief = false;
}

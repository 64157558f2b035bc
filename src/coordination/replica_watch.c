#include "coordination/replica_watch.h"

/* Time for which all replicas must lag. */
#define LAG_DURATION_MS 800

/* Validity of the observation that the primary was overloaded. */
#define OVERLOADED_MS 1500

/* Validity of a round of answers. */
#define ROUND_MS 900

/* Pause between two handovers: the cause of a useless handover persists. */
#define PAUSE_MS 20000

/* Whether the replica could become primary with all acknowledged commits. */
static bool can_succeed(const replica_watch_answer_t *answer)
{
	return answer->answered && answer->complete;
}

static bool is_lagging(const replica_watch_answer_t *answer)
{
	return !answer->answered || answer->lag_ms >= REPLICA_WATCH_LAG_MS;
}

void replica_watch_round(replica_watch_t *watch,
			 const replica_watch_answer_t *answers, uint32_t count,
			 uint64_t now_ms)
{
	bool all_lagging = true;
	bool has_successor = false;

	if (now_ms > watch->round_ms + ROUND_MS)
		watch->lagging_ms = 0;
	watch->round_ms = now_ms;
	for (uint32_t i = 0; i < count; i++) {
		all_lagging &= is_lagging(&answers[i]);
		has_successor |= can_succeed(&answers[i]);
	}
	watch->has_successor = has_successor;
	if (!all_lagging || !has_successor)
		watch->lagging_ms = 0;
	else if (!watch->lagging_ms)
		watch->lagging_ms = now_ms;
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
	const bool lagging =
		watch->lagging_ms &&
		now_ms >= watch->lagging_ms + LAG_DURATION_MS &&
		is_recent(watch->overloaded_ms, OVERLOADED_MS, now_ms);
	const bool failing = is_recent(watch->failing_ms, ROUND_MS, now_ms);

	if (!watch->has_successor ||
	    !is_recent(watch->round_ms, ROUND_MS, now_ms))
		return false;
	if (!lagging && !failing)
		return false;
	return !watch->handed_over_ms ||
	       now_ms >= watch->handed_over_ms + PAUSE_MS;
}

void replica_watch_handed_over(replica_watch_t *watch, uint64_t now_ms)
{
	watch->handed_over_ms = now_ms;
	watch->lagging_ms = 0;
	watch->has_successor = false;
}

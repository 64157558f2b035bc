#include "state/replica_lag.h"

#include <glib.h>

/* Least lag of a replica that lacked a change made just now. */
#define LACKED_MS_MIN 40

#define LAG_MS_MAX 10000

/* Time after which a lagging replica is tried again, and its longest. */
#define PAUSE_MS 250
#define PAUSE_MS_MAX 4000

void replica_lag_lacked(replica_lag_t *lag, uint64_t age_ms, uint64_t now_ms)
{
	const uint64_t doubled_ms = MAX(2 * lag->lag_ms, LACKED_MS_MIN);

	lag->lag_ms = MIN(MAX(age_ms, doubled_ms), LAG_MS_MAX);
	if (now_ms >= lag->until_ms)
		lag->pause_ms =
			CLAMP(2 * lag->pause_ms, PAUSE_MS, PAUSE_MS_MAX);
	lag->until_ms = now_ms + lag->pause_ms;
}

void replica_lag_covered(replica_lag_t *lag, uint64_t age_ms)
{
	lag->lag_ms = MIN(lag->lag_ms, age_ms);
	lag->pause_ms = 0;
}

void replica_lag_measured(replica_lag_t *lag, uint64_t lag_ms, uint64_t now_ms)
{
	if (lag_ms <= lag->lag_ms)
		return;
	lag->lag_ms = lag_ms;
	lag->pause_ms = MAX(lag->pause_ms, PAUSE_MS);
	lag->until_ms = MAX(lag->until_ms, now_ms + lag->pause_ms);
}

uint64_t replica_lag_ms(const replica_lag_t *lag, uint64_t now_ms)
{
	return now_ms < lag->until_ms ? lag->lag_ms : 0;
}

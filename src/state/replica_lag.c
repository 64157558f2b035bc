#include "state/replica_lag.h"

#include <glib.h>

/* Minimum estimate after a missing change, however recent the change is. */
#define MISSING_LAG_MS_MIN 40

/* Maximum estimate after a missing change. */
#define MISSING_LAG_MS_MAX 10000

/* Initial and maximum time before a lagging replica is tried again. */
#define BACKOFF_MS 250
#define BACKOFF_MS_MAX 4000

void replica_lag_record_missing(replica_lag_t *lag, uint64_t age_ms,
				uint64_t now_ms)
{
	const uint64_t doubled_ms = MAX(2 * lag->lag_ms, MISSING_LAG_MS_MIN);

	lag->lag_ms = MIN(MAX(age_ms, doubled_ms), MISSING_LAG_MS_MAX);
	if (now_ms >= lag->retry_at_ms)
		lag->backoff_ms =
			CLAMP(2 * lag->backoff_ms, BACKOFF_MS, BACKOFF_MS_MAX);
	lag->retry_at_ms = now_ms + lag->backoff_ms;
}

void replica_lag_record_present(replica_lag_t *lag, uint64_t age_ms)
{
	lag->lag_ms = MIN(lag->lag_ms, age_ms);
	lag->backoff_ms = 0;
}

void replica_lag_record_received(replica_lag_t *lag, uint64_t lag_ms,
				 uint64_t now_ms)
{
	if (lag_ms <= lag->lag_ms)
		return;
	lag->lag_ms = lag_ms;
	lag->backoff_ms = MAX(lag->backoff_ms, BACKOFF_MS);
	lag->retry_at_ms = MAX(lag->retry_at_ms, now_ms + lag->backoff_ms);
}

uint64_t replica_lag_ms(const replica_lag_t *lag, uint64_t now_ms)
{
	return now_ms < lag->retry_at_ms ? lag->lag_ms : 0;
}

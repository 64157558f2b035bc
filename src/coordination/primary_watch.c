#include "coordination/primary_watch.h"

#include <glib.h>

/* Minimum consecutive failures, and refusals, of a primary that is lost. */
#define FAILURES_MIN 2
#define REFUSALS_MIN 3

/* Interval between probes of different primaries. */
#define PROBE_INTERVAL_MS 10u

/* Minimum duration of the refusals. */
#define REFUSED_MS 120

void primary_watch_record_message(primary_watch_t *watch, uint64_t heard_ms)
{
	if (heard_ms <= watch->heard_ms)
		return;
	watch->heard_ms = heard_ms;
	if (heard_ms < watch->failing_ms)
		return;
	watch->failing_ms = 0;
	watch->refused = 0;
	watch->failures = 0;
}

void primary_watch_failed(primary_watch_t *watch, bool refused, uint64_t now_ms)
{
	if (!watch->failing_ms)
		watch->failing_ms = now_ms;
	watch->failures++;
	watch->refused = refused ? watch->refused + 1 : 0;
}

uint32_t primary_watch_probe_after_ms(uint32_t services)
{
	const uint32_t bounded = MIN(
		services, PRIMARY_WATCH_PROBE_AFTER_MS_MAX / PROBE_INTERVAL_MS);

	return MAX(bounded * PROBE_INTERVAL_MS, PRIMARY_WATCH_PROBE_AFTER_MS);
}

bool primary_watch_must_probe(const primary_watch_t *watch,
			      uint32_t probe_after_ms, uint64_t now_ms)
{
	return watch->failures || now_ms >= watch->heard_ms + probe_after_ms;
}

bool primary_watch_is_lost(const primary_watch_t *watch, uint64_t now_ms)
{
	if (watch->refused >= REFUSALS_MIN &&
	    now_ms >= watch->failing_ms + REFUSED_MS)
		return true;
	return watch->failures >= FAILURES_MIN &&
	       now_ms >= watch->heard_ms + PRIMARY_WATCH_LOST_MS;
}

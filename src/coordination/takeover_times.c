#include "coordination/takeover_times.h"

#include <glib.h>

/* Durations that are assumed while none was recorded. */
#define FASTEST_MS 300u
#define SLOWEST_MS 2200u

/* A takeover that has lasted so long waits for earlier proofs to run out. */
#define CONFIRMED_MS 700u
#define PROOFS_OUT_MS 1300u

/* One that exceeds all others is expected to last this part longer. */
#define FURTHER_PART 4u

void takeover_times_add(takeover_times_t *times, uint64_t duration_ms)
{
	times->durations_ms[times->count++ % TAKEOVER_TIMES_KEPT] =
		(uint32_t)MIN(duration_ms, UINT32_MAX);
}

static uint64_t fastest_ms(const takeover_times_t *times)
{
	const uint32_t kept = MIN(times->count, TAKEOVER_TIMES_KEPT);
	uint64_t fastest = kept ? UINT32_MAX : FASTEST_MS;

	for (uint32_t i = 0; i < kept; i++)
		fastest = MIN(fastest, times->durations_ms[i]);
	return fastest;
}

static uint64_t slowest_ms(const takeover_times_t *times)
{
	const uint32_t kept = MIN(times->count, TAKEOVER_TIMES_KEPT);
	uint64_t slowest = kept ? 0 : SLOWEST_MS;

	for (uint32_t i = 0; i < kept; i++)
		slowest = MAX(slowest, times->durations_ms[i]);
	return slowest;
}

takeover_end_t takeover_times_end(const takeover_times_t *times,
				  uint64_t began_ms, uint64_t now_ms)
{
	const uint64_t elapsed_ms = now_ms - began_ms;
	uint64_t earliest_ms = fastest_ms(times);
	uint64_t latest_ms = slowest_ms(times);

	if (elapsed_ms >= MAX(CONFIRMED_MS, earliest_ms)) {
		earliest_ms = MAX(earliest_ms, PROOFS_OUT_MS);
		latest_ms = MAX(latest_ms, PROOFS_OUT_MS);
	}
	if (elapsed_ms >= latest_ms)
		latest_ms = elapsed_ms + elapsed_ms / FURTHER_PART;
	return (takeover_end_t){
		.earliest_ms = began_ms + MAX(earliest_ms, elapsed_ms),
		.latest_ms = began_ms + latest_ms,
	};
}

#include "state/lag_estimate.h"

#include <glib.h>

/* Weight of a new sample in the smoothed lag, in eighths. */
#define LAG_SAMPLE_EIGHTHS 2
/* Limit of the doubled lower bound after a timed-out read. */
#define LAG_MAX_MS 60000u

void lag_points_add(lag_points_t *points, log_point_t point, uint64_t now_ms)
{
	const uint32_t newest =
		(points->head + LAG_POINTS_COUNT - 1) % LAG_POINTS_COUNT;

	if (points->count && log_point_covers(points->points[newest], point))
		return;
	/* Of several points in one millisecond only the last one is kept. */
	if (points->count && points->seen_at_ms[newest] == now_ms) {
		points->points[newest] = point;
		return;
	}
	points->points[points->head] = point;
	points->seen_at_ms[points->head] = now_ms;
	points->head = (points->head + 1) % LAG_POINTS_COUNT;
	if (points->count < LAG_POINTS_COUNT)
		points->count++;
}

uint64_t lag_points_seen_at(const lag_points_t *points, log_point_t point,
			    uint64_t now_ms)
{
	const uint32_t first =
		(points->head + LAG_POINTS_COUNT - points->count) %
		LAG_POINTS_COUNT;

	for (uint32_t i = 0; i < points->count; i++) {
		const uint32_t at = (first + i) % LAG_POINTS_COUNT;

		if (log_point_covers(points->points[at], point))
			return points->seen_at_ms[at];
	}
	return now_ms;
}

/* Time at which the newest point covered by @p replayed arrived; 0 if none. */
static uint64_t newest_covered_at(const lag_points_t *points,
				  log_point_t replayed)
{
	for (uint32_t i = 1; i <= points->count; i++) {
		const uint32_t at = (points->head + LAG_POINTS_COUNT - i) %
				    LAG_POINTS_COUNT;

		if (log_point_covers(replayed, points->points[at]))
			return points->seen_at_ms[at];
	}
	return 0;
}

/* Lower bound of the lag: the age of the first point not yet replayed. */
static uint32_t lag_lower_bound_ms(const lag_points_t *points,
				   log_point_t replayed, uint64_t now_ms)
{
	const log_point_t next = {
		.term = replayed.term,
		.position = replayed.position + 1,
	};

	return (uint32_t)(now_ms - lag_points_seen_at(points, next, now_ms));
}

/*
 * Lowers the estimate if the replica has replayed a new point: the age of that
 * point is an upper bound of the lag.
 */
static void apply_upper_bound(lag_estimate_t *estimate,
			      const lag_points_t *points, log_point_t replayed,
			      uint64_t now_ms)
{
	const uint64_t seen_at_ms = newest_covered_at(points, replayed);
	uint64_t upper_bound_ms;

	if (!seen_at_ms || log_point_covers(estimate->replayed, replayed))
		return;
	upper_bound_ms = now_ms - seen_at_ms;
	if (upper_bound_ms < estimate->lag_ms)
		estimate->lag_ms =
			(uint32_t)((estimate->lag_ms *
					    (8 - LAG_SAMPLE_EIGHTHS) +
				    upper_bound_ms * LAG_SAMPLE_EIGHTHS) /
				   8);
}

void lag_estimate_update(lag_estimate_t *estimate, const lag_points_t *points,
			 log_point_t replayed, bool behind, uint64_t now_ms)
{
	uint32_t lower_bound_ms = lag_lower_bound_ms(points, replayed, now_ms);

	/*
	 * A read that timed out waiting shows only that the lag exceeds the
	 * wait, so the lower bound is doubled.
	 */
	if (behind)
		lower_bound_ms = MIN(lower_bound_ms * 2, LAG_MAX_MS);
	apply_upper_bound(estimate, points, replayed, now_ms);
	if (lower_bound_ms > estimate->lag_ms)
		estimate->lag_ms = lower_bound_ms;
	estimate->replayed = log_point_max(estimate->replayed, replayed);
	estimate->known = true;
}

uint32_t lag_estimate_wait_ms(const lag_estimate_t *estimate,
			      const lag_points_t *points, log_point_t wanted,
			      uint64_t now_ms)
{
	uint64_t ready_ms;

	if (!estimate->known || log_point_covers(estimate->replayed, wanted))
		return 0;
	ready_ms =
		lag_points_seen_at(points, wanted, now_ms) + estimate->lag_ms;
	return ready_ms > now_ms ? (uint32_t)(ready_ms - now_ms) : 0;
}

#include "state/lag_estimate.h"

/* Weight of a new sample in the smoothed lag, in eighths. */
#define LAG_SAMPLE_EIGHTHS 2

void lag_points_add(lag_points_t *points, log_point_t point, uint64_t now_ms)
{
	const uint32_t newest =
		(points->head + LAG_POINTS_COUNT - 1) % LAG_POINTS_COUNT;

	if (points->count && log_point_covers(points->points[newest], point))
		return;
	/* A burst within one millisecond needs only its last point. */
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

/* When the first point that the replica lacks was heard; else now. */
static uint64_t first_missing_at(const lag_points_t *points,
				 log_point_t replayed, uint64_t now_ms)
{
	const log_point_t next = {
		.term = replayed.term,
		.position = replayed.position + 1,
	};

	return lag_points_seen_at(points, next, now_ms);
}

void lag_estimate_update(lag_estimate_t *estimate, const lag_points_t *points,
			 log_point_t replayed, bool behind, uint64_t now_ms)
{
	const uint64_t since = first_missing_at(points, replayed, now_ms);
	const uint32_t sample_ms = (uint32_t)(now_ms - since);

	estimate->replayed = log_point_max(estimate->replayed, replayed);
	if (!estimate->known || (behind && sample_ms > estimate->lag_ms)) {
		estimate->lag_ms = sample_ms;
		estimate->known = true;
		return;
	}
	estimate->lag_ms = (estimate->lag_ms * (8 - LAG_SAMPLE_EIGHTHS) +
			    sample_ms * LAG_SAMPLE_EIGHTHS) /
			   8;
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

#include "state/lag_estimate.h"

#include <glib.h>

/* Weight of a new sample in the smoothed lag, in eighths. */
#define LAG_SAMPLE_EIGHTHS 2
/* Longest lag that is told apart. */
#define LAG_MAX_MS 60000u

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

/* When the newest point that @p replayed covers was heard; 0 for none. */
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

/* What the replica still lacks shows that its lag is no less. */
static uint32_t shortest_lag_ms(const lag_points_t *points,
				log_point_t replayed, uint64_t now_ms)
{
	const log_point_t next = {
		.term = replayed.term,
		.position = replayed.position + 1,
	};

	return (uint32_t)(now_ms - lag_points_seen_at(points, next, now_ms));
}

/* A point that is new at the replica shows that its lag is no more. */
static void lower(lag_estimate_t *estimate, const lag_points_t *points,
		  log_point_t replayed, uint64_t now_ms)
{
	const uint64_t seen_at_ms = newest_covered_at(points, replayed);
	uint64_t longest_ms;

	if (!seen_at_ms || log_point_covers(estimate->replayed, replayed))
		return;
	longest_ms = now_ms - seen_at_ms;
	if (longest_ms < estimate->lag_ms)
		estimate->lag_ms =
			(uint32_t)((estimate->lag_ms *
					    (8 - LAG_SAMPLE_EIGHTHS) +
				    longest_ms * LAG_SAMPLE_EIGHTHS) /
				   8);
}

void lag_estimate_update(lag_estimate_t *estimate, const lag_points_t *points,
			 log_point_t replayed, bool behind, uint64_t now_ms)
{
	uint32_t shortest_ms = shortest_lag_ms(points, replayed, now_ms);

	/* A wait in vain tells only that the lag is longer than the wait. */
	if (behind)
		shortest_ms = MIN(shortest_ms * 2, LAG_MAX_MS);
	lower(estimate, points, replayed, now_ms);
	if (shortest_ms > estimate->lag_ms)
		estimate->lag_ms = shortest_ms;
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

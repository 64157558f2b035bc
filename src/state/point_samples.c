#include "state/point_samples.h"

static uint32_t ring_index(const point_samples_t *samples, uint32_t index)
{
	return (samples->first + index) % POINT_SAMPLES_MAX;
}

void point_samples_add(point_samples_t *samples, uint64_t sent_ms,
		       log_point_t point)
{
	uint32_t last;

	if (samples->count) {
		last = ring_index(samples, samples->count - 1);
		if (sent_ms < samples->entries[last].sent_ms)
			return;
		if (log_point_compare(point, samples->entries[last].point) < 0)
			return;
	}
	/* Replaces the newest sample while it is close to the one before. */
	if (samples->count > 1) {
		const uint32_t before = ring_index(samples, samples->count - 2);

		if (sent_ms - samples->entries[before].sent_ms <
		    POINT_SAMPLES_GAP_MS)
			samples->count--;
	}
	if (samples->count == POINT_SAMPLES_MAX) {
		samples->first = ring_index(samples, 1);
		samples->count--;
	}
	last = ring_index(samples, samples->count++);
	samples->entries[last].sent_ms = sent_ms;
	samples->entries[last].point = point;
}

bool point_samples_since(const point_samples_t *samples, uint64_t since_ms,
			 log_point_t *point)
{
	for (uint32_t i = 0; i < samples->count; i++) {
		const uint32_t at = ring_index(samples, i);

		if (samples->entries[at].sent_ms < since_ms)
			continue;
		*point = samples->entries[at].point;
		return true;
	}
	return false;
}

log_point_t point_samples_newest(const point_samples_t *samples)
{
	if (!samples->count)
		return (log_point_t){0};
	return samples->entries[ring_index(samples, samples->count - 1)].point;
}

bool point_samples_last(const point_samples_t *samples, uint64_t *sent_ms,
			log_point_t *point)
{
	uint32_t last;

	if (!samples->count)
		return false;
	last = ring_index(samples, samples->count - 1);
	*sent_ms = samples->entries[last].sent_ms;
	*point = samples->entries[last].point;
	return true;
}

uint64_t point_samples_age_ms(const point_samples_t *samples, log_point_t point,
			      uint64_t now_ms)
{
	for (uint32_t i = samples->count; i > 0; i--) {
		const uint32_t at = ring_index(samples, i - 1);

		if (log_point_covers(point, samples->entries[at].point))
			return i == samples->count ?
				       0 :
				       now_ms - samples->entries[at].sent_ms;
	}
	return samples->count ?
		       now_ms - samples->entries[samples->first].sent_ms :
		       0;
}

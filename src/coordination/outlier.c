#include "coordination/outlier.h"

#include <math.h>

/* Time constant of the exponential decay of the counts. */
#define DECAY_MS 2500.0

/* Minimum decayed number of answers before a server can be an outlier. */
#define ANSWERS_MIN 3.0

/* Failed fraction at which a server becomes an outlier, and ceases to be. */
#define FAILED_HIGH 0.3
#define FAILED_LOW 0.15

/* Interval between two statements that probe an outlier. */
#define PROBE_MS 400

static double decay_factor(const outlier_t *outlier, uint64_t now_ms)
{
	return exp(-(double)(now_ms - outlier->at_ms) / DECAY_MS);
}

void outlier_answered(outlier_t *outlier, bool failed, uint64_t now_ms)
{
	const double weight = decay_factor(outlier, now_ms);

	outlier->answers = outlier->answers * weight + 1;
	outlier->failures = outlier->failures * weight + (failed ? 1 : 0);
	outlier->at_ms = now_ms;
	if (outlier->failures < FAILED_LOW * outlier->answers)
		outlier->since_ms = 0;
	else if (!outlier->since_ms && outlier->answers >= ANSWERS_MIN &&
		 outlier->failures >= FAILED_HIGH * outlier->answers)
		outlier->since_ms = now_ms;
}

/* The counts expire two time constants after the latest answer. */
uint64_t outlier_since_ms(const outlier_t *outlier, uint64_t now_ms)
{
	return now_ms < outlier->at_ms + 2 * (uint64_t)DECAY_MS ?
		       outlier->since_ms :
		       0;
}

bool outlier_may_run(const outlier_t *outlier, uint64_t now_ms)
{
	return !outlier_since_ms(outlier, now_ms) ||
	       now_ms >= outlier->probed_ms + PROBE_MS;
}

void outlier_record_sent(outlier_t *outlier, uint64_t now_ms)
{
	outlier->probed_ms = now_ms;
}

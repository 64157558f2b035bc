#include "coordination/outlier.h"

#include <math.h>

/* Answers lose weight over this time. */
#define MEMORY_MS 2500.0

/* Answers from which on a part of them is judged. */
#define ANSWERS_MIN 3.0

/* Failed part from which on it is an outlier, and below which no more. */
#define FAILED_HIGH 0.3
#define FAILED_LOW 0.15

/* Pause between two statements for an outlier. */
#define PROBE_MS 400

static double faded(const outlier_t *outlier, uint64_t now_ms)
{
	return exp(-(double)(now_ms - outlier->at_ms) / MEMORY_MS);
}

void outlier_answered(outlier_t *outlier, bool failed, uint64_t now_ms)
{
	const double weight = faded(outlier, now_ms);

	outlier->answers = outlier->answers * weight + 1;
	outlier->failures = outlier->failures * weight + (failed ? 1 : 0);
	outlier->at_ms = now_ms;
	if (outlier->failures < FAILED_LOW * outlier->answers)
		outlier->since_ms = 0;
	else if (!outlier->since_ms && outlier->answers >= ANSWERS_MIN &&
		 outlier->failures >= FAILED_HIGH * outlier->answers)
		outlier->since_ms = now_ms;
}

/* Without answers for long nothing is known any more. */
uint64_t outlier_since_ms(const outlier_t *outlier, uint64_t now_ms)
{
	return now_ms < outlier->at_ms + 2 * (uint64_t)MEMORY_MS ?
		       outlier->since_ms :
		       0;
}

bool outlier_may_run(const outlier_t *outlier, uint64_t now_ms)
{
	return !outlier_since_ms(outlier, now_ms) ||
	       now_ms >= outlier->probed_ms + PROBE_MS;
}

void outlier_runs(outlier_t *outlier, uint64_t now_ms)
{
	outlier->probed_ms = now_ms;
}

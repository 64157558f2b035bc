#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdint.h>

/** All metrics of one process. */
typedef struct metrics metrics_t;

/** One series of a counter or gauge; owned by its metrics_t. */
typedef struct metric metric_t;

/** One series of a histogram; owned by its metrics_t. */
typedef struct metric_histogram metric_histogram_t;

/**
 * Creates an empty set of metrics.
 *
 * @param series_limit maximum number of series per name; all further label
 *        sets share the series labelled overflow="true"
 */
metrics_t *metrics_create(uint32_t series_limit);

/** Frees the metrics with all their series; NULL is allowed. */
void metrics_destroy(metrics_t *metrics);

/**
 * Formats label pairs and escapes their values.
 *
 * @param name name of the first label, followed by its value, further names and
 *        values, and NULL
 * @return label pairs for the functions below; free with g_free()
 */
char *metrics_labels(const char *name, ...) __attribute__((sentinel));

/**
 * Finds or creates a counter.
 *
 * @param name   toucanhook_..._total
 * @param labels Prometheus label pairs as in tenant="a",class="b", or ""
 */
metric_t *metrics_counter(metrics_t *metrics, const char *name,
			  const char *labels);

/** Finds or creates a gauge; arguments as for metrics_counter(). */
metric_t *metrics_gauge(metrics_t *metrics, const char *name,
			const char *labels);

/** Finds or creates a histogram of microseconds, see metrics_counter(). */
metric_histogram_t *metrics_histogram(metrics_t *metrics, const char *name,
				      const char *labels);

void metric_add(metric_t *metric, uint64_t amount);
void metric_set(metric_t *metric, int64_t value);
int64_t metric_value(const metric_t *metric);
void metric_histogram_record(metric_histogram_t *histogram, uint64_t value_us);

/**
 * @param quantile 0 to 1
 * @return upper bound of the bucket that holds the quantile, in microseconds
 */
uint64_t metric_histogram_quantile(const metric_histogram_t *histogram,
				   double quantile);

/** @return all series in the Prometheus text format; free with g_free(). */
char *metrics_render(const metrics_t *metrics);

#endif

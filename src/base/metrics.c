#include "base/metrics.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

/* Each power of two is split into this many buckets of equal width. */
#define BUCKETS_PER_OCTAVE_LOG2 4
#define BUCKETS_PER_OCTAVE (1u << BUCKETS_PER_OCTAVE_LOG2)
/* Larger values are counted as 2^36 microseconds (19 hours). */
#define VALUE_LOG2_MAX 36
#define BUCKETS_COUNT \
	((VALUE_LOG2_MAX - BUCKETS_PER_OCTAVE_LOG2 + 1) * BUCKETS_PER_OCTAVE)

/* Range of the powers of two that are rendered as Prometheus buckets. */
#define RENDERED_LOG2_MIN 6
#define RENDERED_LOG2_MAX 26

#define OVERFLOW_LABELS "overflow=\"true\""

typedef enum {
	KIND_COUNTER,
	KIND_GAUGE,
	KIND_HISTOGRAM,
} metric_kind_t;

struct metric {
	int64_t value;
};

struct metric_histogram {
	uint64_t count;
	uint64_t sum_us;
	uint64_t buckets[BUCKETS_COUNT];
};

/* All series of one name. */
typedef struct {
	metric_kind_t kind;
	GHashTable *series; /* labels -> metric_t * or metric_histogram_t * */
} metric_family_t;

struct metrics {
	uint32_t series_limit;
	GHashTable *families; /* name -> metric_family_t * */
};

static void family_delete(void *data)
{
	metric_family_t *family = data;

	g_hash_table_destroy(family->series);
	g_free(family);
}

metrics_t *metrics_create(uint32_t series_limit)
{
	metrics_t *metrics = g_new0(metrics_t, 1);

	metrics->series_limit = series_limit;
	metrics->families = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, family_delete);
	return metrics;
}

void metrics_destroy(metrics_t *metrics)
{
	if (!metrics)
		return;
	g_hash_table_destroy(metrics->families);
	g_free(metrics);
}

static void append_escaped(GString *text, const char *value)
{
	for (; *value; value++) {
		if (*value == '\n') {
			g_string_append(text, "\\n");
			continue;
		}
		if (*value == '\\' || *value == '"')
			g_string_append_c(text, '\\');
		g_string_append_c(text, *value);
	}
}

char *metrics_labels(const char *name, ...)
{
	GString *text = g_string_new(NULL);
	va_list arguments;

	va_start(arguments, name);
	while (name) {
		g_string_append_printf(text, "%s%s=\"", text->len ? "," : "",
				       name);
		append_escaped(text, va_arg(arguments, const char *));
		g_string_append_c(text, '"');
		name = va_arg(arguments, const char *);
	}
	va_end(arguments);
	return g_string_free(text, FALSE);
}

static metric_family_t *family_find(metrics_t *metrics, const char *name,
				    metric_kind_t kind)
{
	metric_family_t *family = g_hash_table_lookup(metrics->families, name);

	if (family) {
		g_assert(family->kind == kind);
		return family;
	}
	family = g_new0(metric_family_t, 1);
	family->kind = kind;
	family->series =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(metrics->families, g_strdup(name), family);
	return family;
}

static void *series_find(metrics_t *metrics, const char *name,
			 const char *labels, metric_kind_t kind)
{
	metric_family_t *family = family_find(metrics, name, kind);
	void *series = g_hash_table_lookup(family->series, labels);

	if (series)
		return series;
	if (g_hash_table_size(family->series) >= metrics->series_limit) {
		labels = OVERFLOW_LABELS;
		series = g_hash_table_lookup(family->series, labels);
		if (series)
			return series;
	}
	series = g_malloc0(kind == KIND_HISTOGRAM ? sizeof(metric_histogram_t) :
						    sizeof(metric_t));
	g_hash_table_insert(family->series, g_strdup(labels), series);
	return series;
}

metric_t *metrics_counter(metrics_t *metrics, const char *name,
			  const char *labels)
{
	return series_find(metrics, name, labels, KIND_COUNTER);
}

metric_t *metrics_gauge(metrics_t *metrics, const char *name,
			const char *labels)
{
	return series_find(metrics, name, labels, KIND_GAUGE);
}

metric_histogram_t *metrics_histogram(metrics_t *metrics, const char *name,
				      const char *labels)
{
	return series_find(metrics, name, labels, KIND_HISTOGRAM);
}

void metric_add(metric_t *metric, uint64_t amount)
{
	metric->value += (int64_t)amount;
}

void metric_set(metric_t *metric, int64_t value)
{
	metric->value = value;
}

int64_t metric_value(const metric_t *metric)
{
	return metric->value;
}

/* Bucket i holds the values above its lower and up to its upper bound. */
static uint32_t bucket_index(uint64_t value_us)
{
	const uint64_t offset = value_us ? value_us - 1 : 0;
	uint32_t octave;

	if (offset < BUCKETS_PER_OCTAVE)
		return (uint32_t)offset;
	if (offset >> VALUE_LOG2_MAX)
		return BUCKETS_COUNT - 1;
	octave = 63 - (uint32_t)__builtin_clzll(offset) -
		 BUCKETS_PER_OCTAVE_LOG2;
	return octave * BUCKETS_PER_OCTAVE + (uint32_t)(offset >> octave);
}

static uint64_t bucket_upper_us(uint32_t index)
{
	uint32_t octave;
	uint64_t within;

	if (index < 2 * BUCKETS_PER_OCTAVE)
		return index + 1;
	octave = index / BUCKETS_PER_OCTAVE - 1;
	within = index % BUCKETS_PER_OCTAVE + BUCKETS_PER_OCTAVE;
	return (within + 1) << octave;
}

void metric_histogram_record(metric_histogram_t *histogram, uint64_t value_us)
{
	histogram->count++;
	histogram->sum_us += value_us;
	histogram->buckets[bucket_index(value_us)]++;
}

uint64_t metric_histogram_quantile(const metric_histogram_t *histogram,
				   double quantile)
{
	const double wanted = quantile * (double)histogram->count;
	uint64_t seen = 0;

	if (!histogram->count)
		return 0;
	for (uint32_t i = 0; i < BUCKETS_COUNT; i++) {
		seen += histogram->buckets[i];
		if (seen && (double)seen >= wanted)
			return bucket_upper_us(i);
	}
	return bucket_upper_us(BUCKETS_COUNT - 1);
}

static void render_histogram(GString *text, const char *name,
			     const char *labels,
			     const metric_histogram_t *histogram)
{
	const char *comma = *labels ? "," : "";
	uint64_t below = 0;
	uint32_t next = 0;

	for (uint32_t log2 = RENDERED_LOG2_MIN; log2 <= RENDERED_LOG2_MAX;
	     log2++) {
		const uint64_t bound_us = UINT64_C(1) << log2;

		for (; next <= bucket_index(bound_us); next++)
			below += histogram->buckets[next];
		g_string_append_printf(
			text, "%s_bucket{%s%sle=\"%" PRIu64 "\"} %" PRIu64 "\n",
			name, labels, comma, bound_us, below);
	}
	g_string_append_printf(text, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
			       name, labels, comma, histogram->count);
	g_string_append_printf(text, "%s_sum{%s} %" PRIu64 "\n", name, labels,
			       histogram->sum_us);
	g_string_append_printf(text, "%s_count{%s} %" PRIu64 "\n", name, labels,
			       histogram->count);
}

static void render_family(GString *text, const char *name,
			  const metric_family_t *family)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	GList *labels = g_list_sort(g_hash_table_get_keys(family->series),
				    (GCompareFunc)strcmp);

	g_string_append_printf(text, "# TYPE %s %s\n", name,
			       kinds[family->kind]);
	for (GList *l = labels; l; l = l->next) {
		const void *series =
			g_hash_table_lookup(family->series, l->data);

		if (family->kind == KIND_HISTOGRAM)
			render_histogram(text, name, l->data, series);
		else
			g_string_append_printf(
				text, "%s{%s} %" PRId64 "\n", name,
				(const char *)l->data,
				((const metric_t *)series)->value);
	}
	g_list_free(labels);
}

char *metrics_render(const metrics_t *metrics)
{
	GString *text = g_string_new(NULL);
	GList *names = g_list_sort(g_hash_table_get_keys(metrics->families),
				   (GCompareFunc)strcmp);

	for (GList *n = names; n; n = n->next)
		render_family(text, n->data,
			      g_hash_table_lookup(metrics->families, n->data));
	g_list_free(names);
	return g_string_free(text, FALSE);
}

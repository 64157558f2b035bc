#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "base/log_limit.h"
#include "base/metrics.h"

static void test_renders_escaped_series(void **state)
{
	metrics_t *metrics = metrics_create(8);
	g_autofree char *labels =
		metrics_labels("tenant", "a\"b\\c\nd", "class", "x", NULL);
	g_autofree char *text = NULL;

	metric_add(metrics_counter(metrics, "toucanhook_a_total", labels), 3);
	metric_add(metrics_counter(metrics, "toucanhook_a_total", labels), 4);
	metric_set(metrics_gauge(metrics, "toucanhook_b", ""), -2);
	text = metrics_render(metrics);
	assert_string_equal(text, "# TYPE toucanhook_a_total counter\n"
				  "toucanhook_a_total{tenant=\"a\\\"b\\\\c\\nd"
				  "\",class=\"x\"} 7\n"
				  "# TYPE toucanhook_b gauge\n"
				  "toucanhook_b{} -2\n");
	metrics_destroy(metrics);
}

static void test_series_are_bounded(void **state)
{
	metrics_t *metrics = metrics_create(2);
	metric_t *third;

	metrics_counter(metrics, "toucanhook_a_total", "n=\"1\"");
	metrics_counter(metrics, "toucanhook_a_total", "n=\"2\"");
	third = metrics_counter(metrics, "toucanhook_a_total", "n=\"3\"");
	assert_ptr_equal(third, metrics_counter(metrics, "toucanhook_a_total",
						"n=\"4\""));
	assert_ptr_equal(third, metrics_counter(metrics, "toucanhook_a_total",
						"overflow=\"true\""));
	metrics_destroy(metrics);
}

static void test_quantiles_are_within_bucket_precision(void **state)
{
	metrics_t *metrics = metrics_create(2);
	metric_histogram_t *histogram =
		metrics_histogram(metrics, "toucanhook_c_us", "");

	for (uint64_t value = 1; value <= 100000; value++)
		metric_histogram_record(histogram, value);
	for (uint32_t percent = 1; percent < 100; percent++) {
		const double exact = percent * 1000.0;
		const double found = (double)metric_histogram_quantile(
			histogram, percent / 100.0);

		assert_true(found >= exact - 1 && found <= exact * 1.0626 + 1);
	}
	metric_histogram_record(histogram, UINT64_MAX);
	assert_true(metric_histogram_quantile(histogram, 1) >= UINT64_C(1)
								       << 36);
	metrics_destroy(metrics);
}

static void test_histogram_buckets_add_up(void **state)
{
	metrics_t *metrics = metrics_create(2);
	metric_histogram_t *histogram =
		metrics_histogram(metrics, "toucanhook_c_us", "a=\"b\"");
	g_autofree char *text = NULL;

	metric_histogram_record(histogram, 64);
	metric_histogram_record(histogram, 65);
	metric_histogram_record(histogram, 128);
	text = metrics_render(metrics);
	assert_non_null(strstr(text, "_bucket{a=\"b\",le=\"64\"} 1\n"));
	assert_non_null(strstr(text, "_bucket{a=\"b\",le=\"128\"} 3\n"));
	assert_non_null(strstr(text, "_bucket{a=\"b\",le=\"+Inf\"} 3\n"));
	assert_non_null(strstr(text, "_sum{a=\"b\"} 257\n"));
	metrics_destroy(metrics);
}

static void test_repeating_event_is_limited(void **state)
{
	log_limit_t *limit = log_limit_create();
	uint32_t left_out = 0;
	uint32_t written = 0;

	for (uint32_t i = 0; i < LOG_LIMIT_LINES + 5; i++)
		written += log_limit_admit(limit, "a", 1000, &left_out);
	assert_int_equal(written, LOG_LIMIT_LINES);
	assert_true(log_limit_admit(limit, "b", 1000, &left_out));
	assert_int_equal(left_out, 0);
	assert_true(log_limit_admit(limit, "a", 1000 + LOG_LIMIT_WINDOW_MS,
				    &left_out));
	assert_int_equal(left_out, 5);
	log_limit_destroy(limit);
}

static void test_further_events_share_a_limit(void **state)
{
	log_limit_t *limit = log_limit_create();
	uint32_t left_out = 0;
	uint32_t written = 0;

	for (uint32_t i = 0; i < LOG_LIMIT_EVENTS + 2 * LOG_LIMIT_LINES; i++) {
		g_autofree char *event = g_strdup_printf("event_%u", i);

		written += log_limit_admit(limit, event, 1000, &left_out);
	}
	assert_int_equal(written, LOG_LIMIT_EVENTS + LOG_LIMIT_LINES);
	log_limit_destroy(limit);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_renders_escaped_series),
		cmocka_unit_test(test_series_are_bounded),
		cmocka_unit_test(test_quantiles_are_within_bucket_precision),
		cmocka_unit_test(test_histogram_buckets_add_up),
		cmocka_unit_test(test_repeating_event_is_limited),
		cmocka_unit_test(test_further_events_share_a_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

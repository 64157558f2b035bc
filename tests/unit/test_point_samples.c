#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/point_samples.h"

static log_point_t point_at(uint64_t term, uint64_t position)
{
	return (log_point_t){term, position};
}

static void test_lowest_point_that_is_recent_enough(void **state)
{
	point_samples_t samples = {0};
	log_point_t point;

	assert_false(point_samples_since(&samples, 0, &point));
	point_samples_add(&samples, 1000, point_at(1, 5));
	point_samples_add(&samples, 1200, point_at(1, 8));
	point_samples_add(&samples, 1400, point_at(1, 9));
	assert_true(point_samples_since(&samples, 1100, &point));
	assert_int_equal(point.position, 8);
	assert_true(point_samples_since(&samples, 1000, &point));
	assert_int_equal(point.position, 5);
	assert_false(point_samples_since(&samples, 1401, &point));
}

static void test_out_of_order_answers_are_dropped(void **state)
{
	point_samples_t samples = {0};
	log_point_t point;

	point_samples_add(&samples, 1200, point_at(1, 8));
	point_samples_add(&samples, 1100, point_at(1, 9));
	point_samples_add(&samples, 1300, point_at(1, 7));
	assert_int_equal(samples.count, 1);
	assert_true(point_samples_since(&samples, 1100, &point));
	assert_int_equal(point.position, 8);
}

/*
 * Many answers per second must not evict the samples that are needed for reads
 * with a maximum age of some seconds.
 */
static void test_ring_spans_seconds_under_load(void **state)
{
	point_samples_t samples = {0};
	log_point_t point;

	for (uint64_t i = 0; i < 5000; i++)
		point_samples_add(&samples, 1000 + i, point_at(1, i));
	assert_true(point_samples_since(&samples, 5999 - 2500, &point));
	assert_in_range(point.position, 2499, 2499 + 2 * POINT_SAMPLES_GAP_MS);
}

static void test_age_of_a_replicas_point(void **state)
{
	point_samples_t samples = {0};

	point_samples_add(&samples, 1000, point_at(1, 5));
	point_samples_add(&samples, 1200, point_at(1, 8));
	point_samples_add(&samples, 1400, point_at(1, 9));
	assert_int_equal(point_samples_age_ms(&samples, point_at(1, 9), 1500),
			 0);
	assert_int_equal(point_samples_age_ms(&samples, point_at(1, 8), 1500),
			 300);
	assert_int_equal(point_samples_age_ms(&samples, point_at(1, 3), 1500),
			 500);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lowest_point_that_is_recent_enough),
		cmocka_unit_test(test_out_of_order_answers_are_dropped),
		cmocka_unit_test(test_ring_spans_seconds_under_load),
		cmocka_unit_test(test_age_of_a_replicas_point),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

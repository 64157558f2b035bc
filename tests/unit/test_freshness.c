#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/freshness.h"

static int set_up(void **state)
{
	*state = freshness_create();
	return 0;
}

static int tear_down(void **state)
{
	freshness_destroy(*state);
	return 0;
}

static log_point_t point_at(uint64_t term, uint64_t position)
{
	return (log_point_t){term, position};
}

static void test_age_counts_from_the_barrier(void **state)
{
	freshness_t *freshness = *state;

	freshness_add_barrier(freshness, 1000, point_at(1, 5));
	assert_false(freshness_is_within(freshness, 0, 1000, 60000));
	freshness_set_replayed(freshness, 0, point_at(1, 5));
	assert_true(freshness_is_within(freshness, 0, 1500, 500));
	assert_false(freshness_is_within(freshness, 0, 1501, 500));
	assert_false(freshness_is_within(freshness, 1, 1000, 60000));
}

static void test_lagging_replica_is_as_fresh_as_its_replayed_point(void **state)
{
	freshness_t *freshness = *state;

	freshness_add_barrier(freshness, 1000, point_at(1, 5));
	freshness_add_barrier(freshness, 2000, point_at(1, 9));
	freshness_set_replayed(freshness, 0, point_at(1, 8));
	assert_true(freshness_is_within(freshness, 0, 2000, 1000));
	assert_false(freshness_is_within(freshness, 0, 2000, 999));
}

static void test_idle_primary_keeps_replicas_fresh(void **state)
{
	freshness_t *freshness = *state;

	freshness_set_replayed(freshness, 0, point_at(1, 5));
	for (uint64_t now_ms = 1000; now_ms < 100000; now_ms += 100)
		freshness_add_barrier(freshness, now_ms, point_at(1, 5));
	assert_true(freshness_is_within(freshness, 0, 100000, 100));
}

static void test_log_of_a_replaced_primary_proves_nothing(void **state)
{
	freshness_t *freshness = *state;

	freshness_set_replayed(freshness, 0, point_at(1, 900));
	freshness_add_barrier(freshness, 1000, point_at(2, 10));
	assert_false(freshness_is_within(freshness, 0, 1000, 60000));
}

#define FRESHNESS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FRESHNESS_TEST(test_age_counts_from_the_barrier),
		FRESHNESS_TEST(
			test_lagging_replica_is_as_fresh_as_its_replayed_point),
		FRESHNESS_TEST(test_idle_primary_keeps_replicas_fresh),
		FRESHNESS_TEST(test_log_of_a_replaced_primary_proves_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/replica_lag.h"

static void test_unknown_lag_is_zero(void **state)
{
	const replica_lag_t lag = {0};

	assert_int_equal(replica_lag_ms(&lag, 1000), 0);
}

static void test_lag_is_at_least_the_age_of_a_missing_change(void **state)
{
	replica_lag_t lag = {0};

	replica_lag_record_missing(&lag, 700, 1000);
	assert_int_equal(replica_lag_ms(&lag, 1001), 700);
}

static void test_lag_doubles_while_recent_changes_are_missing(void **state)
{
	replica_lag_t lag = {0};

	for (uint64_t i = 0; i < 6; i++)
		replica_lag_record_missing(&lag, 1, 1000 + i);
	assert_in_range(replica_lag_ms(&lag, 1006), 1000, 10000);
}

static void test_present_change_bounds_the_lag(void **state)
{
	replica_lag_t lag = {0};

	replica_lag_record_missing(&lag, 700, 1000);
	replica_lag_record_present(&lag, 90);
	assert_int_equal(replica_lag_ms(&lag, 1001), 90);
}

/*
 * Without a backoff, a replica that lags for 10 s would fail each of the 20
 * reads per second.
 */
static void test_lagging_replica_is_rarely_tried(void **state)
{
	replica_lag_t lag = {0};
	uint32_t tries = 0;

	for (uint64_t now_ms = 1000; now_ms < 11000; now_ms += 50) {
		if (replica_lag_ms(&lag, now_ms) > 50)
			continue;
		tries++;
		replica_lag_record_missing(&lag, 20, now_ms);
	}
	assert_in_range(tries, 4, 12);
}

/*
 * Like the test before, but every 500 ms the replica reports the log that it
 * has received. It has applied less, so the report must not end the backoff.
 */
static void test_received_log_does_not_hide_the_lag(void **state)
{
	replica_lag_t lag = {0};
	uint32_t tries = 0;

	for (uint64_t now_ms = 1000; now_ms < 11000; now_ms += 50) {
		if (now_ms % 500 == 0)
			replica_lag_record_received(&lag, 10, now_ms);
		if (replica_lag_ms(&lag, now_ms) > 50)
			continue;
		tries++;
		replica_lag_record_missing(&lag, 20, now_ms);
	}
	assert_in_range(tries, 4, 12);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unknown_lag_is_zero),
		cmocka_unit_test(
			test_lag_is_at_least_the_age_of_a_missing_change),
		cmocka_unit_test(
			test_lag_doubles_while_recent_changes_are_missing),
		cmocka_unit_test(test_present_change_bounds_the_lag),
		cmocka_unit_test(test_lagging_replica_is_rarely_tried),
		cmocka_unit_test(test_received_log_does_not_hide_the_lag),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

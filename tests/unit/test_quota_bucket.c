#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/quota_bucket.h"

#define DOMAINS 6u
#define START_MS 1000000u

static const quota_share_t first = {.domains = DOMAINS};
static const quota_limit_t usual = {.rate_per_s = 60, .burst = 30};

static uint32_t admit(quota_buckets_t *buckets, quota_limit_t limit,
		      uint32_t count, uint64_t now_ms)
{
	return quota_buckets_admit(buckets, "a", limit, count, now_ms).granted;
}

/* A restarted leader must not admit what its earlier run has admitted. */
static void test_buckets_are_empty_at_start(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);
	const quota_admission_t admission =
		quota_buckets_admit(buckets, "a", usual, 5, START_MS);

	assert_int_equal(admission.granted, 0);
	/* 67.102 per second, by six domains */
	assert_int_equal(admission.retry_after_ms, 90);
	assert_int_equal(admit(buckets, usual, 5, START_MS + 89), 0);
	assert_int_equal(admit(buckets, usual, 5, START_MS + 90), 1);
	quota_buckets_destroy(buckets);
}

/* A customer that is rarely used must find tokens at its first operation. */
static void test_unused_bucket_has_filled_since_start(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);

	/* (burst + 6) / 6 */
	assert_int_equal(admit(buckets, usual, 100, START_MS + 60000), 6);
	quota_buckets_destroy(buckets);
}

/*
 * After a loss of power a small customer must not wait until all leaders have a
 * token at the same time, nor get more than from one empty bucket.
 */
static void test_leaders_gain_tokens_one_after_the_other(void **state)
{
	const quota_limit_t limit = {.rate_per_s = 2, .burst = 2};
	quota_buckets_t *leaders[DOMAINS];
	uint32_t granted = 0;

	for (uint32_t i = 0; i < DOMAINS; i++)
		leaders[i] = quota_buckets_create((quota_share_t){DOMAINS, i},
						  10, START_MS);
	for (uint32_t now_ms = 0; now_ms <= 6000; now_ms += 100) {
		for (uint32_t i = 0; i < DOMAINS; i++)
			granted +=
				admit(leaders[i], limit, 1, START_MS + now_ms);
		/* (0.97 x 33.2 - 8) / 5 per second */
		assert_int_equal(granted, now_ms * 48408 / 10000000);
	}
	for (uint32_t i = 0; i < DOMAINS; i++)
		quota_buckets_destroy(leaders[i]);
}

static void test_small_quota_has_whole_token(void **state)
{
	quota_buckets_t *buckets =
		quota_buckets_create((quota_share_t){32, 0}, 10, START_MS);
	const quota_limit_t limit = {.rate_per_s = 1, .burst = 0};

	assert_int_equal(admit(buckets, limit, 5, START_MS + 60000), 1);
	quota_buckets_destroy(buckets);
}

/* @return what all leaders admit in 5 s to callers that take all they can */
static uint32_t admit_window(quota_limit_t limit)
{
	quota_buckets_t *leaders[DOMAINS];
	uint32_t granted = 0;

	for (uint32_t i = 0; i < DOMAINS; i++) {
		leaders[i] = quota_buckets_create((quota_share_t){DOMAINS, i},
						  10, START_MS);
		for (uint32_t ms = 0; ms < 5000; ms++)
			granted += admit(leaders[i], limit, UINT32_MAX,
					 START_MS + 3600000 + ms);
		quota_buckets_destroy(leaders[i]);
	}
	return granted;
}

/*
 * What the limit of a window allows must be used, but for a part of a token in
 * each bucket, and never exceeded.
 */
static void test_full_window_uses_what_is_allowed(void **state)
{
	assert_in_range(admit_window((quota_limit_t){1, 0}), 21, 24);
	assert_in_range(admit_window((quota_limit_t){2, 2}), 27, 32);
	assert_in_range(admit_window(usual), 366, 371);
	assert_in_range(admit_window((quota_limit_t){400, 200}), 2360, 2367);
}

/* The allowance for a large burst must not become a multiple of the rate. */
static void test_large_burst_does_not_raise_the_rate(void **state)
{
	const quota_limit_t limit = {.rate_per_s = 10, .burst = 1000};

	/* 1006 at once, then 1.1 x 10 + 4 per second */
	assert_in_range(admit_window(limit), 1072, 1081);
}

/* @return the time stated at last, after some seconds of operations */
static uint32_t expect(uint32_t interval_ms)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);
	quota_admission_t admission = {0};

	for (uint32_t ms = 0; ms < 5000; ms += interval_ms)
		do
			admission = quota_buckets_admit(buckets, "a", usual, 1,
							START_MS + ms);
		while (admission.granted && !admission.retry_after_ms);
	quota_buckets_destroy(buckets);
	return admission.expected_ms;
}

/*
 * Callers have two retries. Told the time of the next token, at most 90 ms, all
 * that were refused competed for it.
 */
static void test_refused_operations_are_expected_to_compete(void **state)
{
	/* 11.18 tokens per second for 12.5, 16.7 and 100 operations */
	assert_in_range(expect(80), 60, 300);
	assert_in_range(expect(60), 400, 700);
	assert_int_equal(expect(10), QUOTA_EXPECTED_MS_MAX);
}

static void test_rate_zero_admits_nothing(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);
	const quota_limit_t limit = {.rate_per_s = 0, .burst = 1000};

	assert_int_equal(admit(buckets, limit, 5, START_MS + 3600000), 0);
	quota_buckets_destroy(buckets);
}

/* Largest accepted limits over a year must not overflow. */
static void test_extreme_limits_do_not_overflow(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);
	const quota_limit_t limit = {1000000000, 1000000000};
	const uint64_t year_ms = 365ull * 24 * 3600 * 1000;

	assert_int_equal(admit(buckets, limit, UINT32_MAX, START_MS + year_ms),
			 166666667);
	assert_int_equal(admit(buckets, limit, 1, START_MS + year_ms), 0);
	quota_buckets_destroy(buckets);
}

static void test_lower_limit_takes_effect(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);
	const quota_limit_t lower = {.rate_per_s = 6, .burst = 0};

	assert_int_equal(admit(buckets, usual, 0, START_MS + 60000), 0);
	assert_int_equal(admit(buckets, lower, 100, START_MS + 60000), 1);
	assert_int_equal(admit(buckets, lower, 100, START_MS + 60600), 0);
	assert_int_equal(admit(buckets, lower, 100, START_MS + 61000), 1);
	quota_buckets_destroy(buckets);
}

/* The time before a limit was raised must not count at the new rate. */
static void test_higher_limit_counts_from_now(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);
	const quota_limit_t lower = {.rate_per_s = 6, .burst = 0};

	assert_int_equal(admit(buckets, lower, 100, START_MS + 60000), 1);
	assert_int_equal(admit(buckets, usual, 100, START_MS + 61000), 1);
	assert_int_equal(admit(buckets, usual, 100, START_MS + 62000), 6);
	quota_buckets_destroy(buckets);
}

/* Buckets are bounded, and dropping one must not refill it. */
static void test_full_buckets_are_dropped_and_used_ones_kept(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 2, START_MS);
	const quota_limit_t slow = {.rate_per_s = 1, .burst = 100};
	const uint64_t hour_ms = START_MS + 3600000;

	assert_int_equal(
		quota_buckets_admit(buckets, "slow", slow, 18, hour_ms).granted,
		17);
	assert_int_equal(admit(buckets, usual, 6, hour_ms), 6);
	assert_int_equal(
		quota_buckets_admit(buckets, "c", usual, 1, hour_ms).granted,
		0);
	assert_int_equal(quota_buckets_count(buckets), 2);
	assert_int_equal(
		quota_buckets_admit(buckets, "c", usual, 1, hour_ms + 11000)
			.granted,
		1);
	assert_int_equal(
		quota_buckets_admit(buckets, "slow", slow, 18, hour_ms + 12000)
			.granted,
		10);
	quota_buckets_destroy(buckets);
}

/* The clock of another core may seem to go back by a millisecond. */
static void test_earlier_time_adds_nothing(void **state)
{
	quota_buckets_t *buckets = quota_buckets_create(first, 10, START_MS);

	assert_int_equal(admit(buckets, usual, 10, START_MS + 1000), 6);
	assert_int_equal(admit(buckets, usual, 10, START_MS + 900), 0);
	assert_int_equal(admit(buckets, usual, 10, START_MS + 1000), 0);
	quota_buckets_destroy(buckets);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_buckets_are_empty_at_start),
		cmocka_unit_test(test_unused_bucket_has_filled_since_start),
		cmocka_unit_test(test_leaders_gain_tokens_one_after_the_other),
		cmocka_unit_test(test_small_quota_has_whole_token),
		cmocka_unit_test(test_full_window_uses_what_is_allowed),
		cmocka_unit_test(test_large_burst_does_not_raise_the_rate),
		cmocka_unit_test(
			test_refused_operations_are_expected_to_compete),
		cmocka_unit_test(test_rate_zero_admits_nothing),
		cmocka_unit_test(test_extreme_limits_do_not_overflow),
		cmocka_unit_test(test_lower_limit_takes_effect),
		cmocka_unit_test(test_higher_limit_counts_from_now),
		cmocka_unit_test(
			test_full_buckets_are_dropped_and_used_ones_kept),
		cmocka_unit_test(test_earlier_time_adds_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

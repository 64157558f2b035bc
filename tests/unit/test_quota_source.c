#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <math.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/quota_bucket.h"
#include "coordination/quota_source.h"

#define DOMAINS 6u
#define START_MS 1000000u

/* Mean use of a quota: it is 1.6 times the mean of the operations. */
#define USE_FACTOR 1.6

/* Time after which all buckets of a new fleet have filled. */
#define WARM_UP_MS 60000u

/* Largest part of the operations below the limit that may be rejected. */
#define REJECTED_PER_CENT_MAX 1u

/* A source with all leaders connected; the own domain is 0. */
static quota_source_t *create_source(void)
{
	quota_source_t *source = quota_source_create();

	for (uint32_t i = 0; i < DOMAINS; i++) {
		assert_int_equal(
			quota_source_add(source,
					 i == 0 ? QUOTA_DISTANCE_OWN :
					 i == 1 ? QUOTA_DISTANCE_REGION :
						  QUOTA_DISTANCE_FAR),
			i);
		quota_source_set_leader(source, i, true);
		quota_source_set_connected(source, i, true);
	}
	return source;
}

static uint32_t next(quota_source_t *source, quota_quest_t *quest,
		     uint64_t now_ms)
{
	return quota_source_next(source, "a", quest, now_ms);
}

static void test_own_leader_then_two_others(void **state)
{
	quota_source_t *source = create_source();
	quota_quest_t quest = {0};

	assert_int_equal(next(source, &quest, START_MS), 0);
	assert_int_equal(next(source, &quest, START_MS), 1);
	assert_int_equal(next(source, &quest, START_MS), 2);
	assert_int_equal(next(source, &quest, START_MS), QUOTA_SOURCE_NONE);
	quota_source_destroy(source);
}

/* A customer above its quota must not cost a message for each rejection. */
static void test_leader_without_token_is_not_asked(void **state)
{
	quota_source_t *source = create_source();
	quota_quest_t quest = {0};

	for (uint32_t i = 0; i < DOMAINS; i++)
		quota_source_answered(source, i, "a", 100 + i, START_MS);
	assert_int_equal(next(source, &quest, START_MS + 99),
			 QUOTA_SOURCE_NONE);
	assert_true(
		quota_source_is_rejected(source, "a", &quest, START_MS + 99));
	assert_int_equal(quota_source_retry_ms(source, "a", START_MS + 40), 60);
	assert_int_equal(next(source, &quest, START_MS + 100), 0);
	quota_source_destroy(source);
}

/* The next token is for one of many that were refused. */
static void test_retry_waits_for_those_that_compete(void **state)
{
	quota_source_t *source = create_source();

	quota_source_answered(source, 0, "a", 100, START_MS);
	quota_source_expect(source, 0, "a", 600, START_MS);
	quota_source_answered(source, 1, "a", 20, START_MS);
	quota_source_expect(source, 1, "a", 900, START_MS);
	assert_int_equal(quota_source_retry_ms(source, "a", START_MS + 50),
			 550);
	assert_int_equal(quota_source_retry_ms(source, "a", START_MS + 700), 0);
	quota_source_destroy(source);
}

/* Operations that are rejected without asking compete as well. */
static void test_each_rejection_waits_for_one_more_token(void **state)
{
	quota_source_t *source = create_source();

	quota_source_answered(source, 0, "a", 100, START_MS);
	quota_source_expect(source, 0, "a", 100, START_MS);
	for (uint32_t i = 1; i <= 20; i++) {
		assert_int_equal(quota_source_retry_ms(source, "a", START_MS),
				 MIN(100 * i, QUOTA_EXPECTED_MS_MAX));
		quota_source_rejected(source, "a", START_MS);
	}
	quota_source_destroy(source);
}

static void test_far_leaders_take_turns(void **state)
{
	quota_source_t *source = create_source();
	uint32_t asked[DOMAINS] = {0};

	for (uint32_t i = 0; i < 8; i++) {
		quota_quest_t quest = {0};

		quota_source_answered(source, 0, "a", 1000, START_MS);
		quota_source_answered(source, 1, "a", 1000, START_MS);
		asked[next(source, &quest, START_MS)]++;
	}
	for (uint32_t i = 2; i < DOMAINS; i++)
		assert_int_equal(asked[i], 2);
	quota_source_destroy(source);
}

/* Without any answer the operation may wait: nothing was rejected. */
static void test_unreachable_leaders_do_not_reject(void **state)
{
	quota_source_t *source = create_source();
	quota_quest_t quest = {0};

	for (uint32_t i = 0; i < DOMAINS; i++)
		quota_source_failed(source, i, false, START_MS);
	assert_int_equal(next(source, &quest, START_MS), QUOTA_SOURCE_NONE);
	assert_false(quota_source_is_rejected(source, "a", &quest, START_MS));
	assert_int_equal(next(source, &quest, START_MS + QUOTA_SOURCE_AVOID_MS),
			 0);
	quota_source_destroy(source);
}

static void test_new_leader_is_asked_at_once(void **state)
{
	quota_source_t *source = create_source();
	quota_quest_t quest = {0};

	quota_source_set_leader(source, 0, false);
	assert_int_equal(next(source, &quest, START_MS), 1);
	quota_source_answered(source, 0, "a", 1000, START_MS);
	quota_source_set_leader(source, 0, true);
	assert_int_equal(next(source, &quest, START_MS), 0);
	quota_source_destroy(source);
}

/* A token must not be used long after it was admitted, nor twice. */
static void test_kept_token_is_used_once_in_time(void **state)
{
	quota_source_t *source = create_source();
	const uint64_t end_ms = START_MS + QUOTA_SOURCE_KEEP_MS;

	quota_source_keep(source, "a", 2, START_MS);
	assert_false(quota_source_take(source, "b", START_MS));
	assert_true(quota_source_take(source, "a", end_ms - 1));
	assert_false(quota_source_take(source, "a", end_ms));
	quota_source_keep(source, "a", 1, end_ms);
	assert_true(quota_source_take(source, "a", end_ms));
	assert_false(quota_source_take(source, "a", end_ms));
	quota_source_destroy(source);
}

static void test_number_of_customers_is_bounded(void **state)
{
	quota_source_t *source = create_source();

	for (uint32_t i = 0; i < 10000; i++) {
		g_autofree char *name = g_strdup_printf("customer%u", i);

		quota_source_answered(source, 0, name, 60000, START_MS);
	}
	assert_in_range(quota_source_count(source), 1, 1024);
	quota_source_destroy(source);
}

/* @return whether one of the leaders that may be asked had a token */
static bool run_operation(quota_source_t *source, quota_buckets_t **leaders,
			  quota_limit_t limit, uint64_t now_ms)
{
	quota_quest_t quest = {0};

	for (;;) {
		const uint32_t domain = next(source, &quest, now_ms);
		quota_admission_t admission;

		if (domain == QUOTA_SOURCE_NONE)
			return false;
		admission = quota_buckets_admit(leaders[domain], "a", limit, 1,
						now_ms);
		quota_source_answered(source, domain, "a",
				      admission.retry_after_ms, now_ms);
		if (admission.granted)
			return true;
	}
}

/*
 * All operations of a customer come through one node, as a Poisson process with
 * the mean of a usual customer.
 */
static void check_below_limit(quota_limit_t limit, uint32_t operations,
			      uint32_t seed)
{
	quota_source_t *source = create_source();
	quota_buckets_t *leaders[DOMAINS];
	GRand *random = g_rand_new_with_seed(seed);
	double now_ms = START_MS + WARM_UP_MS;
	uint32_t rejected = 0;

	for (uint32_t i = 0; i < DOMAINS; i++)
		leaders[i] = quota_buckets_create((quota_share_t){DOMAINS, i},
						  10, START_MS);
	for (uint32_t i = 0; i < operations; i++) {
		now_ms -= log(1 - g_rand_double(random)) * 1000 * USE_FACTOR /
			  limit.rate_per_s;
		rejected += !run_operation(source, leaders, limit,
					   (uint64_t)now_ms);
	}
	print_message("rate=%u burst=%u seed=%u rejected=%u of %u\n",
		      limit.rate_per_s, limit.burst, seed, rejected,
		      operations);
	assert_in_range(rejected, 0, operations * REJECTED_PER_CENT_MAX / 100);
	for (uint32_t i = 0; i < DOMAINS; i++)
		quota_buckets_destroy(leaders[i]);
	g_rand_free(random);
	quota_source_destroy(source);
}

/* One node must find the tokens that are spread over six leaders. */
static void test_customer_below_its_limit_is_served(void **state)
{
	for (uint32_t seed = 1; seed <= 3; seed++) {
		check_below_limit((quota_limit_t){2, 2}, 20000, seed);
		check_below_limit((quota_limit_t){30, 30}, 20000, seed);
		check_below_limit((quota_limit_t){400, 200}, 20000, seed);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_leader_then_two_others),
		cmocka_unit_test(test_leader_without_token_is_not_asked),
		cmocka_unit_test(test_retry_waits_for_those_that_compete),
		cmocka_unit_test(test_each_rejection_waits_for_one_more_token),
		cmocka_unit_test(test_far_leaders_take_turns),
		cmocka_unit_test(test_unreachable_leaders_do_not_reject),
		cmocka_unit_test(test_new_leader_is_asked_at_once),
		cmocka_unit_test(test_kept_token_is_used_once_in_time),
		cmocka_unit_test(test_number_of_customers_is_bounded),
		cmocka_unit_test(test_customer_below_its_limit_is_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <math.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/quota_loan.h"

#define DOMAINS 6u
#define START_MS 1000000u

/* Time after which all buckets of a new fleet have filled. */
#define WARM_UP_MS 60000u

/* Mean use of a quota: it is 1.6 times the mean of the operations. */
#define USE_FACTOR 1.6

/* Times from the borrower to a lender of its region and to others. */
#define NEAR_MS 1u
#define FAR_MS 20u

static const quota_limit_t usual = {.rate_per_s = 60, .burst = 30};

static quota_loan_t *create_loan(void)
{
	quota_loan_t *loan = quota_loan_create();

	for (uint32_t i = 1; i < DOMAINS; i++)
		quota_loan_set_reachable(loan, i, true);
	return loan;
}

static void create_leaders(quota_buckets_t **leaders)
{
	for (uint32_t i = 0; i < DOMAINS; i++)
		leaders[i] = quota_buckets_create((quota_share_t){DOMAINS, i},
						  10, START_MS);
}

static void destroy_leaders(quota_buckets_t **leaders)
{
	for (uint32_t i = 0; i < DOMAINS; i++)
		quota_buckets_destroy(leaders[i]);
}

static quota_admission_t answer(uint32_t granted, uint32_t level)
{
	return (quota_admission_t){
		.granted = granted, .retry_after_ms = 1, .level = level};
}

static void test_one_loan_of_a_customer_is_under_way(void **state)
{
	quota_loan_t *loan = create_loan();
	const quota_admission_t given = answer(1, 0);

	assert_int_not_equal(quota_loan_choose(loan, "a", 3, START_MS),
			     QUOTA_LOAN_NONE);
	assert_int_equal(quota_loan_choose(loan, "a", 3, START_MS),
			 QUOTA_LOAN_NONE);
	assert_int_not_equal(quota_loan_choose(loan, "b", 3, START_MS),
			     QUOTA_LOAN_NONE);
	quota_loan_answered(loan, "a", &given, START_MS + 40);
	assert_int_equal(quota_loan_count(loan), 1);
	assert_int_not_equal(quota_loan_choose(loan, "a", 3, START_MS + 40),
			     QUOTA_LOAN_NONE);
	quota_loan_destroy(loan);
}

/* Leaders without tokens must not be asked again and again. */
static void test_lender_that_refused_is_asked_later(void **state)
{
	quota_loan_t *loan = create_loan();
	const quota_admission_t refused = answer(0, 0);
	uint32_t first = QUOTA_LOAN_NONE;

	for (uint32_t i = 1; i < DOMAINS; i++) {
		const uint32_t lender =
			quota_loan_choose(loan, "a", 3, START_MS + i);

		first = i == 1 ? lender : first;
		quota_loan_answered(loan, "a", &refused, START_MS + i);
	}
	assert_int_equal(quota_loan_choose(loan, "a", 3, START_MS + 100),
			 QUOTA_LOAN_NONE);
	assert_int_equal(
		quota_loan_choose(loan, "a", 3,
				  START_MS + DOMAINS + QUOTA_LOAN_REFUSED_MS),
		first);
	quota_loan_destroy(loan);
}

static void test_lender_with_the_highest_level_is_asked(void **state)
{
	static const uint32_t levels[DOMAINS] = {0, 1, 7, 3, 9, 2};
	quota_loan_t *loan = create_loan();

	for (uint32_t i = 1; i < DOMAINS; i++) {
		const quota_admission_t given = answer(1, levels[i]);

		for (uint32_t j = 1; j < DOMAINS; j++)
			quota_loan_set_reachable(loan, j, i == j);
		assert_int_equal(quota_loan_choose(loan, "a", 3, START_MS), i);
		quota_loan_answered(loan, "a", &given, START_MS);
	}
	for (uint32_t j = 1; j < DOMAINS; j++)
		quota_loan_set_reachable(loan, j, true);
	assert_int_equal(quota_loan_choose(loan, "a", 3, START_MS), 4);
	quota_loan_failed(loan, "a", START_MS);
	assert_int_equal(quota_loan_choose(loan, "a", 3, START_MS), 2);
	quota_loan_destroy(loan);
}

/* @return tokens that all leaders can still admit now */
static uint32_t drain(quota_buckets_t **leaders, uint64_t now_ms)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < DOMAINS; i++)
		total += quota_buckets_admit(leaders[i], "a", usual, 1000,
					     now_ms)
				 .granted;
	return total;
}

/* A loan must neither add tokens nor take more than there is room for. */
static void test_loan_conserves_tokens(void **state)
{
	const uint64_t now_ms = START_MS + WARM_UP_MS;

	for (uint32_t answered = 0; answered < 2; answered++) {
		quota_buckets_t *leaders[DOMAINS];
		uint32_t wanted;
		uint32_t lent;

		create_leaders(leaders);
		assert_int_equal(
			quota_buckets_admit(leaders[0], "a", usual, 6, now_ms)
				.granted,
			6);
		wanted = quota_buckets_shortage(leaders[0], "a", usual, now_ms);
		assert_int_equal(wanted, 3);
		quota_buckets_start_loan(leaders[0], "a", wanted);
		assert_int_equal(
			quota_buckets_shortage(leaders[0], "a", usual, now_ms),
			0);
		lent = quota_buckets_lend(leaders[1], "a", usual, wanted,
					  now_ms)
			       .granted;
		assert_int_equal(lent, 3);
		quota_buckets_end_loan(leaders[0], "a", usual,
				       answered ? lent : 0, now_ms);
		/* An answer that comes twice counts once. */
		quota_buckets_end_loan(leaders[0], "a", usual, lent, now_ms);
		assert_int_equal(drain(leaders, now_ms),
				 30 - (answered ? 0 : lent));
		destroy_leaders(leaders);
	}
}

/* A loan that is refused must not cost what the bucket gains meanwhile. */
static void test_bucket_gains_while_a_loan_is_under_way(void **state)
{
	const uint64_t now_ms = START_MS + WARM_UP_MS;
	quota_buckets_t *leaders[DOMAINS];

	create_leaders(leaders);
	quota_buckets_admit(leaders[0], "a", usual, 6, now_ms);
	quota_buckets_start_loan(leaders[0], "a", 6);
	assert_int_equal(
		quota_buckets_admit(leaders[0], "a", usual, 6, now_ms + 200)
			.granted,
		2);
	/* It is not forgotten, and never more than the bucket holds. */
	quota_buckets_admit(leaders[0], "a", usual, 0, now_ms + 20000);
	quota_buckets_end_loan(leaders[0], "a", usual, 6, now_ms + 20000);
	assert_int_equal(
		quota_buckets_admit(leaders[0], "a", usual, 9, now_ms + 20000)
			.granted,
		6);
	destroy_leaders(leaders);
}

/* A leader must not lend what its own callers are about to use. */
static void test_lender_keeps_what_its_demand_uses(void **state)
{
	quota_buckets_t *leaders[DOMAINS];
	uint64_t now_ms = START_MS + WARM_UP_MS;

	create_leaders(leaders);
	assert_int_equal(
		quota_buckets_lend(leaders[0], "a", usual, 9, now_ms).granted,
		6);
	/* 20 per second, of which 3 in 150 ms */
	for (uint32_t i = 0; i < 100; i++, now_ms += 50)
		quota_buckets_admit(leaders[1], "a", usual, 1, now_ms);
	now_ms += 100;
	assert_int_equal(
		quota_buckets_lend(leaders[1], "a", usual, 9, now_ms).granted,
		0);
	destroy_leaders(leaders);
}

/* The loan under way of a simulated customer. */
typedef struct {
	uint32_t lender; /* QUOTA_LOAN_NONE if there is none */
	uint32_t count;
	bool given;
	double lend_ms;
	double end_ms;
	quota_admission_t admission;
} transfer_t;

typedef struct {
	quota_buckets_t *leaders[DOMAINS];
	quota_loan_t *loan;
	quota_limit_t limit;
	transfer_t transfer;
} fleet_t;

static void step_transfer(fleet_t *fleet, double now_ms)
{
	transfer_t *transfer = &fleet->transfer;

	if (transfer->lender == QUOTA_LOAN_NONE || now_ms < transfer->lend_ms)
		return;
	if (!transfer->given)
		transfer->admission = quota_buckets_lend(
			fleet->leaders[transfer->lender], "a", fleet->limit,
			transfer->count, (uint64_t)transfer->lend_ms);
	transfer->given = true;
	if (now_ms < transfer->end_ms)
		return;
	transfer->lender = QUOTA_LOAN_NONE;
	quota_loan_answered(fleet->loan, "a", &transfer->admission,
			    (uint64_t)transfer->end_ms);
	quota_buckets_end_loan(fleet->leaders[0], "a", fleet->limit,
			       transfer->admission.granted,
			       (uint64_t)transfer->end_ms);
}

static void borrow(fleet_t *fleet, double now_ms)
{
	const uint32_t count = quota_buckets_shortage(
		fleet->leaders[0], "a", fleet->limit, (uint64_t)now_ms);
	uint32_t lender;
	uint32_t one_way_ms;

	if (!count)
		return;
	lender = quota_loan_choose(fleet->loan, "a", count, (uint64_t)now_ms);
	if (lender == QUOTA_LOAN_NONE)
		return;
	one_way_ms = lender == 1 ? NEAR_MS : FAR_MS;
	quota_buckets_start_loan(fleet->leaders[0], "a", count);
	fleet->transfer = (transfer_t){.lender = lender,
				       .count = count,
				       .lend_ms = now_ms + one_way_ms,
				       .end_ms = now_ms + 2 * one_way_ms};
}

/* @return percentage of the operations that the own leader admits */
static double run_one_domain(quota_limit_t limit, bool borrows, uint32_t seed)
{
	const uint32_t operations = 20000;
	fleet_t fleet = {.loan = create_loan(),
			 .limit = limit,
			 .transfer = {.lender = QUOTA_LOAN_NONE}};
	GRand *random = g_rand_new_with_seed(seed);
	double now_ms = START_MS + WARM_UP_MS;
	uint32_t admitted = 0;

	create_leaders(fleet.leaders);
	for (uint32_t i = 0; i < operations; i++) {
		now_ms -= log(1 - g_rand_double(random)) * 1000 * USE_FACTOR /
			  limit.rate_per_s;
		/* First what the lender does, then its answer. */
		step_transfer(&fleet, now_ms);
		step_transfer(&fleet, now_ms);
		admitted += quota_buckets_admit(fleet.leaders[0], "a", limit, 1,
						(uint64_t)now_ms)
				    .granted;
		if (borrows)
			borrow(&fleet, now_ms);
	}
	destroy_leaders(fleet.leaders);
	quota_loan_destroy(fleet.loan);
	g_rand_free(random);
	print_message("rate=%u burst=%u borrows=%d own=%.2f %%\n",
		      limit.rate_per_s, limit.burst, borrows,
		      100.0 * admitted / operations);
	return 100.0 * admitted / operations;
}

/*
 * All callers of a customer are in one domain, at 1/1.6 of its quota. Without
 * loans the others' leaders have to be asked, 40 ms for each.
 */
static void test_own_leader_admits_a_customer_of_one_domain(void **state)
{
	static const quota_limit_t limits[] = {{30, 30}, {60, 30}, {400, 200}};

	for (guint i = 0; i < G_N_ELEMENTS(limits); i++) {
		assert_true(run_one_domain(limits[i], false, 1) < 40);
		assert_true(run_one_domain(limits[i], true, 1) > 95);
	}
	/* A bucket that holds a single token cannot borrow ahead. */
	run_one_domain((quota_limit_t){2, 2}, false, 1);
	assert_true(run_one_domain((quota_limit_t){2, 2}, true, 1) > 90);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_loan_of_a_customer_is_under_way),
		cmocka_unit_test(test_lender_that_refused_is_asked_later),
		cmocka_unit_test(test_lender_with_the_highest_level_is_asked),
		cmocka_unit_test(test_loan_conserves_tokens),
		cmocka_unit_test(test_bucket_gains_while_a_loan_is_under_way),
		cmocka_unit_test(test_lender_keeps_what_its_demand_uses),
		cmocka_unit_test(
			test_own_leader_admits_a_customer_of_one_domain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

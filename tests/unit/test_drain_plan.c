#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/drain_plan.h"

#define BEGUN_MS 100000u
#define GRACE_MS 6000u
#define ACCEPT_MS 2500u
#define TIMEOUT_MS 1000u

static drain_plan_t begin(void)
{
	drain_plan_t plan;

	drain_plan_begin(&plan, BEGUN_MS, GRACE_MS, ACCEPT_MS);
	return plan;
}

static void test_nothing_is_refused_without_a_drain(void **state)
{
	const drain_plan_t plan = {0};

	assert_false(drain_plan_is_begun(&plan));
	assert_true(drain_plan_may_begin(&plan, BEGUN_MS, UINT32_MAX));
	assert_true(
		drain_plan_may_begin_transaction(&plan, BEGUN_MS, UINT32_MAX));
	assert_false(drain_plan_ends_transaction(&plan, 0, BEGUN_MS));
	assert_true(drain_plan_latest_ms(&plan) == UINT64_MAX);
}

/* The times follow from the grace period, in this order. */
static void test_order_of_the_times(void **state)
{
	for (uint32_t grace_ms = 300; grace_ms < 100000; grace_ms += 97) {
		drain_plan_t plan;

		drain_plan_begin(&plan, BEGUN_MS, grace_ms, ACCEPT_MS);
		assert_true(plan.accept_until_ms <= plan.close_ms);
		assert_true(plan.transactions_ms <= plan.close_ms);
		assert_true(plan.close_ms < plan.answer_ms);
		assert_true(plan.answer_ms < plan.leave_ms);
		assert_true(plan.leave_ms < plan.exit_ms);
		assert_true(plan.exit_ms < BEGUN_MS + grace_ms);
	}
}

static void test_busy_node_goes_through_all_steps(void **state)
{
	static const drain_step_t order[] = {DRAIN_ACCEPT, DRAIN_CLOSE,
					     DRAIN_ANSWER, DRAIN_LEAVE,
					     DRAIN_EXIT};
	drain_plan_t plan = begin();
	size_t reached = 0;
	uint64_t now_ms = BEGUN_MS;

	for (; now_ms < BEGUN_MS + GRACE_MS; now_ms += 50) {
		const drain_step_t step = drain_plan_next(&plan, now_ms, false);

		if (step == DRAIN_CLOSE && reached > 1)
			continue; /* nothing to do until the next step */
		if (step != order[reached])
			reached++;
		assert_int_equal(step, order[reached]);
		if (step == DRAIN_EXIT)
			break;
	}
	assert_int_equal(reached, 4);
	assert_true(now_ms < BEGUN_MS + GRACE_MS);
}

static void test_idle_node_leaves_once_no_caller_is_sent(void **state)
{
	drain_plan_t plan = begin();

	assert_int_equal(drain_plan_next(&plan, BEGUN_MS + ACCEPT_MS - 1, true),
			 DRAIN_ACCEPT);
	assert_int_equal(drain_plan_next(&plan, BEGUN_MS + ACCEPT_MS, true),
			 DRAIN_LEAVE);
	assert_int_equal(
		drain_plan_next(&plan, BEGUN_MS + ACCEPT_MS + 50, true),
		DRAIN_CLOSE);
	assert_int_equal(
		drain_plan_next(&plan, BEGUN_MS + ACCEPT_MS + 150, true),
		DRAIN_EXIT);
}

/* A process that was paused answers before it ends. */
static void test_pause_skips_no_step(void **state)
{
	drain_plan_t plan = begin();
	const uint64_t late_ms = BEGUN_MS + 10 * GRACE_MS;

	assert_int_equal(drain_plan_next(&plan, late_ms, false), DRAIN_ANSWER);
	assert_int_equal(drain_plan_next(&plan, late_ms + 50, false),
			 DRAIN_LEAVE);
	assert_int_equal(drain_plan_next(&plan, late_ms + 100, false),
			 DRAIN_EXIT);
}

static void test_statement_begins_only_if_it_ends_in_time(void **state)
{
	const drain_plan_t plan = begin();
	const uint64_t last_ms = plan.answer_ms - TIMEOUT_MS;

	assert_true(drain_plan_may_begin(&plan, last_ms, TIMEOUT_MS));
	assert_false(drain_plan_may_begin(&plan, last_ms + 1, TIMEOUT_MS));
	assert_true(drain_plan_may_begin(&plan, BEGUN_MS, UINT32_MAX));
	assert_false(
		drain_plan_may_begin_transaction(&plan, last_ms, TIMEOUT_MS));
	assert_true(
		drain_plan_may_begin_transaction(&plan, BEGUN_MS, TIMEOUT_MS));
	assert_true(drain_plan_latest_ms(&plan) == plan.answer_ms);
}

/* Each transaction has its own end, also one that begins late. */
static void test_each_transaction_ends(void **state)
{
	const drain_plan_t plan = begin();
	const uint64_t half_ms = BEGUN_MS + GRACE_MS / 2;

	assert_false(
		drain_plan_ends_transaction(&plan, BEGUN_MS - 1, half_ms - 1));
	assert_true(drain_plan_ends_transaction(&plan, BEGUN_MS - 1, half_ms));
	assert_false(drain_plan_ends_transaction(&plan, BEGUN_MS + 1, half_ms));
	assert_true(drain_plan_ends_transaction(&plan, BEGUN_MS + 1,
						plan.answer_ms));
	assert_true(drain_plan_ends_transaction(&plan, plan.answer_ms - 1,
						plan.answer_ms));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_is_refused_without_a_drain),
		cmocka_unit_test(test_order_of_the_times),
		cmocka_unit_test(test_busy_node_goes_through_all_steps),
		cmocka_unit_test(test_idle_node_leaves_once_no_caller_is_sent),
		cmocka_unit_test(test_pause_skips_no_step),
		cmocka_unit_test(test_statement_begins_only_if_it_ends_in_time),
		cmocka_unit_test(test_each_transaction_ends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

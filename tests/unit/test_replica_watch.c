#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/replica_watch.h"

#define ROUND_MS 300

/*
 * Runs rounds with the given answer of the first replica. Returns when a
 * handover is due, or 0.
 */
static uint64_t run_rounds(replica_watch_t *watch, uint64_t from_ms,
			   uint64_t to_ms, replica_watch_answer_t first,
			   bool overloaded)
{
	const replica_watch_answer_t answers[] = {
		first, {.answered = true, .lag_ms = 9000}};

	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += ROUND_MS) {
		replica_watch_round(watch, answers, 2, now_ms);
		if (overloaded)
			replica_watch_overloaded(watch, now_ms);
		if (replica_watch_is_due(watch, now_ms))
			return now_ms;
	}
	return 0;
}

static const replica_watch_answer_t lagging = {.answered = true,
					       .complete = true,
					       .lag_ms = 4000};

static void
test_overloaded_primary_with_lagging_replicas_hands_over(void **state)
{
	replica_watch_t watch = {0};

	assert_in_range(run_rounds(&watch, 1000, 9000, lagging, true), 1800,
			2200);
}

static void test_primary_without_overload_stays(void **state)
{
	replica_watch_t watch = {0};

	assert_int_equal(run_rounds(&watch, 1000, 9000, lagging, false), 0);
}

static void test_one_healthy_replica_is_enough(void **state)
{
	const replica_watch_answer_t healthy = {
		.answered = true, .complete = true, .lag_ms = 90};
	replica_watch_t watch = {0};

	assert_int_equal(run_rounds(&watch, 1000, 9000, healthy, true), 0);
}

/*
 * A replica that has not received the whole log must not become primary: it
 * would lose acknowledged commits.
 */
static void test_successor_needs_the_whole_log(void **state)
{
	const replica_watch_answer_t incomplete = {.answered = true,
						   .lag_ms = 4000};
	const replica_watch_answer_t unresponsive = {.answered = false};
	replica_watch_t watch = {0};

	assert_int_equal(run_rounds(&watch, 1000, 9000, incomplete, true), 0);
	assert_int_equal(run_rounds(&watch, 9000, 19000, unresponsive, true),
			 0);
}

/* Without recent rounds the replicas must not count as lagging. */
static void test_old_answers_do_not_count(void **state)
{
	replica_watch_t watch = {0};

	replica_watch_handed_over(&watch, 1000);
	assert_int_equal(run_rounds(&watch, 13000, 15000, lagging, true), 0);
	replica_watch_overloaded(&watch, 21900);
	assert_false(replica_watch_is_due(&watch, 22000));
	assert_in_range(run_rounds(&watch, 22000, 30000, lagging, true), 22800,
			23200);
}

static void test_failing_primary_hands_over(void **state)
{
	const replica_watch_answer_t healthy = {
		.answered = true, .complete = true, .lag_ms = 90};
	const replica_watch_answer_t incomplete = {.answered = true,
						   .lag_ms = 90};
	replica_watch_t watch = {0};

	replica_watch_failing(&watch, 1000);
	assert_int_equal(run_rounds(&watch, 1000, 1300, incomplete, false), 0);
	assert_int_equal(run_rounds(&watch, 1300, 1600, healthy, false), 1300);
	assert_int_equal(run_rounds(&watch, 9000, 9300, healthy, false), 0);
}

static void test_handovers_are_rare(void **state)
{
	replica_watch_t watch = {0};

	replica_watch_handed_over(&watch, 1000);
	assert_in_range(run_rounds(&watch, 1000, 90000, lagging, true), 21000,
			21300);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_overloaded_primary_with_lagging_replicas_hands_over),
		cmocka_unit_test(test_primary_without_overload_stays),
		cmocka_unit_test(test_one_healthy_replica_is_enough),
		cmocka_unit_test(test_successor_needs_the_whole_log),
		cmocka_unit_test(test_old_answers_do_not_count),
		cmocka_unit_test(test_failing_primary_hands_over),
		cmocka_unit_test(test_handovers_are_rare),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

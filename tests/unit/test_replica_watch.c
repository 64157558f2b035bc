#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/replica_watch.h"

#define ROUND_MS 300

/* Plays rounds in which the first replica has the given lag. */
static uint64_t play(replica_watch_t *watch, uint64_t from_ms, uint64_t to_ms,
		     replica_watch_answer_t first, bool overloaded)
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

static const replica_watch_answer_t late = {.answered = true,
					    .complete = true,
					    .lag_ms = 4000};

static void test_late_replicas_of_a_busy_primary(void **state)
{
	replica_watch_t watch = {0};

	assert_in_range(play(&watch, 1000, 9000, late, true), 1800, 2200);
}

static void test_primary_that_copes_stays(void **state)
{
	replica_watch_t watch = {0};

	assert_int_equal(play(&watch, 1000, 9000, late, false), 0);
}

static void test_one_replica_that_is_well_is_enough(void **state)
{
	const replica_watch_answer_t well = {
		.answered = true, .complete = true, .lag_ms = 90};
	replica_watch_t watch = {0};

	assert_int_equal(play(&watch, 1000, 9000, well, true), 0);
}

/* Replicas that receive nothing can't lead without a loss. */
static void test_nobody_leads_without_the_whole_log(void **state)
{
	const replica_watch_answer_t deaf = {.answered = true, .lag_ms = 4000};
	const replica_watch_answer_t silent = {.answered = false};
	replica_watch_t watch = {0};

	assert_int_equal(play(&watch, 1000, 9000, deaf, true), 0);
	assert_int_equal(play(&watch, 9000, 19000, silent, true), 0);
}

/* Nobody was asked since: the replicas seem well. */
static void test_old_answers_do_not_count(void **state)
{
	replica_watch_t watch = {0};

	replica_watch_handed_over(&watch, 1000);
	assert_int_equal(play(&watch, 13000, 15000, late, true), 0);
	replica_watch_overloaded(&watch, 21900);
	assert_false(replica_watch_is_due(&watch, 22000));
	assert_in_range(play(&watch, 22000, 30000, late, true), 22800, 23200);
}

static void test_failing_primary_hands_over(void **state)
{
	const replica_watch_answer_t well = {
		.answered = true, .complete = true, .lag_ms = 90};
	const replica_watch_answer_t deaf = {.answered = true, .lag_ms = 90};
	replica_watch_t watch = {0};

	replica_watch_failing(&watch, 1000);
	assert_int_equal(play(&watch, 1000, 1300, deaf, false), 0);
	assert_int_equal(play(&watch, 1300, 1600, well, false), 1300);
	assert_int_equal(play(&watch, 9000, 9300, well, false), 0);
}

static void test_handovers_are_rare(void **state)
{
	replica_watch_t watch = {0};

	replica_watch_handed_over(&watch, 1000);
	assert_in_range(play(&watch, 1000, 90000, late, true), 21000, 21300);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_replicas_of_a_busy_primary),
		cmocka_unit_test(test_primary_that_copes_stays),
		cmocka_unit_test(test_one_replica_that_is_well_is_enough),
		cmocka_unit_test(test_nobody_leads_without_the_whole_log),
		cmocka_unit_test(test_old_answers_do_not_count),
		cmocka_unit_test(test_failing_primary_hands_over),
		cmocka_unit_test(test_handovers_are_rare),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

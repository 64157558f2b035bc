#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "load/checker.h"

static checker_t *checker;

static int set_up(void **state)
{
	checker = checker_create(2);
	return 0;
}

static int tear_down(void **state)
{
	checker_destroy(checker);
	return 0;
}

static uint64_t write_ended(uint32_t session, bool insert, outcome_t outcome)
{
	uint64_t number = checker_begin_write(checker, session, insert);

	checker_end_write(checker, session, number, outcome);
	return number;
}

static uint64_t total(void)
{
	checker_violations_t violations = checker_violations(checker);

	return checker_violations_total(&violations);
}

static void test_kept_guarantees_give_no_violation(void **state)
{
	uint64_t update = write_ended(0, false, OUTCOME_DONE);
	uint64_t insert = write_ended(0, true, OUTCOME_DONE);
	uint64_t unknown = write_ended(0, true, OUTCOME_UNKNOWN);

	write_ended(0, true, OUTCOME_NOT_RUN);
	checker_verify_counter_read(checker, 0, checker_floor(checker, 0),
				    update);
	checker_verify_insert_read(checker, true);
	checker_verify_final_insert(checker, 0, insert);
	checker_verify_final_insert(checker, 0, unknown);
	checker_verify_final_counter(checker, 0, update);
	checker_finish(checker);
	assert_int_equal(total(), 0);
}

static void test_read_below_acknowledged_write_is_stale(void **state)
{
	write_ended(0, false, OUTCOME_DONE);
	checker_verify_counter_read(checker, 0, checker_floor(checker, 0), 0);
	assert_int_equal(checker_violations(checker).stale_reads, 1);
}

static void test_floor_is_taken_at_the_start_of_a_read(void **state)
{
	uint64_t first = write_ended(0, false, OUTCOME_DONE);
	uint64_t floor = checker_floor(checker, 0);

	write_ended(0, false, OUTCOME_DONE);
	checker_verify_counter_read(checker, 0, floor, first);
	assert_int_equal(total(), 0);
}

static void test_missing_acknowledged_insert_is_lost(void **state)
{
	write_ended(0, true, OUTCOME_DONE);
	write_ended(1, true, OUTCOME_UNKNOWN);
	checker_finish(checker);
	assert_int_equal(checker_violations(checker).lost, 1);
	assert_int_equal(total(), 1);
}

static void test_insert_found_twice_is_duplicate(void **state)
{
	uint64_t number = write_ended(0, true, OUTCOME_DONE);

	checker_verify_final_insert(checker, 0, number);
	checker_verify_final_insert(checker, 0, number);
	assert_int_equal(checker_violations(checker).doubled, 1);
}

static void test_write_reported_as_not_run_is_detected(void **state)
{
	uint64_t insert = write_ended(0, true, OUTCOME_NOT_RUN);
	uint64_t update = write_ended(0, false, OUTCOME_NOT_RUN);

	checker_verify_final_insert(checker, 0, insert);
	checker_verify_counter_read(checker, 0, 0, update);
	assert_int_equal(checker_violations(checker).refused_seen, 2);
}

static void test_read_of_unknown_write_is_phantom(void **state)
{
	checker_verify_final_insert(checker, 0, 7);
	checker_verify_final_insert(checker, 9, 1);
	checker_verify_counter_read(checker, 1, 0, 3);
	assert_int_equal(checker_violations(checker).phantom_reads, 3);
}

static void test_counter_below_acknowledged_update_is_lost(void **state)
{
	uint64_t first = write_ended(0, false, OUTCOME_DONE);

	write_ended(0, false, OUTCOME_DONE);
	checker_verify_final_counter(checker, 0, first);
	assert_int_equal(checker_violations(checker).lost_updates, 1);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_kept_guarantees_give_no_violation),
		TEST(test_read_below_acknowledged_write_is_stale),
		TEST(test_floor_is_taken_at_the_start_of_a_read),
		TEST(test_missing_acknowledged_insert_is_lost),
		TEST(test_insert_found_twice_is_duplicate),
		TEST(test_write_reported_as_not_run_is_detected),
		TEST(test_read_of_unknown_write_is_phantom),
		TEST(test_counter_below_acknowledged_update_is_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

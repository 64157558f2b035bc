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
	uint64_t number = checker_begin(checker, session, insert);

	checker_end(checker, session, number, outcome);
	return number;
}

static uint64_t total(void)
{
	checker_faults_t faults = checker_faults(checker);

	return checker_faults_total(&faults);
}

static void test_kept_promises_give_no_fault(void **state)
{
	uint64_t update = write_ended(0, false, OUTCOME_DONE);
	uint64_t insert = write_ended(0, true, OUTCOME_DONE);
	uint64_t unknown = write_ended(0, true, OUTCOME_UNKNOWN);

	write_ended(0, true, OUTCOME_NOT_RUN);
	checker_saw_counter(checker, 0, checker_floor(checker, 0), update);
	checker_saw_insert(checker, true);
	checker_found(checker, 0, insert);
	checker_found(checker, 0, unknown);
	checker_found_counter(checker, 0, update);
	checker_finish(checker);
	assert_int_equal(total(), 0);
}

static void test_read_below_acknowledged_write_is_stale(void **state)
{
	write_ended(0, false, OUTCOME_DONE);
	checker_saw_counter(checker, 0, checker_floor(checker, 0), 0);
	assert_int_equal(checker_faults(checker).stale_reads, 1);
}

static void test_floor_is_that_of_the_start_of_the_read(void **state)
{
	uint64_t first = write_ended(0, false, OUTCOME_DONE);
	uint64_t floor = checker_floor(checker, 0);

	write_ended(0, false, OUTCOME_DONE);
	checker_saw_counter(checker, 0, floor, first);
	assert_int_equal(total(), 0);
}

static void test_acknowledged_insert_that_is_gone_is_lost(void **state)
{
	write_ended(0, true, OUTCOME_DONE);
	write_ended(1, true, OUTCOME_UNKNOWN);
	checker_finish(checker);
	assert_int_equal(checker_faults(checker).lost, 1);
	assert_int_equal(total(), 1);
}

static void test_insert_found_twice_is_doubled(void **state)
{
	uint64_t number = write_ended(0, true, OUTCOME_DONE);

	checker_found(checker, 0, number);
	checker_found(checker, 0, number);
	assert_int_equal(checker_faults(checker).doubled, 1);
}

static void test_refused_write_that_took_effect_is_seen(void **state)
{
	uint64_t insert = write_ended(0, true, OUTCOME_NOT_RUN);
	uint64_t update = write_ended(0, false, OUTCOME_NOT_RUN);

	checker_found(checker, 0, insert);
	checker_saw_counter(checker, 0, 0, update);
	assert_int_equal(checker_faults(checker).refused_seen, 2);
}

static void test_write_never_begun_is_a_phantom(void **state)
{
	checker_found(checker, 0, 7);
	checker_found(checker, 9, 1);
	checker_saw_counter(checker, 1, 0, 3);
	assert_int_equal(checker_faults(checker).phantom_reads, 3);
}

static void test_counter_below_acknowledged_update_is_lost(void **state)
{
	uint64_t first = write_ended(0, false, OUTCOME_DONE);

	write_ended(0, false, OUTCOME_DONE);
	checker_found_counter(checker, 0, first);
	assert_int_equal(checker_faults(checker).lost_updates, 1);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_kept_promises_give_no_fault),
		TEST(test_read_below_acknowledged_write_is_stale),
		TEST(test_floor_is_that_of_the_start_of_the_read),
		TEST(test_acknowledged_insert_that_is_gone_is_lost),
		TEST(test_insert_found_twice_is_doubled),
		TEST(test_refused_write_that_took_effect_is_seen),
		TEST(test_write_never_begun_is_a_phantom),
		TEST(test_counter_below_acknowledged_update_is_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

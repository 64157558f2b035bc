#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/report_table.h"
#include "state/store_revision.h"

#define ERA_1 (INT64_C(1) << STORE_REVISION_NUMBER_BITS)
#define ERA_2 (INT64_C(2) << STORE_REVISION_NUMBER_BITS)

static report_verdict_t judge(report_table_t *table, uint64_t started_ms,
			      uint64_t sequence, bool draining,
			      int64_t revision)
{
	const backend_entry_t entry = {
		.id = "i-1",
		.started_ms = started_ms,
		.sequence = sequence,
		.draining = draining,
	};

	return report_table_judge(table, &entry, revision);
}

static int open_table(void **state)
{
	*state = report_table_create();
	return 0;
}

static int close_table(void **state)
{
	report_table_destroy(*state);
	return 0;
}

static void test_draining_server_stays_so_after_a_restore(void **state)
{
	assert_int_equal(judge(*state, 100, 4, false, ERA_1 + 8), REPORT_APPLY);
	assert_int_equal(judge(*state, 100, 9, true, ERA_1 + 20), REPORT_APPLY);
	assert_int_equal(judge(*state, 100, 4, false, ERA_2 + 8),
			 REPORT_IGNORE);
	assert_int_equal(judge(*state, 100, 10, true, ERA_2 + 9), REPORT_APPLY);
}

static void test_server_that_left_stays_out_after_a_restore(void **state)
{
	judge(*state, 100, 9, true, ERA_1 + 20);
	report_table_removed(*state, "i-1", 1000);
	assert_int_equal(judge(*state, 100, 4, false, ERA_2 + 8),
			 REPORT_IGNORE);
}

static void test_server_that_starts_again_counts(void **state)
{
	judge(*state, 100, 9, true, ERA_1 + 20);
	report_table_removed(*state, "i-1", 1000);
	assert_int_equal(judge(*state, 500, 1, false, ERA_2 + 8), REPORT_APPLY);
}

/* Its entry may come back as it was, and is not written again then. */
static void test_lapsed_server_counts_when_it_comes_back(void **state)
{
	judge(*state, 100, 9, false, ERA_1 + 20);
	report_table_removed(*state, "i-1", 1000);
	assert_int_equal(judge(*state, 100, 4, false, ERA_2 + 8), REPORT_APPLY);
}

static void test_older_report_of_a_present_server_is_kept_off(void **state)
{
	judge(*state, 100, 9, false, ERA_1 + 20);
	assert_int_equal(judge(*state, 100, 4, false, ERA_2 + 8), REPORT_KEEP);
	assert_int_equal(judge(*state, 100, 9, false, ERA_2 + 9), REPORT_APPLY);
}

/* A server's clock may be wrong; within an era it does not matter. */
static void test_order_of_the_store_holds_within_an_era(void **state)
{
	judge(*state, 100, 9, true, ERA_1 + 20);
	assert_int_equal(judge(*state, 50, 1, false, ERA_1 + 21), REPORT_APPLY);
}

static void test_servers_that_left_are_forgotten(void **state)
{
	judge(*state, 100, 9, true, ERA_1 + 20);
	report_table_removed(*state, "i-1", 1000);
	report_table_removed(*state, "i-2", 1000 + 10 * 60 * 1000);
	assert_int_equal(judge(*state, 100, 4, false, ERA_2 + 8), REPORT_APPLY);
}

#define TABLE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_table, close_table)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TABLE_TEST(test_draining_server_stays_so_after_a_restore),
		TABLE_TEST(test_server_that_left_stays_out_after_a_restore),
		TABLE_TEST(test_server_that_starts_again_counts),
		TABLE_TEST(test_lapsed_server_counts_when_it_comes_back),
		TABLE_TEST(test_older_report_of_a_present_server_is_kept_off),
		TABLE_TEST(test_order_of_the_store_holds_within_an_era),
		TABLE_TEST(test_servers_that_left_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

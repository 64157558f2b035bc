#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/sync_holders.h"

static const sync_replica_t both[] = {{"b", 1}, {"c", 1}};
static const sync_replica_t c_restarted[] = {{"b", 1}, {"c", 2}};

/* Guards against forgetting a replica as soon as its entry is gone. */
static void test_departed_replica_counts_until_it_is_superseded(void **state)
{
	sync_holders_t holders = {0};

	assert_false(sync_holders_update(&holders, both, 2, 1000));
	assert_true(sync_holders_update(&holders, both, 1, 2000));
	assert_false(sync_holders_update(&holders, both, 1, 2100));
	assert_int_equal(sync_holders_departed(&holders), 1);
	sync_holders_superseded(&holders, 2000 + SYNC_HOLDERS_GONE_MS - 1);
	assert_int_equal(sync_holders_departed(&holders), 1);
	sync_holders_superseded(&holders, 2000 + SYNC_HOLDERS_GONE_MS);
	assert_int_equal(sync_holders_departed(&holders), 0);
	assert_int_equal(holders.count, 1);
}

static void test_replica_that_returns_is_present(void **state)
{
	sync_holders_t holders = {0};

	sync_holders_update(&holders, both, 2, 1000);
	sync_holders_update(&holders, both, 1, 2000);
	sync_holders_update(&holders, both, 2, 3000);
	assert_int_equal(sync_holders_departed(&holders), 0);
}

/* Guards against taking a restarted replica, without a log, for the old one. */
static void test_restarted_replica_is_another_one(void **state)
{
	sync_holders_t holders = {0};

	sync_holders_update(&holders, both, 2, 1000);
	sync_holders_update(&holders, c_restarted, 2, 2000);
	assert_int_equal(holders.count, 3);
	assert_int_equal(sync_holders_departed(&holders), 1);
}

/* The old primary may come back as a replica before its entry does. */
static void test_old_primary_counts_in_a_new_term(void **state)
{
	sync_holders_t holders = {0};

	sync_holders_update(&holders, both, 2, 1000);
	sync_holders_new_term(&holders, "b", "a", 7);
	sync_holders_update(&holders, &both[1], 1, 2000);
	assert_int_equal(holders.count, 2);
	assert_int_equal(sync_holders_departed(&holders), 1);
}

/* Guards against a list that is full and seems complete. */
static void test_overflow_is_known(void **state)
{
	sync_holders_t holders = {0};

	for (uint64_t i = 0; i <= SYNC_HOLDERS_MAX; i++) {
		const sync_replica_t replica = {"b", i + 1};

		sync_holders_update(&holders, &replica, 1, 1000);
	}
	assert_true(holders.overflowed);
	assert_int_equal(holders.count, SYNC_HOLDERS_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_departed_replica_counts_until_it_is_superseded),
		cmocka_unit_test(test_replica_that_returns_is_present),
		cmocka_unit_test(test_restarted_replica_is_another_one),
		cmocka_unit_test(test_old_primary_counts_in_a_new_term),
		cmocka_unit_test(test_overflow_is_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

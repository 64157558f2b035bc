#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/connection_share.h"
#include "coordination/read_placement.h"

static void test_near_server_is_preferred(void **state)
{
	const read_candidate_t candidates[] = {
		{.usable = true, .run_ms = 70},
		{.usable = true,
		 .near = true,
		 .same_region = true,
		 .run_ms = 60,
		 .wait_ms = 100},
	};

	assert_int_equal(read_placement_choose(candidates, 2), 1);
}

static void test_read_leaves_when_the_near_server_is_slow(void **state)
{
	const read_candidate_t candidates[] = {
		{.usable = true, .run_ms = 70},
		{.usable = true,
		 .near = true,
		 .same_region = true,
		 .run_ms = 150,
		 .wait_ms = 400},
	};

	assert_int_equal(read_placement_choose(candidates, 2), 0);
}

static void test_lagging_server_counts_its_lag(void **state)
{
	const read_candidate_t candidates[] = {
		{.usable = true, .same_region = true, .run_ms = 40},
		{.usable = true,
		 .near = true,
		 .same_region = true,
		 .run_ms = 30,
		 .behind_ms = 700},
	};

	assert_int_equal(read_placement_choose(candidates, 2), 0);
}

static void test_nobody_is_usable(void **state)
{
	const read_candidate_t candidates[] = {{.run_ms = 1}};

	assert_int_equal(read_placement_choose(candidates, 1), -1);
}

/* However many nodes there are, what they keep at rest fits the limit. */
static void test_kept_connections_fit_the_limit(void **state)
{
	for (uint32_t nodes = 1; nodes <= 700; nodes++) {
		const connection_share_ask_t ask = {.limit = 61,
						    .nodes_near = nodes / 6 + 1,
						    .nodes_far =
							    nodes - nodes / 6};
		const uint32_t kept = connection_share(&ask) *
				      (ask.nodes_near + ask.nodes_far);

		assert_true(kept <= ask.limit / 2);
		assert_true(connection_most(&ask) >= 1);
		assert_true(connection_most(&ask) <= ask.limit);
	}
}

/* 74 nodes before 61 connections: each may use several for a while. */
static void test_more_nodes_than_connections(void **state)
{
	const connection_share_ask_t ask = {
		.limit = 61, .nodes_near = 12, .nodes_far = 62};

	assert_int_equal(connection_share(&ask), 0);
	assert_in_range(connection_most(&ask), 8, 16);
}

static void test_no_limit_known(void **state)
{
	const connection_share_ask_t ask = {0};

	assert_int_equal(connection_share(&ask), 0);
	assert_int_equal(connection_most(&ask), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_near_server_is_preferred),
		cmocka_unit_test(test_read_leaves_when_the_near_server_is_slow),
		cmocka_unit_test(test_lagging_server_counts_its_lag),
		cmocka_unit_test(test_nobody_is_usable),
		cmocka_unit_test(test_kept_connections_fit_the_limit),
		cmocka_unit_test(test_more_nodes_than_connections),
		cmocka_unit_test(test_no_limit_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

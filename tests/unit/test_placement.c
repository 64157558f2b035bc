#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/connection_share.h"
#include "coordination/read_placement.h"

static void test_server_of_the_domain_is_preferred(void **state)
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

static void test_read_leaves_a_slow_domain(void **state)
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

static void test_no_server_is_usable(void **state)
{
	const read_candidate_t candidates[] = {{.run_ms = 1}};

	assert_int_equal(read_placement_choose(candidates, 1), -1);
}

/* The idle connections of all nodes must fit the limit for any fleet size. */
static void test_idle_connections_fit_the_limit(void **state)
{
	for (uint32_t nodes = 1; nodes <= 700; nodes++) {
		const connection_share_input_t input = {
			.limit = 61,
			.nodes_near = nodes / 6 + 1,
			.nodes_far = nodes - nodes / 6};
		const uint32_t idle = connection_share(&input) *
				      (input.nodes_near + input.nodes_far);

		assert_true(idle <= input.limit / 2);
		assert_true(connection_share_max(&input) >= 1);
		assert_true(connection_share_max(&input) <= input.limit);
	}
}

/* With 74 nodes and 61 connections each node may still use several briefly. */
static void test_more_nodes_than_connections(void **state)
{
	const connection_share_input_t input = {
		.limit = 61, .nodes_near = 12, .nodes_far = 62};

	assert_int_equal(connection_share(&input), 0);
	assert_in_range(connection_share_max(&input), 8, 16);
}

static void test_no_limit_known(void **state)
{
	const connection_share_input_t input = {0};

	assert_int_equal(connection_share(&input), 0);
	assert_int_equal(connection_share_max(&input), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_of_the_domain_is_preferred),
		cmocka_unit_test(test_read_leaves_a_slow_domain),
		cmocka_unit_test(test_lagging_server_counts_its_lag),
		cmocka_unit_test(test_no_server_is_usable),
		cmocka_unit_test(test_idle_connections_fit_the_limit),
		cmocka_unit_test(test_more_nodes_than_connections),
		cmocka_unit_test(test_no_limit_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

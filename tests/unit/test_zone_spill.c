#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <glib.h>

#include "coordination/zone_spill.h"

#define SERVERS 3
#define NEEDED_MS 266

/* One node, and a server in its region and in two others. */
typedef struct {
	zone_spill_t spill;
	zone_server_t states[SERVERS];
	read_candidate_t candidates[SERVERS];
	uint64_t remaining_ms;
	uint64_t now_ms;
} node_t;

static node_t node_new(void)
{
	return (node_t){
		.candidates = {{.usable = true,
				.same_region = true,
				.run_ms = 20},
			       {.usable = true, .run_ms = 60},
			       {.usable = true, .run_ms = 60}},
		.remaining_ms = 1200,
		.now_ms = 1000,
	};
}

static zone_spill_choice_t read_again(node_t *node, bool repeated)
{
	const zone_spill_read_t read = {.needed_ms = NEEDED_MS,
					.remaining_ms = node->remaining_ms,
					.repeated = repeated};
	zone_server_t *const servers[SERVERS] = {
		&node->states[0], &node->states[1], &node->states[2]};

	return zone_spill_choose(&node->spill, &read, node->candidates, servers,
				 SERVERS, node->now_ms);
}

static zone_spill_choice_t read_once(node_t *node)
{
	node->now_ms += 100;
	return read_again(node, false);
}

/* Runs reads for a time. @return the last choice */
static zone_spill_choice_t read_for(node_t *node, uint32_t duration_ms)
{
	zone_spill_choice_t choice = {0};

	for (uint32_t i = 0; i < duration_ms; i += 100)
		choice = read_once(node);
	return choice;
}

/* Placement without trouble is that of the fixed penalties. */
static void test_healthy_placement_is_unchanged(void **state)
{
	for (uint32_t i = 0; i < 8 * 4 * 8 * 8; i++) {
		node_t node = node_new();
		read_candidate_t *candidates = node.candidates;

		candidates[0].near = i % 2;
		candidates[0].run_ms = 10 + i / 2 % 4 * 20;
		candidates[1].same_region = i / 8 % 2;
		candidates[1].run_ms = 20 + i / 16 % 4 * 20;
		candidates[1].wait_ms = i / 64 % 4 * 5;
		candidates[2].run_ms = 40 + i / 256 % 8 * 10;
		assert_int_equal(read_once(&node).server,
				 read_placement_choose(candidates, SERVERS));
	}
}

/* A node whose domain has no server treats the region's server as near. */
static void test_the_region_is_the_zone_without_a_near_server(void **state)
{
	node_t node = node_new();

	node.candidates[0].run_ms = 150;
	assert_int_equal(read_for(&node, 5000).server, 0);
	assert_int_equal(read_once(&node).reason, ZONE_SPILL_STAYS);
	assert_int_equal(read_once(&node).distance, READ_DISTANCE_REGION);
}

/* The share grows gradually and its reads are evenly spaced. */
static void test_slow_server_loses_a_growing_share(void **state)
{
	node_t node = node_new();
	uint32_t away = 0;

	node.candidates[0].wait_ms = 500;
	assert_int_equal(read_once(&node).server, 0);
	assert_in_range(100 * read_for(&node, 2000).share, 3, 24);
	node.states[1].share = 0.25;
	node.states[2].share = 0;
	node.candidates[0].wait_ms = 200;
	for (uint32_t i = 0; i < 40; i++) {
		const zone_spill_choice_t choice = read_once(&node);

		if (choice.server != 1)
			continue;
		assert_int_equal(choice.reason, ZONE_SPILL_SLOW);
		away++;
	}
	assert_in_range(away, 9, 11);
}

static void test_growth_and_return_are_reported(void **state)
{
	node_t node = node_new();
	uint32_t reports = 0;

	assert_false(read_for(&node, 1000).changed);
	node.candidates[0].wait_ms = 500;
	for (uint32_t i = 0; i < 100; i++)
		reports += read_once(&node).changed;
	assert_in_range(reports, 2, 6);
	assert_true(read_once(&node).share > 0.3);
	node.candidates[0].wait_ms = 0;
	reports = 0;
	for (uint32_t i = 0; i < 600; i++)
		reports += read_once(&node).changed;
	assert_in_range(reports, 2, 6);
	assert_true(read_once(&node).share == 0);
	assert_int_equal(read_once(&node).server, 0);
}

/* A short improvement must not bring the reads back. */
static void test_return_is_delayed(void **state)
{
	node_t node = node_new();
	double share;

	node.candidates[0].wait_ms = 500;
	share = read_for(&node, 5000).share;
	node.candidates[0].wait_ms = 0;
	assert_true(read_for(&node, 1500).share == share);
	node.candidates[0].wait_ms = 240;
	assert_true(read_for(&node, 10000).share == share);
}

static void test_lag_moves_a_share(void **state)
{
	node_t node = node_new();

	node.candidates[0].behind_ms = 400;
	assert_true(read_for(&node, 3000).share > 0);
	assert_int_equal(node.spill.reason, ZONE_SPILL_BEHIND);
}

/* A replica that would catch up after the deadline gets no read at all. */
static void test_read_leaves_a_replica_that_is_too_late(void **state)
{
	node_t node = node_new();

	node.candidates[0].behind_ms = 5000;
	assert_int_equal(read_once(&node).reason, ZONE_SPILL_BEHIND);
	assert_int_not_equal(read_once(&node).server, 0);
}

/* A read with little time left goes where it can be served, full or not. */
static void test_short_deadline_ignores_the_shares(void **state)
{
	node_t node = node_new();

	node.candidates[0].run_ms = 120;
	node.remaining_ms = 100;
	assert_int_equal(read_once(&node).reason, ZONE_SPILL_DEADLINE);
	node.states[1].full = node.states[2].full = true;
	node.candidates[1].wait_ms = node.candidates[2].wait_ms = 400;
	assert_int_not_equal(read_once(&node).server, 0);
	assert_int_not_equal(read_again(&node, true).server, 0);
	node.remaining_ms = 10;
	assert_int_equal(read_once(&node).server, -1);
}

/* The reads of a failed server must not all go to the same other one. */
static void test_reads_of_a_failed_server_are_spread(void **state)
{
	node_t node = node_new();
	uint32_t counts[SERVERS] = {0};

	node.candidates[0].usable = false;
	for (uint32_t i = 0; i < 100; i++) {
		const zone_spill_choice_t choice = read_once(&node);

		assert_int_equal(choice.reason, ZONE_SPILL_UNUSABLE);
		counts[choice.server]++;
	}
	assert_in_range(counts[1], 45, 55);
	assert_in_range(counts[2], 45, 55);
}

static void test_full_server_gets_no_share(void **state)
{
	node_t node = node_new();

	node.candidates[0].wait_ms = 600;
	node.candidates[1].wait_ms = 200;
	read_for(&node, 5000);
	assert_true(node.states[1].share == 0);
	assert_true(node.states[2].share > 0.1);
	node.candidates[2].wait_ms = 200;
	assert_true(read_for(&node, 20000).share < 0.05);
}

/* The share of a lost server must not keep others from getting the reads. */
static void test_share_of_a_lost_server_is_taken_over(void **state)
{
	node_t node = node_new();

	node.candidates[0].wait_ms = 600;
	node.states[1].share = 0.9;
	node.candidates[1].usable = false;
	read_for(&node, 20000);
	assert_true(node.states[1].share < 0.1);
	assert_true(node.states[2].share > 0.8);
}

/* Reads that the send budget holds back are rejections too. */
static void test_held_back_reads_move_a_share(void **state)
{
	node_t node = node_new();

	node.candidates[0].usable = false;
	node.candidates[0].held_back = true;
	assert_int_equal(read_once(&node).reason, ZONE_SPILL_REJECTS);
	assert_true(read_for(&node, 4000).share > 0);
	assert_int_equal(node.spill.reason, ZONE_SPILL_REJECTS);
}

/* A gain that justifies small answers does not justify large ones. */
static void test_large_answers_need_a_larger_gain(void **state)
{
	node_t node = node_new();

	node.candidates[0].wait_ms = 280;
	for (uint32_t i = 0; i < 200; i++)
		zone_spill_answered(&node.spill, 4000000);
	assert_true(read_for(&node, 5000).share == 0);
	node.spill.answer_bytes = 500;
	assert_true(read_for(&node, 5000).share > 0);
}

/* An estimate from before the trouble ended must not keep reads away. */
static void test_old_estimate_expires(void **state)
{
	node_t node = node_new();

	zone_server_answered(&node.states[0], 2000, node.now_ms);
	assert_int_not_equal(read_once(&node).server, 0);
	node.now_ms += 60000;
	assert_int_equal(read_again(&node, true).server, 0);
}

static void test_leaving_server_is_not_the_zone(void **state)
{
	node_t node = node_new();

	node.candidates[0].usable = false;
	node.candidates[0].leaving = true;
	assert_int_equal(read_once(&node).reason, ZONE_SPILL_STAYS);
	assert_int_equal(read_once(&node).distance, READ_DISTANCE_ELSEWHERE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_healthy_placement_is_unchanged),
		cmocka_unit_test(
			test_the_region_is_the_zone_without_a_near_server),
		cmocka_unit_test(test_slow_server_loses_a_growing_share),
		cmocka_unit_test(test_growth_and_return_are_reported),
		cmocka_unit_test(test_return_is_delayed),
		cmocka_unit_test(test_lag_moves_a_share),
		cmocka_unit_test(test_read_leaves_a_replica_that_is_too_late),
		cmocka_unit_test(test_short_deadline_ignores_the_shares),
		cmocka_unit_test(test_reads_of_a_failed_server_are_spread),
		cmocka_unit_test(test_full_server_gets_no_share),
		cmocka_unit_test(test_share_of_a_lost_server_is_taken_over),
		cmocka_unit_test(test_held_back_reads_move_a_share),
		cmocka_unit_test(test_large_answers_need_a_larger_gain),
		cmocka_unit_test(test_old_estimate_expires),
		cmocka_unit_test(test_leaving_server_is_not_the_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

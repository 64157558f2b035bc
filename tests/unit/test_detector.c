#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/detector.h"

#define SERVERS 3
#define SUSPECT_MS 900
#define VALID_MS 300

/* The answers of the servers, and what the detector has reported. */
typedef struct {
	detector_t *detector;
	uint64_t now_ms;
	server_result_t results[SERVERS];
	server_status_t statuses[SERVERS];
	uint32_t queried[SERVERS]; /* queries without an answer */
	uint64_t poll_round;
	uint32_t failures; /* consecutive failed polls */
	uint32_t lost;	   /* reports of a lost primary */
	detector_reason_t reason;
} fixture_t;

static void on_query(void *context, uint32_t server, uint64_t poll_round)
{
	fixture_t *fixture = context;

	fixture->queried[server]++;
	fixture->poll_round = poll_round;
}

static void on_suspect(void *context)
{
}

static void on_lost(void *context, detector_reason_t reason,
		    uint64_t suspected_ms)
{
	fixture_t *fixture = context;

	fixture->lost++;
	fixture->reason = reason;
}

static int open_fixture(void **state)
{
	static fixture_t fixture;
	const detector_rule_t rule = {SERVERS, 1, SUSPECT_MS, VALID_MS};
	const detector_handlers_t handlers = {
		.send_request = on_query,
		.suspect = on_suspect,
		.lost = on_lost,
		.context = &fixture,
	};

	fixture = (fixture_t){.now_ms = 100000};
	fixture.detector = detector_create(rule, handlers);
	for (uint32_t i = 0; i < SERVERS; i++)
		fixture.statuses[i] = (server_status_t){
			.role = i ? SERVER_REPLICA : SERVER_PRIMARY,
			.term = 1,
			.fence = 1,
			.upstream_age_ms = i ? 50 : 0,
		};
	detector_set_primary(fixture.detector, fixture.now_ms, 1, 0);
	fixture.now_ms += 10000;
	*state = &fixture;
	return 0;
}

static int close_fixture(void **state)
{
	detector_destroy(((fixture_t *)*state)->detector);
	return 0;
}

/* Simulates a node that polls server @p own for @p duration_ms. */
static void run(fixture_t *fixture, uint32_t own, uint64_t duration_ms)
{
	const uint64_t end_ms = fixture->now_ms + duration_ms;

	for (; fixture->now_ms < end_ms; fixture->now_ms += 50) {
		const bool polled = fixture->results[own] == SERVER_OK;

		fixture->failures = polled ? 0 : fixture->failures + 1;
		detector_record_poll(fixture->detector, fixture->now_ms, own,
				     polled ? &fixture->statuses[own] : NULL,
				     fixture->failures);
		detector_step(fixture->detector, fixture->now_ms);
		for (uint32_t i = 0; i < SERVERS; i++) {
			const bool ok = fixture->results[i] == SERVER_OK;

			if (!fixture->queried[i])
				continue;
			fixture->queried[i] = 0;
			detector_answer(fixture->detector, fixture->now_ms, i,
					fixture->poll_round,
					fixture->results[i],
					ok ? &fixture->statuses[i] : NULL);
		}
	}
}

static void test_dead_primary_is_lost_once_replicas_agree(void **state)
{
	fixture_t *fixture = *state;

	fixture->results[0] = SERVER_UNREACHABLE;
	run(fixture, 0, 400);
	assert_int_equal(fixture->lost, 0);
	fixture->statuses[1].upstream_age_ms = SUSPECT_MS / 3;
	fixture->statuses[2].upstream_age_ms = SUSPECT_MS / 3;
	run(fixture, 0, 400);
	assert_int_equal(fixture->lost, 1);
	assert_int_equal(fixture->reason, DETECTOR_REFUSED);
}

static void test_primary_out_of_reach_of_one_node_is_kept(void **state)
{
	fixture_t *fixture = *state;

	fixture->results[0] = SERVER_UNKNOWN;
	run(fixture, 0, 20000);
	assert_int_equal(fixture->lost, 0);
}

static void test_one_silent_replica_loses_no_primary(void **state)
{
	fixture_t *fixture = *state;

	fixture->statuses[1].upstream_age_ms = 60000;
	run(fixture, 1, 20000);
	assert_int_equal(fixture->lost, 0);
}

static void test_one_reachable_replica_loses_no_primary(void **state)
{
	fixture_t *fixture = *state;

	fixture->results[0] = SERVER_UNKNOWN;
	fixture->results[2] = SERVER_UNKNOWN;
	fixture->statuses[1].upstream_age_ms = 60000;
	run(fixture, 1, 20000);
	assert_int_equal(fixture->lost, 0);
}

static void test_primary_silent_at_all_replicas_is_lost(void **state)
{
	fixture_t *fixture = *state;

	fixture->results[0] = SERVER_UNKNOWN;
	fixture->statuses[1].upstream_age_ms = SUSPECT_MS;
	fixture->statuses[2].upstream_age_ms = SUSPECT_MS;
	run(fixture, 1, 200);
	assert_int_equal(fixture->lost, 1);
	assert_int_equal(fixture->reason, DETECTOR_SILENT);
}

static void test_primary_out_of_reach_of_all_owners_is_lost(void **state)
{
	fixture_t *fixture = *state;

	fixture->results[0] = SERVER_UNREACHABLE;
	run(fixture, 0, 2 * SUSPECT_MS);
	assert_int_equal(fixture->lost, 0);
	run(fixture, 0, 2 * SUSPECT_MS);
	assert_int_equal(fixture->lost, 1);
	assert_int_equal(fixture->reason, DETECTOR_CUT_OFF);
}

static void test_running_promotion_is_waited_for(void **state)
{
	fixture_t *fixture = *state;

	fixture->statuses[1].fence = 7;
	fixture->statuses[1].upstream_age_ms = SUSPECT_MS;
	fixture->statuses[2].upstream_age_ms = SUSPECT_MS;
	run(fixture, 1, VALID_MS + 1500);
	assert_int_equal(fixture->lost, 0);
	run(fixture, 1, 2000);
	assert_int_equal(fixture->lost, 1);
	assert_int_equal(fixture->reason, DETECTOR_FENCE_STUCK);
}

static void test_repeated_changes_are_held_off_longer(void **state)
{
	fixture_t *fixture = *state;

	fixture->results[0] = SERVER_UNKNOWN;
	fixture->statuses[1].upstream_age_ms = SUSPECT_MS;
	fixture->statuses[2].upstream_age_ms = SUSPECT_MS;
	for (uint64_t term = 2; term <= 5; term++)
		detector_set_primary(fixture->detector, fixture->now_ms, term,
				     0);
	fixture->statuses[1].term = 5;
	fixture->statuses[2].term = 5;
	run(fixture, 1, 3000);
	assert_int_equal(fixture->lost, 0);
	run(fixture, 1, 1000);
	assert_int_equal(fixture->lost, 1);
}

#define TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_dead_primary_is_lost_once_replicas_agree),
		TEST(test_primary_out_of_reach_of_one_node_is_kept),
		TEST(test_one_silent_replica_loses_no_primary),
		TEST(test_one_reachable_replica_loses_no_primary),
		TEST(test_primary_silent_at_all_replicas_is_lost),
		TEST(test_primary_out_of_reach_of_all_owners_is_lost),
		TEST(test_running_promotion_is_waited_for),
		TEST(test_repeated_changes_are_held_off_longer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

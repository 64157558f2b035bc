#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/detector.h"

#define SERVERS 3
#define SUSPECT_MS 900
#define VALID_MS 300

/* What the servers would answer, and what the detector did. */
typedef struct {
	detector_t *detector;
	uint64_t now_ms;
	server_result_t results[SERVERS];
	server_status_t statuses[SERVERS];
	uint32_t asked[SERVERS];
	uint64_t canvass;
	uint32_t failures;
	uint32_t lost;
	detector_reason_t reason;
} trial_t;

static void on_ask(void *context, uint32_t server, uint64_t canvass)
{
	trial_t *trial = context;

	trial->asked[server]++;
	trial->canvass = canvass;
}

static void on_suspect(void *context)
{
}

static void on_lost(void *context, detector_reason_t reason,
		    uint64_t suspected_ms)
{
	trial_t *trial = context;

	trial->lost++;
	trial->reason = reason;
}

static int trial_open(void **state)
{
	static trial_t trial;
	const detector_rule_t rule = {SERVERS, 1, SUSPECT_MS, VALID_MS};
	const detector_handlers_t handlers = {
		.ask = on_ask,
		.suspect = on_suspect,
		.lost = on_lost,
		.context = &trial,
	};

	trial = (trial_t){.now_ms = 100000};
	trial.detector = detector_create(rule, handlers);
	for (uint32_t i = 0; i < SERVERS; i++)
		trial.statuses[i] = (server_status_t){
			.role = i ? SERVER_REPLICA : SERVER_PRIMARY,
			.term = 1,
			.fence = 1,
			.upstream_age_ms = i ? 50 : 0,
		};
	detector_view(trial.detector, trial.now_ms, 1, 0);
	trial.now_ms += 10000;
	*state = &trial;
	return 0;
}

static int trial_close(void **state)
{
	detector_destroy(((trial_t *)*state)->detector);
	return 0;
}

/* Runs @p duration_ms of a node that polls server @p own. */
static void trial_run(trial_t *trial, uint32_t own, uint64_t duration_ms)
{
	const uint64_t end_ms = trial->now_ms + duration_ms;

	for (; trial->now_ms < end_ms; trial->now_ms += 50) {
		const bool polled = trial->results[own] == SERVER_OK;

		trial->failures = polled ? 0 : trial->failures + 1;
		detector_polled(trial->detector, trial->now_ms, own,
				polled ? &trial->statuses[own] : NULL,
				trial->failures);
		detector_step(trial->detector, trial->now_ms);
		for (uint32_t i = 0; i < SERVERS; i++) {
			const bool ok = trial->results[i] == SERVER_OK;

			if (!trial->asked[i])
				continue;
			trial->asked[i] = 0;
			detector_answer(trial->detector, trial->now_ms, i,
					trial->canvass, trial->results[i],
					ok ? &trial->statuses[i] : NULL);
		}
	}
}

static void test_dead_primary_is_lost_once_replicas_agree(void **state)
{
	trial_t *trial = *state;

	trial->results[0] = SERVER_UNREACHABLE;
	trial_run(trial, 0, 400);
	assert_int_equal(trial->lost, 0);
	trial->statuses[1].upstream_age_ms = SUSPECT_MS / 3;
	trial->statuses[2].upstream_age_ms = SUSPECT_MS / 3;
	trial_run(trial, 0, 400);
	assert_int_equal(trial->lost, 1);
	assert_int_equal(trial->reason, DETECTOR_REFUSED);
}

static void test_cut_from_one_node_changes_nothing(void **state)
{
	trial_t *trial = *state;

	trial->results[0] = SERVER_UNKNOWN;
	trial_run(trial, 0, 20000);
	assert_int_equal(trial->lost, 0);
}

static void test_one_silent_replica_changes_nothing(void **state)
{
	trial_t *trial = *state;

	trial->statuses[1].upstream_age_ms = 60000;
	trial_run(trial, 1, 20000);
	assert_int_equal(trial->lost, 0);
}

static void test_lone_replica_fences_nobody(void **state)
{
	trial_t *trial = *state;

	trial->results[0] = SERVER_UNKNOWN;
	trial->results[2] = SERVER_UNKNOWN;
	trial->statuses[1].upstream_age_ms = 60000;
	trial_run(trial, 1, 20000);
	assert_int_equal(trial->lost, 0);
}

static void test_silence_at_all_replicas_is_a_loss(void **state)
{
	trial_t *trial = *state;

	trial->results[0] = SERVER_UNKNOWN;
	trial->statuses[1].upstream_age_ms = SUSPECT_MS;
	trial->statuses[2].upstream_age_ms = SUSPECT_MS;
	trial_run(trial, 1, 200);
	assert_int_equal(trial->lost, 1);
	assert_int_equal(trial->reason, DETECTOR_SILENT);
}

static void test_primary_out_of_reach_of_all_owners_is_lost(void **state)
{
	trial_t *trial = *state;

	trial->results[0] = SERVER_UNREACHABLE;
	trial_run(trial, 0, 2 * SUSPECT_MS);
	assert_int_equal(trial->lost, 0);
	trial_run(trial, 0, 2 * SUSPECT_MS);
	assert_int_equal(trial->lost, 1);
	assert_int_equal(trial->reason, DETECTOR_CUT_OFF);
}

static void test_promotion_of_another_node_gets_its_time(void **state)
{
	trial_t *trial = *state;

	trial->statuses[1].fence = 7;
	trial->statuses[1].upstream_age_ms = SUSPECT_MS;
	trial->statuses[2].upstream_age_ms = SUSPECT_MS;
	trial_run(trial, 1, VALID_MS + 1500);
	assert_int_equal(trial->lost, 0);
	trial_run(trial, 1, 2000);
	assert_int_equal(trial->lost, 1);
	assert_int_equal(trial->reason, DETECTOR_FENCE_STUCK);
}

static void test_repeated_changes_are_held_off_longer(void **state)
{
	trial_t *trial = *state;

	trial->results[0] = SERVER_UNKNOWN;
	trial->statuses[1].upstream_age_ms = SUSPECT_MS;
	trial->statuses[2].upstream_age_ms = SUSPECT_MS;
	for (uint64_t term = 2; term <= 5; term++)
		detector_view(trial->detector, trial->now_ms, term, 0);
	trial->statuses[1].term = 5;
	trial->statuses[2].term = 5;
	trial_run(trial, 1, 3000);
	assert_int_equal(trial->lost, 0);
	trial_run(trial, 1, 1000);
	assert_int_equal(trial->lost, 1);
}

#define TRIAL(test) \
	cmocka_unit_test_setup_teardown(test, trial_open, trial_close)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TRIAL(test_dead_primary_is_lost_once_replicas_agree),
		TRIAL(test_cut_from_one_node_changes_nothing),
		TRIAL(test_one_silent_replica_changes_nothing),
		TRIAL(test_lone_replica_fences_nobody),
		TRIAL(test_silence_at_all_replicas_is_a_loss),
		TRIAL(test_primary_out_of_reach_of_all_owners_is_lost),
		TRIAL(test_promotion_of_another_node_gets_its_time),
		TRIAL(test_repeated_changes_are_held_off_longer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

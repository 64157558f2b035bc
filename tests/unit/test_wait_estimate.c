#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/wait_estimate.h"

#define BEGAN_MS 10000u
#define TIMEOUT_MS 800u
#define RUN_MS 40u
#define ARRIVAL_MS 11u /* 90 statements per second */

/* What happened to the statements that arrived during a takeover. */
typedef struct {
	uint32_t arrived;
	uint32_t served;
	uint32_t lost;	    /* rejected, though waiting would have served it */
	uint32_t held;	    /* rejected more than 50 ms after it was hopeless */
	uint64_t waited_ms; /* by those that were rejected, in all */
	uint32_t early;	    /* told to retry before the takeover ends */
	uint32_t returns[8]; /* retries in each 100 ms after the takeover */
} outcome_t;

static void reject(outcome_t *outcome, uint64_t now_ms, uint64_t end_ms,
		   const takeover_end_t *end, double random)
{
	const uint64_t at_ms =
		now_ms +
		wait_estimate_retry_ms(end->latest_ms - now_ms, random);

	if (at_ms < end_ms)
		outcome->early++;
	else if ((at_ms - end_ms) / 100 < G_N_ELEMENTS(outcome->returns))
		outcome->returns[(at_ms - end_ms) / 100]++;
}

/* Replays a takeover of that duration; what is known of others is given. */
static outcome_t replay(const takeover_times_t *times, uint32_t duration_ms)
{
	const uint64_t end_ms = BEGAN_MS + duration_ms;
	GRand *random = g_rand_new_with_seed(3);
	outcome_t outcome = {0};

	for (uint64_t at_ms = BEGAN_MS; at_ms < end_ms; at_ms += ARRIVAL_MS) {
		wait_for_primary_t wait = {.now_ms = at_ms,
					   .deadline_ms = at_ms + TIMEOUT_MS,
					   .run_ms = RUN_MS};

		outcome.arrived++;
		wait.end = takeover_times_end(times, BEGAN_MS, wait.now_ms);
		while (wait.now_ms < end_ms && wait_estimate_primary(&wait)) {
			wait.now_ms += WAIT_ESTIMATE_CHECK_MS;
			wait.end = takeover_times_end(times, BEGAN_MS,
						      wait.now_ms);
		}
		if (wait.now_ms >= end_ms) {
			outcome.served++;
			continue;
		}
		outcome.lost += end_ms + RUN_MS < wait.deadline_ms;
		outcome.held += wait.now_ms > at_ms + 50;
		outcome.waited_ms += wait.now_ms - at_ms;
		reject(&outcome, wait.now_ms, end_ms, &wait.end,
		       g_rand_double(random));
	}
	g_rand_free(random);
	return outcome;
}

/*
 * The second takeover of a day, which lasts as long as the first. The hopeless
 * statements were held for 0.8 s each; those that its end reaches are served.
 */
static void test_hopeless_statements_are_rejected_at_once(void **state)
{
	takeover_times_t times = {.count = 0};
	outcome_t outcome;

	takeover_times_add(&times, 2100);
	outcome = replay(&times, 2100);
	assert_in_range(outcome.arrived, 190, 192);
	assert_int_equal(outcome.lost, 0);
	assert_int_equal(outcome.held, 0);
	assert_in_range(outcome.served, 67, 70);
}

/* Rejected callers come back after the takeover, and not all at once. */
static void test_rejected_callers_return_spread_over_time(void **state)
{
	takeover_times_t times = {.count = 0};
	outcome_t outcome;

	takeover_times_add(&times, 2100);
	outcome = replay(&times, 2100);
	assert_int_equal(outcome.early, 0);
	for (uint32_t i = 0; i < G_N_ELEMENTS(outcome.returns); i++)
		assert_in_range(outcome.returns[i], 0, 35);
}

/* A takeover that ends in time must not be anticipated by a rejection. */
static void test_quick_takeover_rejects_nobody(void **state)
{
	const takeover_times_t times = {.count = 0};
	const outcome_t outcome = replay(&times, 600);

	assert_int_equal(outcome.served, outcome.arrived);
}

/* With a slow takeover in the history, a faster one loses little. */
static void test_history_takes_the_fastest_for_rejections(void **state)
{
	takeover_times_t times = {.count = 0};
	outcome_t outcome;

	takeover_times_add(&times, 2100);
	takeover_times_add(&times, 900);
	outcome = replay(&times, 900);
	assert_int_equal(outcome.lost, 0);
}

/* The first takeover of a day is recognised as a slow one while it lasts. */
static void test_first_slow_takeover_is_recognised(void **state)
{
	const takeover_times_t times = {.count = 0};
	const outcome_t outcome = replay(&times, 2100);

	assert_int_equal(outcome.lost, 0);
	assert_in_range(outcome.waited_ms, 0,
			(outcome.arrived - outcome.served) * TIMEOUT_MS * 9 /
				10);
}

/* A takeover that outlasts all others may end at any time. */
static void test_overdue_takeover_is_waited_for(void **state)
{
	takeover_times_t times = {.count = 0};
	takeover_end_t end;

	takeover_times_add(&times, 400);
	end = takeover_times_end(&times, BEGAN_MS, BEGAN_MS + 3000);
	assert_int_equal(end.earliest_ms, BEGAN_MS + 3000);
	assert_in_range(end.latest_ms, BEGAN_MS + 3500, BEGAN_MS + 4000);
}

/*
 * A server accepts no connection for seconds. Its reads waited there for their
 * whole timeout, while other replicas had room.
 */
static void test_read_leaves_a_server_without_connections(void **state)
{
	wait_for_connection_t wait = {.left_ms = 650};

	wait.waited_ms = 150; /* a connection to another region is opening */
	assert_false(wait_estimate_moves(&wait));
	wait.waited_ms = 200;
	assert_true(wait_estimate_moves(&wait));
	wait.answers = true; /* its queue is long, and moves on */
	assert_false(wait_estimate_moves(&wait));
	wait = (wait_for_connection_t){.waited_ms = 780, .left_ms = 20};
	assert_false(wait_estimate_moves(&wait));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hopeless_statements_are_rejected_at_once),
		cmocka_unit_test(test_rejected_callers_return_spread_over_time),
		cmocka_unit_test(test_quick_takeover_rejects_nobody),
		cmocka_unit_test(test_history_takes_the_fastest_for_rejections),
		cmocka_unit_test(test_first_slow_takeover_is_recognised),
		cmocka_unit_test(test_overdue_takeover_is_waited_for),
		cmocka_unit_test(test_read_leaves_a_server_without_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

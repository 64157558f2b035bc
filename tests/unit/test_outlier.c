#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/outlier.h"

/* Few statements a second, as one node of many sends to one server. */
#define BETWEEN_MS 250

typedef struct {
	outlier_t outlier;
	uint64_t now_ms;
	uint32_t sent;
} shift_t;

/* Plays statements of which one in @p every fails; 0 for none. */
static void play(shift_t *shift, uint32_t count, uint32_t every)
{
	shift->sent = 0;
	for (uint32_t i = 0; i < count; i++) {
		shift->now_ms += BETWEEN_MS;
		if (!outlier_may_run(&shift->outlier, shift->now_ms))
			continue;
		outlier_runs(&shift->outlier, shift->now_ms);
		shift->sent++;
		outlier_answered(&shift->outlier, every && i % every == 0,
				 shift->now_ms);
	}
}

static void test_rare_failures_are_borne(void **state)
{
	shift_t shift = {.now_ms = 1000};

	play(&shift, 400, 20);
	assert_int_equal(shift.sent, 400);
	assert_int_equal(outlier_since_ms(&shift.outlier, shift.now_ms), 0);
}

static void test_server_that_fails_all_gets_probes_only(void **state)
{
	shift_t shift = {.now_ms = 1000};

	play(&shift, 20, 0);
	play(&shift, 40, 1);
	assert_in_range(shift.sent, 15, 28);
	assert_in_range(outlier_since_ms(&shift.outlier, shift.now_ms), 6000,
			8500);
}

static void test_grey_server_is_found(void **state)
{
	shift_t shift = {.now_ms = 1000};

	play(&shift, 40, 2);
	assert_true(outlier_since_ms(&shift.outlier, shift.now_ms));
}

static void test_recovery_is_noticed(void **state)
{
	shift_t shift = {.now_ms = 1000};

	play(&shift, 40, 1);
	play(&shift, 24, 0);
	assert_int_equal(outlier_since_ms(&shift.outlier, shift.now_ms), 0);
	assert_true(outlier_may_run(&shift.outlier, shift.now_ms));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rare_failures_are_borne),
		cmocka_unit_test(test_server_that_fails_all_gets_probes_only),
		cmocka_unit_test(test_grey_server_is_found),
		cmocka_unit_test(test_recovery_is_noticed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

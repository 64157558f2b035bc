#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/outlier.h"

/* Interval of the statements that one of many nodes sends to a server. */
#define INTERVAL_MS 250

typedef struct {
	outlier_t outlier;
	uint64_t now_ms;
	uint32_t sent;
} fixture_t;

/* Sends statements of which one in @p every fails; 0 for none. */
static void send_statements(fixture_t *fixture, uint32_t count, uint32_t every)
{
	fixture->sent = 0;
	for (uint32_t i = 0; i < count; i++) {
		fixture->now_ms += INTERVAL_MS;
		if (!outlier_may_run(&fixture->outlier, fixture->now_ms))
			continue;
		outlier_record_sent(&fixture->outlier, fixture->now_ms);
		fixture->sent++;
		outlier_answered(&fixture->outlier, every && i % every == 0,
				 fixture->now_ms);
	}
}

static void test_rare_failures_are_tolerated(void **state)
{
	fixture_t fixture = {.now_ms = 1000};

	send_statements(&fixture, 400, 20);
	assert_int_equal(fixture.sent, 400);
	assert_int_equal(outlier_since_ms(&fixture.outlier, fixture.now_ms), 0);
}

static void test_failing_server_gets_probes_only(void **state)
{
	fixture_t fixture = {.now_ms = 1000};

	send_statements(&fixture, 20, 0);
	send_statements(&fixture, 40, 1);
	assert_in_range(fixture.sent, 15, 28);
	assert_in_range(outlier_since_ms(&fixture.outlier, fixture.now_ms),
			6000, 8500);
}

static void test_server_that_fails_half_is_an_outlier(void **state)
{
	fixture_t fixture = {.now_ms = 1000};

	send_statements(&fixture, 40, 2);
	assert_true(outlier_since_ms(&fixture.outlier, fixture.now_ms));
}

static void test_recovery_is_noticed(void **state)
{
	fixture_t fixture = {.now_ms = 1000};

	send_statements(&fixture, 40, 1);
	send_statements(&fixture, 24, 0);
	assert_int_equal(outlier_since_ms(&fixture.outlier, fixture.now_ms), 0);
	assert_true(outlier_may_run(&fixture.outlier, fixture.now_ms));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rare_failures_are_tolerated),
		cmocka_unit_test(test_failing_server_gets_probes_only),
		cmocka_unit_test(test_server_that_fails_half_is_an_outlier),
		cmocka_unit_test(test_recovery_is_noticed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

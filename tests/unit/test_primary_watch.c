#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/primary_watch.h"

static void test_silent_primary_is_probed_then_lost(void **state)
{
	primary_watch_t watch = {.heard_ms = 1000};

	assert_false(primary_watch_must_probe(&watch, 1000));
	assert_true(primary_watch_must_probe(
		&watch, 1000 + PRIMARY_WATCH_PROBE_AFTER_MS));
	primary_watch_failed(&watch, false, 1700);
	assert_false(primary_watch_is_lost(&watch, 5000));
	primary_watch_failed(&watch, false, 2100);
	assert_true(
		primary_watch_is_lost(&watch, 1000 + PRIMARY_WATCH_LOST_MS));
}

static void test_one_failure_is_not_enough(void **state)
{
	primary_watch_t watch = {.heard_ms = 1000};

	primary_watch_failed(&watch, true, 1100);
	assert_false(primary_watch_is_lost(&watch, 9000));
}

static void test_answer_clears_failures(void **state)
{
	primary_watch_t watch = {.heard_ms = 1000};

	primary_watch_failed(&watch, false, 1700);
	primary_watch_failed(&watch, false, 2100);
	primary_watch_record_message(&watch, 2200);
	assert_false(primary_watch_is_lost(&watch, 9000));
}

static void test_refusing_primary_is_lost_sooner(void **state)
{
	primary_watch_t watch = {.heard_ms = 1000};

	primary_watch_failed(&watch, true, 1010);
	primary_watch_failed(&watch, true, 1060);
	primary_watch_failed(&watch, true, 1110);
	assert_false(primary_watch_is_lost(&watch, 1110));
	assert_true(primary_watch_is_lost(&watch, 1200));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_primary_is_probed_then_lost),
		cmocka_unit_test(test_one_failure_is_not_enough),
		cmocka_unit_test(test_answer_clears_failures),
		cmocka_unit_test(test_refusing_primary_is_lost_sooner),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

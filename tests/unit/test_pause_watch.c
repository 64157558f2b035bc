#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/pause_watch.h"

static void test_regular_ticks_are_no_pause(void **state)
{
	pause_watch_t watch = {0};

	for (uint64_t now_ms = 1000; now_ms < 9000; now_ms += PAUSE_NOTICED_MS)
		pause_watch_tick(&watch, now_ms);
	assert_false(pause_watch_paused_since(&watch, 0));
	assert_false(pause_watch_is_draining(&watch, 9000));
}

static void test_pause_is_detected(void **state)
{
	pause_watch_t watch = {0};
	const uint64_t resumed_ms = 2000 + PAUSE_NOTICED_MS + 1;

	pause_watch_tick(&watch, 2000);
	pause_watch_tick(&watch, resumed_ms);
	assert_true(pause_watch_paused_since(&watch, 2000));
	assert_false(pause_watch_paused_since(&watch, resumed_ms));
	assert_true(pause_watch_is_draining(&watch, resumed_ms));
	assert_false(
		pause_watch_is_draining(&watch, resumed_ms + PAUSE_DRAIN_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_regular_ticks_are_no_pause),
		cmocka_unit_test(test_pause_is_detected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

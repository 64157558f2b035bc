#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/primary_watch.h"

static void test_silent_primary_is_probed_then_lost(void **state)
{
	primary_watch_t watch = {.heard_ms = 1000};

	assert_false(primary_watch_must_probe(
		&watch, PRIMARY_WATCH_PROBE_AFTER_MS, 1000));
	assert_true(
		primary_watch_must_probe(&watch, PRIMARY_WATCH_PROBE_AFTER_MS,
					 1000 + PRIMARY_WATCH_PROBE_AFTER_MS));
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

/* @return probes in a minute of healthy primaries that send nothing else */
static uint32_t probes_in_a_minute(uint32_t services)
{
	const uint32_t after_ms = primary_watch_probe_after_ms(services);
	g_autofree primary_watch_t *watches = g_new0(primary_watch_t, services);
	uint32_t probes = 0;

	for (uint64_t now_ms = 0; now_ms < 60000; now_ms += 50)
		for (uint32_t i = 0; i < services; i++) {
			if (!primary_watch_must_probe(&watches[i], after_ms,
						      now_ms))
				continue;
			probes++;
			primary_watch_record_message(&watches[i], now_ms);
		}
	return probes;
}

/*
 * One coordinator watches all services. With 100 it sent 250 status queries a
 * second and opened as many connections to ports.
 */
static void test_probes_are_bounded(void **state)
{
	assert_int_equal(probes_in_a_minute(8), 8 * 200 - 8);
	assert_in_range(probes_in_a_minute(100), 1, 60 * 100);
	assert_in_range(probes_in_a_minute(200), 1, 60 * 100);
	assert_in_range(probes_in_a_minute(1600), 1, 60 * 800);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_primary_is_probed_then_lost),
		cmocka_unit_test(test_one_failure_is_not_enough),
		cmocka_unit_test(test_answer_clears_failures),
		cmocka_unit_test(test_refusing_primary_is_lost_sooner),
		cmocka_unit_test(test_probes_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

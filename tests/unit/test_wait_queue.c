#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/wait_queue.h"

static int open_queue(void **state)
{
	wait_queue_t *queue = g_new0(wait_queue_t, 1);

	wait_queue_init(queue);
	*state = queue;
	return 0;
}

static int close_queue(void **state)
{
	wait_queue_clear(*state);
	g_free(*state);
	return 0;
}

static void test_earliest_target_is_served_first(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t late = {.target_ms = 2000, .deadline_ms = 3000};
	wait_entry_t soon = {.target_ms = 1500, .deadline_ms = 3000};

	wait_queue_add(queue, &late);
	wait_queue_add(queue, &soon);
	assert_ptr_equal(wait_queue_next(queue, 1000), &soon);
	assert_ptr_equal(wait_queue_next(queue, 1000), &late);
	assert_null(wait_queue_next(queue, 1000));
}

static void test_missed_targets_are_served_last(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t missed = {.target_ms = 900, .deadline_ms = 3000};
	wait_entry_t in_time = {.target_ms = 2000, .deadline_ms = 3000};

	wait_queue_add(queue, &missed);
	wait_queue_add(queue, &in_time);
	assert_ptr_equal(wait_queue_next(queue, 1000), &in_time);
}

static void test_lower_priority_adds_a_delay(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t low = {.priority = 2, .target_ms = 2000};
	wait_entry_t high = {.priority = 0, .target_ms = 2100};
	wait_entry_t starved = {.priority = 2, .target_ms = 1200};

	wait_queue_add(queue, &low);
	wait_queue_add(queue, &high);
	wait_queue_add(queue, &starved);
	assert_ptr_equal(wait_queue_next(queue, 1000), &starved);
	assert_ptr_equal(wait_queue_next(queue, 1000), &high);
	assert_ptr_equal(wait_queue_next(queue, 1000), &low);
}

static void test_control_is_served_first(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t statement = {.target_ms = 1100};
	wait_entry_t control = {.first = true, .target_ms = 5000};

	wait_queue_add(queue, &statement);
	wait_queue_add(queue, &control);
	assert_ptr_equal(wait_queue_next(queue, 1000), &control);
}

/*
 * A burst of 300 statements at once for 4 connections, each held for 30 ms per
 * statement. Statements that cannot be served before their deadline must be
 * rejected on arrival; all that are admitted must be served in time.
 */
static void test_burst_is_rejected_at_once_or_served_in_time(void **state)
{
	wait_queue_t *queue = *state;
	const uint32_t connections = 4;
	const uint64_t hold_ms = 30;
	wait_entry_t entries[300];
	uint64_t now_ms = 10000;
	uint32_t admitted = 0;

	for (uint32_t i = 0; i < 300; i++) {
		entries[i] = (wait_entry_t){.target_ms = now_ms + 600,
					    .deadline_ms = now_ms + 1000};
		if (!wait_queue_can_serve(queue, &entries[i], connections,
					  now_ms))
			continue;
		wait_queue_add(queue, &entries[i]);
		admitted++;
	}
	assert_in_range(admitted, 100, 140);
	while (queue->entries->len) {
		for (uint32_t i = 0; i < connections; i++) {
			const wait_entry_t *entry =
				wait_queue_next(queue, now_ms);

			if (!entry)
				break;
			assert_true(now_ms < entry->deadline_ms);
			wait_queue_served(queue, hold_ms);
		}
		now_ms += hold_ms;
	}
}

static void test_estimate_follows_slow_servers(void **state)
{
	wait_queue_t *queue = *state;
	wait_entry_t entries[8] = {{0}};
	const uint64_t before_ms = wait_queue_estimate_ms(queue, 1);

	for (uint32_t i = 0; i < 8; i++)
		wait_queue_add(queue, &entries[i]);
	assert_true(wait_queue_estimate_ms(queue, 1) > before_ms);
	for (uint32_t i = 0; i < 100; i++)
		wait_queue_served(queue, 200);
	assert_in_range(wait_queue_estimate_ms(queue, 2), 750, 800);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_earliest_target_is_served_first, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_missed_targets_are_served_last, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(
			test_lower_priority_adds_a_delay, open_queue,
			close_queue),
		cmocka_unit_test_setup_teardown(test_control_is_served_first,
						open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_burst_is_rejected_at_once_or_served_in_time,
			open_queue, close_queue),
		cmocka_unit_test_setup_teardown(
			test_estimate_follows_slow_servers, open_queue,
			close_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

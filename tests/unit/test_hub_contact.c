#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/hub_contact.h"

/* When the kernel repeats a connection request that got no answer. */
#define REPEAT_MS 1000u

/* Interval at which the node checks its connections. */
#define TICK_MS 25u

/* @return when the hub accepts, if its VM is up from @p up_ms on */
static uint32_t connected_ms(uint32_t up_ms, uint32_t *attempts)
{
	hub_contact_t contact = {.near = true};
	uint32_t now_ms = 0;

	while (now_ms < up_ms) {
		const uint32_t timeout_ms =
			hub_contact_open_timeout_ms(&contact);

		if (timeout_ms > REPEAT_MS && up_ms <= now_ms + REPEAT_MS)
			return now_ms + REPEAT_MS;
		now_ms += timeout_ms + TICK_MS;
		now_ms += hub_contact_retry_ms(&contact, HUB_CONTACT_FAILED) +
			  TICK_MS;
		contact.run_time_ms = now_ms;
		++*attempts;
	}
	return now_ms;
}

/*
 * All VMs come back within 0.3 s, and this one is up before the hubs. It waited
 * 0.8 s for its first configuration, since the first request was lost and the
 * next followed 0.7 s later.
 */
static void test_hub_that_comes_back_later_is_reached_soon(void **state)
{
	for (uint32_t up_ms = 0; up_ms <= 1500; up_ms += 10) {
		uint32_t attempts = 0;

		assert_in_range(connected_ms(up_ms, &attempts), up_ms,
				up_ms + 250);
	}
}

/* A node whose hubs stay away must not send requests at that rate for ever. */
static void test_absent_hub_is_tried_less_often_in_the_end(void **state)
{
	uint32_t early = 0;
	uint32_t all = 0;

	connected_ms(5000, &early);
	connected_ms(15000, &all);
	assert_in_range(early, 15, 25);
	assert_in_range(all - early, 8, 15);
}

/* One hub freezes in a running domain: the others serve, nothing is urgent. */
static void test_running_node_is_patient(void **state)
{
	const hub_contact_t contact = {.near = true, .answered = true};

	assert_int_equal(hub_contact_open_timeout_ms(&contact), 400);
	assert_int_equal(hub_contact_retry_ms(&contact, HUB_CONTACT_FAILED),
			 300);
	assert_int_equal(hub_contact_retry_ms(&contact, HUB_CONTACT_REFUSED),
			 50);
}

/*
 * All nodes of a domain request hundreds of kilobytes over a link of 10 Mbit/s.
 * An answer of which parts keep arriving must not be requested anew.
 */
static void test_long_answer_is_awaited(void **state)
{
	const hub_contact_request_t slow = {.sent_ms = 1000, .heard_ms = 5000};
	const hub_contact_request_t silent = {.sent_ms = 1000, .heard_ms = 900};

	assert_true(hub_contact_is_receiving(&slow, 5200));
	assert_false(hub_contact_is_unresponsive(&slow, 5200));
	assert_false(hub_contact_is_receiving(&slow, 5300));
	assert_true(hub_contact_is_unresponsive(&slow, 5750));
	assert_false(hub_contact_is_receiving(&silent, 1001));
	assert_false(hub_contact_is_unresponsive(&silent, 1749));
	assert_true(hub_contact_is_unresponsive(&silent, 1750));
}

/* The whole state must not be requested of all hubs of the domain at once. */
static void test_whole_state_is_asked_of_one_hub(void **state)
{
	const hub_contact_request_t slow = {.sent_ms = 1000, .heard_ms = 5000};
	const hub_contact_request_t silent = {.sent_ms = 1000, .heard_ms = 900};

	assert_false(hub_contact_may_ask_another(&silent, 1029));
	assert_true(hub_contact_may_ask_another(&silent, 1030));
	assert_false(hub_contact_may_ask_another(&slow, 5299));
	assert_true(hub_contact_may_ask_another(&slow, 5300));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_answer_is_awaited),
		cmocka_unit_test(test_whole_state_is_asked_of_one_hub),
		cmocka_unit_test(
			test_hub_that_comes_back_later_is_reached_soon),
		cmocka_unit_test(
			test_absent_hub_is_tried_less_often_in_the_end),
		cmocka_unit_test(test_running_node_is_patient),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/send_budget.h"

#define NODES 78
#define TICK_MS 10

/*
 * Many nodes, each with little work, before one server that turns away what
 * is more than its capacity; what was turned away is tried again.
 */
typedef struct {
	send_budget_t budgets[NODES];
	uint32_t backlog[NODES];
	uint32_t per_tick; /* the server's capacity */
	uint32_t sent;
	uint32_t taken;
	uint32_t refused;
} shift_t;

static void tick(shift_t *shift, uint64_t now_ms, uint32_t arrivals)
{
	uint32_t room = shift->per_tick;
	/* Another node is first each time. */
	const uint32_t first = (uint32_t)(now_ms / TICK_MS * 31);

	for (uint32_t i = 0; i < arrivals; i++)
		shift->backlog[(first * 7 + i * 13) % NODES]++;
	for (uint32_t i = 0; i < NODES; i++) {
		const uint32_t node = (first + i) % NODES;
		send_budget_t *budget = &shift->budgets[node];
		uint32_t tries = shift->backlog[node];

		for (; tries; tries--) {
			const bool room_left = room > 0;

			if (!send_budget_allows(budget, 2, now_ms)) {
				shift->refused++;
				shift->backlog[node]--;
				continue;
			}
			shift->sent++;
			send_budget_answered(budget, room_left, now_ms);
			if (!room_left)
				continue;
			room--;
			shift->taken++;
			shift->backlog[node]--;
		}
	}
}

static void play(shift_t *shift, uint64_t from_ms, uint64_t to_ms,
		 uint32_t arrivals)
{
	shift->sent = shift->taken = shift->refused = 0;
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += TICK_MS)
		tick(shift, now_ms, arrivals);
}

static void test_server_with_room_gets_all(void **state)
{
	shift_t shift = {.per_tick = 4};

	play(&shift, 10000, 20000, 3);
	assert_int_equal(shift.refused, 0);
	assert_int_equal(shift.taken, 3000);
}

/* Twice the capacity: the server is kept busy and no more. */
static void test_overloaded_server_is_not_stormed(void **state)
{
	shift_t shift = {.per_tick = 4};

	play(&shift, 10000, 13000, 8);
	play(&shift, 13000, 23000, 8);
	assert_in_range(shift.taken, 3600, 4000);
	assert_in_range(shift.sent, shift.taken, 2 * shift.taken);
	assert_in_range(shift.refused, 3600, 4600);
}

static void test_recovery_is_noticed(void **state)
{
	shift_t shift = {.per_tick = 0};

	play(&shift, 10000, 15000, 4);
	assert_int_equal(shift.taken, 0);
	assert_in_range(shift.sent, 1, 900);
	shift.per_tick = 6;
	play(&shift, 15000, 17000, 4);
	play(&shift, 17000, 19000, 4);
	assert_int_equal(shift.refused, 0);
}

static void test_urgent_work_has_more_room(void **state)
{
	send_budget_t budget = {0};

	for (uint32_t i = 0; i < 30; i++)
		send_budget_answered(&budget, i % 3 < 2, 10000 + i);
	assert_true(send_budget_allows(&budget, 1, 10030));
	assert_false(send_budget_allows(&budget, 2, 10030));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_with_room_gets_all),
		cmocka_unit_test(test_overloaded_server_is_not_stormed),
		cmocka_unit_test(test_recovery_is_noticed),
		cmocka_unit_test(test_urgent_work_has_more_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/memory_budget.h"

#define LIMIT_BYTES 65000000u

/* Takes parts of this size for a holder until one is refused. */
static void take_all(memory_budget_t *budget, uint64_t *holder_bytes,
		     uint64_t part_bytes)
{
	while (memory_budget_resize(budget, holder_bytes, 0, part_bytes))
		;
}

static void test_one_holder_gets_a_sixteenth(void **state)
{
	memory_budget_t *budget = memory_budget_create(LIMIT_BYTES);
	uint64_t holder = 0;

	take_all(budget, &holder, 100);
	assert_int_equal(holder, LIMIT_BYTES / 16);
	assert_int_equal(memory_budget_held(budget), holder);
	assert_int_equal(memory_budget_room(budget, holder), 0);
	memory_budget_destroy(budget);
}

/* Guards against a node killed for its memory (review/8). */
static void test_greedy_holders_leave_room_for_small_ones(void **state)
{
	memory_budget_t *budget = memory_budget_create(LIMIT_BYTES);
	uint64_t greedy[100] = {0};
	uint64_t small[500] = {0};

	for (uint32_t i = 0; i < G_N_ELEMENTS(greedy); i++)
		take_all(budget, &greedy[i], 100000);
	assert_true(memory_budget_held(budget) <= LIMIT_BYTES / 4 * 3);
	for (uint32_t i = 0; i < G_N_ELEMENTS(small); i++)
		assert_true(memory_budget_resize(budget, &small[i], 0,
						 MEMORY_BUDGET_SMALL_BYTES));
	assert_false(memory_budget_resize(budget, &small[0],
					  MEMORY_BUDGET_SMALL_BYTES,
					  MEMORY_BUDGET_SMALL_BYTES + 1));
	assert_true(memory_budget_held(budget) <= LIMIT_BYTES);
	memory_budget_destroy(budget);
}

static void test_what_is_given_back_can_be_taken(void **state)
{
	memory_budget_t *budget = memory_budget_create(16000);
	uint64_t first = 0;
	uint64_t second = 0;

	assert_true(memory_budget_resize(budget, &first, 0, 1000));
	assert_false(memory_budget_resize(budget, &first, 1000, 1001));
	assert_int_equal(first, 1000);
	assert_true(memory_budget_resize(budget, &first, 1000, 100));
	assert_true(memory_budget_resize(budget, &first, 0, 900));
	assert_true(memory_budget_resize(budget, &second, 0, 1000));
	assert_int_equal(memory_budget_held(budget), 2000);
	memory_budget_release(budget, &first);
	memory_budget_release(budget, &second);
	assert_int_equal(first + second, 0);
	assert_int_equal(memory_budget_held(budget), 0);
	memory_budget_destroy(budget);
}

static void test_budget_without_a_limit(void **state)
{
	memory_budget_t *budget = memory_budget_create(0);
	uint64_t holder = 0;

	assert_true(
		memory_budget_resize(budget, &holder, 0, UINT64_C(1) << 40));
	assert_int_equal(memory_budget_held(budget), UINT64_C(1) << 40);
	memory_budget_destroy(budget);
}

/* Whoever keeps the least is refused only if everybody would be. */
static void test_smaller_holders_have_more_room(void **state)
{
	memory_budget_t *budget = memory_budget_create(LIMIT_BYTES);
	g_autoptr(GRand) random = g_rand_new_with_seed(20261207);
	uint64_t holders[64] = {0};
	uint64_t sum = 0;

	for (uint32_t i = 0; i < 100000; i++) {
		const uint32_t which =
			(uint32_t)g_rand_int_range(random, 0, 64);
		const uint64_t part =
			(uint64_t)g_rand_int_range(random, 1, 2000000);
		const uint64_t before = holders[which];
		const uint64_t room = memory_budget_room(budget, before);

		if (g_rand_int_range(random, 0, 8) == 0)
			memory_budget_release(budget, &holders[which]);
		else
			assert_int_equal(memory_budget_resize(budget,
							      &holders[which],
							      0, part),
					 part <= room);
		sum += holders[which] - before;
		assert_int_equal(memory_budget_held(budget), sum);
		assert_true(sum <= LIMIT_BYTES);
		assert_true(holders[which] <= LIMIT_BYTES / 16);
		for (uint32_t j = 0; j < 64; j++)
			if (holders[j] < holders[which])
				assert_true(memory_budget_room(budget,
							       holders[j]) >=
					    memory_budget_room(budget,
							       holders[which]));
	}
	memory_budget_destroy(budget);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_holder_gets_a_sixteenth),
		cmocka_unit_test(test_greedy_holders_leave_room_for_small_ones),
		cmocka_unit_test(test_what_is_given_back_can_be_taken),
		cmocka_unit_test(test_budget_without_a_limit),
		cmocka_unit_test(test_smaller_holders_have_more_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

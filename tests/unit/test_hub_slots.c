#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/hub_slots.h"

#define SEED 20261204

/* A domain whose nodes start at the same moment; three VMs are larger. */
#define NODES 51u
#define LARGE_NODES 3u
#define LARGE_SHARE 0.5
#define SMALL_SHARE 0.12

/* Time from the decision to claim a slot until other nodes read that. */
#define CLAIM_MS 120u

/* Nodes that may turn to the store with a claim, in a start of all nodes. */
#define CLAIMS_MAX 12u

static void test_own_slot_is_claimed_first(void **state)
{
	const hub_slots_t slots = {{NULL, "node-7", NULL}};

	assert_int_equal(hub_slots_claimable(&slots, "node-7"), 1);
	assert_true(hub_slots_is_own(&slots, 1, "node-7"));
	assert_int_not_equal(hub_slots_claimable(&slots, "node-8"), 1);
	assert_int_equal(hub_slots_free(&slots), 2);
}

static void test_no_slot_is_claimed_of_another_node(void **state)
{
	const hub_slots_t slots = {{"node-1", "node-2", "node-3"}};

	assert_int_equal(hub_slots_claimable(&slots, "node-8"), -1);
	assert_int_equal(hub_slots_free(&slots), 0);
}

/* Replays the start of a domain in steps of a millisecond. */
static void test_start_of_all_nodes_makes_few_claims(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(SEED);
	const hub_slots_t empty = {{NULL}};
	uint32_t delays_ms[NODES];
	char names[NODES][16];
	hub_slots_t slots = {{NULL}};
	uint32_t readable_ms[HUB_SLOTS] = {0};
	uint32_t claims = 0;

	for (uint32_t i = 0; i < NODES; i++) {
		snprintf(names[i], sizeof(names[i]), "node-%u", i);
		delays_ms[i] = hub_slots_delay_ms(
			&empty, i < LARGE_NODES ? LARGE_SHARE : SMALL_SHARE,
			g_rand_double(random));
	}
	for (uint32_t now_ms = 0; now_ms < 1000; now_ms++) {
		for (uint32_t i = 0; i < NODES; i++) {
			hub_slots_t seen = {{NULL}};
			int slot;

			if (delays_ms[i] != now_ms)
				continue;
			for (uint32_t j = 0; j < HUB_SLOTS; j++)
				if (slots.holders[j] &&
				    now_ms >= readable_ms[j])
					seen.holders[j] = slots.holders[j];
			slot = hub_slots_claimable(&seen, names[i]);
			if (slot < 0)
				continue;
			claims++;
			if (slots.holders[slot]) { /* taken: reads again */
				delays_ms[i] = now_ms + CLAIM_MS;
				continue;
			}
			slots.holders[slot] = names[i];
			readable_ms[slot] = now_ms + CLAIM_MS;
		}
	}
	assert_int_equal(hub_slots_free(&slots), 0);
	assert_in_range(claims, HUB_SLOTS, CLAIMS_MAX);
}

/* While other hubs serve the domain, a free slot is no hurry. */
static void test_claims_are_spread_while_a_hub_serves(void **state)
{
	const hub_slots_t empty = {{NULL}};
	const hub_slots_t served = {{"node-1", NULL, NULL}};

	assert_true(hub_slots_delay_ms(&served, LARGE_SHARE, 0.5) >
		    10 * hub_slots_delay_ms(&empty, LARGE_SHARE, 0.5));
	assert_true(hub_slots_delay_ms(&empty, LARGE_SHARE, 0.5) <
		    hub_slots_delay_ms(&empty, SMALL_SHARE, 0.5));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_slot_is_claimed_first),
		cmocka_unit_test(test_no_slot_is_claimed_of_another_node),
		cmocka_unit_test(test_start_of_all_nodes_makes_few_claims),
		cmocka_unit_test(test_claims_are_spread_while_a_hub_serves),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

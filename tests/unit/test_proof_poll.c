#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/primary_lease.h"
#include "coordination/proof_poll.h"

#define MINUTE_MS 60000u
#define HUBS 4u
#define REPLICAS 2u

typedef struct {
	uint32_t queries;	/* status queries of all hubs */
	uint32_t services_lost; /* services without a proof, in any step */
} totals_t;

/*
 * Simulates a minute without the store. Each hub that polls has its answers at
 * its next step; with @p shared it also has the proofs of all others then.
 */
static totals_t play(uint32_t services, bool large, bool needed, bool shared)
{
	g_autofree uint64_t *until = g_new0(uint64_t, services * HUBS);
	proof_poll_t polls[HUBS] = {0};
	totals_t totals = {0};

	for (uint64_t now = 1000; now < MINUTE_MS + 1000;
	     now += PROOF_POLL_STEP_MS)
		for (uint32_t hub = 0; hub < HUBS; hub++) {
			const bool round = proof_poll_step(&polls[hub], needed,
							   large, now);

			for (uint32_t i = 0; i < services; i++) {
				uint64_t *own = &until[i * HUBS + hub];

				totals.services_lost +=
					now > 2000 && *own <= now;
				for (uint32_t j = 0; shared && j < HUBS; j++)
					*own = MAX(*own, until[i * HUBS + j]);
				if (!round || !proof_poll_wants(&polls[hub], i,
								*own, now))
					continue;
				totals.queries += REPLICAS;
				*own = now + PRIMARY_LEASE_VALID_MS;
			}
		}
	return totals;
}

static void test_nothing_is_asked_while_the_store_renews(void **state)
{
	assert_int_equal(play(100, true, false, false).queries, 0);
	assert_int_equal(play(8, false, false, false).queries, 0);
}

/* Four provers asked 200 replicas each 300 ms: 160,000 in a minute. */
static void test_queries_of_a_large_site_are_bounded(void **state)
{
	const totals_t alone = play(100, true, true, false);
	const totals_t shared = play(100, true, true, true);

	assert_int_equal(alone.services_lost, 0);
	assert_int_equal(shared.services_lost, 0);
	assert_in_range(alone.queries, 1, 82000);
	assert_in_range(shared.queries, 1, 25000);
}

static void test_each_round_of_a_small_site_asks_all(void **state)
{
	const totals_t totals = play(8, false, true, false);

	assert_int_equal(totals.services_lost, 0);
	assert_int_equal(totals.queries, HUBS * 8 * REPLICAS * MINUTE_MS / 300);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_is_asked_while_the_store_renews),
		cmocka_unit_test(test_queries_of_a_large_site_are_bounded),
		cmocka_unit_test(test_each_round_of_a_small_site_asks_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

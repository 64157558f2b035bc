#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/connection_share.h"

#define DOMAINS_MAX 6
#define HUBS_MAX 18
#define PROVERS_MIN 4

/* Control connections of a takeover, from hubs that keep none. */
#define TAKEOVER 2

/* @return connections of all hubs, while one hub steps in for a failed one */
static uint32_t sum(uint32_t limit, uint32_t hubs)
{
	const uint32_t domains = MIN(hubs, DOMAINS_MAX);
	const uint32_t provers = MIN(hubs, PROVERS_MIN);
	uint32_t total = provers + TAKEOVER;
	uint32_t largest = 0;

	for (uint32_t rank = 0; rank < domains; rank++) {
		const uint32_t share = connection_share_domain(
			&(connection_share_domain_t){.limit = limit,
						     .provers = provers,
						     .domains = domains,
						     .rank = rank});

		assert_true(share >= 1);
		largest = MAX(largest, share);
		total += share;
	}
	return total + largest;
}

/* A server rejects connections above its limit. */
static void test_all_hubs_stay_within_the_limit(void **state)
{
	static const uint32_t limits[] = {40, 70, 73};

	for (uint32_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		for (uint32_t hubs = 1; hubs <= HUBS_MAX; hubs++) {
			assert_true(sum(limits[i], hubs) <= limits[i]);
			assert_true(sum(limits[i], hubs) >= limits[i] - 2);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_hubs_stay_within_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

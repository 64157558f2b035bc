#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/connection_upkeep.h"

#define HUBS 18u
#define HUBS_OF_DOMAIN 3u
#define PROVERS 4u

typedef struct {
	uint32_t kept;	 /* connections of all hubs that stay open once used */
	uint32_t opened; /* of them, opened because the hubs started */
} totals_t;

static totals_t count(uint32_t servers, uint32_t share)
{
	const bool large = connection_upkeep_is_large(servers);
	totals_t totals = {0};

	for (uint32_t hub = 0; hub < HUBS; hub++)
		for (uint32_t server = 0; server < servers; server++) {
			const connection_upkeep_t input = {
				.large = large,
				.share = share,
				.prover = hub < PROVERS,
				.first = hub % HUBS_OF_DOMAIN ==
					 server % HUBS_OF_DOMAIN,
				.coordinator = hub == HUBS - 1,
			};
			const uint32_t kept = connection_upkeep_kept(&input);

			totals.kept += kept;
			totals.opened += connection_upkeep_opens(
				large, input.prover, kept);
		}
	return totals;
}

/* With 300 servers the hubs opened and kept 10,800 connections. */
static void test_many_servers_have_few_connections(void **state)
{
	const totals_t totals = count(300, 2);

	/* Two of each domain's first hub, one of other provers, the watcher. */
	assert_in_range(totals.kept, 1, 6 * 300 * 2 + (PROVERS + 1) * 300);
	assert_int_equal(totals.opened, PROVERS * 300);
}

/* The usual site: 8 services with 3 servers each. */
static void test_few_servers_are_kept_by_all_hubs(void **state)
{
	const totals_t totals = count(24, 2);

	assert_int_equal(totals.kept, HUBS * 24 * 2);
	assert_int_equal(totals.opened, HUBS * 24);
}

/* Where there are more hubs than connections, only provers keep one. */
static void test_provers_keep_one_of_few(void **state)
{
	const totals_t totals = count(24, 0);

	assert_int_equal(totals.kept, PROVERS * 24);
	assert_int_equal(totals.opened, PROVERS * 24);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_many_servers_have_few_connections),
		cmocka_unit_test(test_few_servers_are_kept_by_all_hubs),
		cmocka_unit_test(test_provers_keep_one_of_few),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

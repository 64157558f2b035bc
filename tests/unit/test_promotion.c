#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/promotion.h"

static void ignore_request(void *context, uint32_t server,
			   server_operation_t operation, uint64_t term)
{
}

static void ignore_event(void *context, promotion_event_t event, uint64_t term,
			 uint32_t server)
{
}

/* @return the term that a coordinator of that identity takes first */
static uint64_t first_term(uint64_t identity)
{
	const promotion_rule_t rule = {
		.servers = 3,
		.replicas = 1,
		.identity = identity,
		.guards = PROMOTION_GUARD_ALL,
	};
	const promotion_handlers_t handlers = {
		.send_request = ignore_request,
		.event = ignore_event,
	};
	promotion_t *promotion = promotion_create(rule, handlers);
	uint64_t term;

	promotion_start(promotion, 1000);
	term = promotion_report(promotion).term;
	promotion_destroy(promotion);
	return term;
}

/*
 * Guards against two coordinators with one term: each would take the other's
 * fences for its own and promote a server of its own choice.
 */
static void test_terms_of_two_coordinators_differ(void **state)
{
	assert_true(first_term(0x1000001) != first_term(0x2000001));
	assert_true(first_term(0x100000001) != first_term(0x200000001));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_terms_of_two_coordinators_differ),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/service_interest.h"

typedef struct {
	service_interest_t interest;
	service_keys_t told;
	service_keys_t added;
	service_keys_t removed;
} node_t;

static void tell(node_t *node, uint64_t now_ms)
{
	service_interest_tell(&node->interest, &node->told, &node->added,
			      &node->removed, now_ms);
}

static void test_only_changes_are_told(void **state)
{
	node_t node = {0};

	service_interest_used(&node.interest, 7, 1000);
	service_interest_used(&node.interest, 8, 1000);
	tell(&node, 1000);
	assert_int_equal(node.added.count, 2);
	service_interest_used(&node.interest, 8, 1100);
	service_interest_used(&node.interest, 9, 1100);
	tell(&node, 1100);
	assert_int_equal(node.added.count, 1);
	assert_int_equal(node.added.keys[0], 9);
	assert_int_equal(node.removed.count, 0);
}

/* A service that is still in use stays, one that is not is withdrawn. */
static void test_unused_services_are_withdrawn(void **state)
{
	node_t node = {0};

	service_interest_used(&node.interest, 7, 1000);
	service_interest_used(&node.interest, 8, 1000);
	tell(&node, 1000);
	service_interest_used(&node.interest, 8, 2000);
	tell(&node, 1000 + SERVICE_INTEREST_KEPT_MS);
	assert_int_equal(node.added.count, 0);
	assert_int_equal(node.removed.count, 1);
	assert_int_equal(node.removed.keys[0], 7);
	assert_true(service_keys_contain(&node.told, 8));
}

/* Callers that use all of 1,600 services must not make the requests grow. */
static void test_number_of_services_is_bounded(void **state)
{
	node_t node = {0};

	for (uint64_t key = 0; key < 1600; key++)
		service_interest_used(&node.interest, key, 1000 + key);
	tell(&node, 3000);
	assert_int_equal(node.added.count, SERVICE_INTEREST_MAX);
	assert_true(service_keys_contain(&node.told, 1599));
	assert_false(service_keys_contain(&node.told, 0));
	service_interest_used(&node.interest, 0, 4000);
	tell(&node, 4000);
	assert_int_equal(node.added.count, 1);
	assert_int_equal(node.removed.count, 1);
	assert_int_equal(node.removed.keys[0], 1600 - SERVICE_INTEREST_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_changes_are_told),
		cmocka_unit_test(test_unused_services_are_withdrawn),
		cmocka_unit_test(test_number_of_services_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

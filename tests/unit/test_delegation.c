#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "coordination/delegation.h"

/* The records before and with the takeover. */
#define BEFORE 100
#define TAKEOVER 101

/* Nodes that follow one hub. */
#define NODES 48u

static void test_takeover_waits_for_the_next_request(void **state)
{
	delegation_t *delegation = delegation_create();

	delegation_requested(delegation, 1, BEFORE);
	delegation_answered(delegation, 1, BEFORE, 1200);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 100), 1200);
	delegation_requested(delegation, 1, BEFORE);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 400), 1200);
	/* The answer with the takeover; its proofs come with that record. */
	delegation_answered(delegation, 1, TAKEOVER, 1600);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 400), 1200);
	delegation_requested(delegation, 1, TAKEOVER);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 401), 0);
	delegation_destroy(delegation);
}

static void test_new_lease_waits_for_every_proof(void **state)
{
	delegation_t *delegation = delegation_create();

	delegation_requested(delegation, 1, TAKEOVER);
	delegation_answered(delegation, 1, TAKEOVER, 1200);
	assert_int_equal(delegation_until_ms(delegation, DELEGATION_ALL, 100),
			 1200);
	delegation_requested(delegation, 1, TAKEOVER);
	delegation_answered(delegation, 1, TAKEOVER, 0);
	assert_int_equal(delegation_until_ms(delegation, DELEGATION_ALL, 100),
			 1200);
	delegation_requested(delegation, 1, TAKEOVER);
	assert_int_equal(delegation_until_ms(delegation, DELEGATION_ALL, 100),
			 0);
	delegation_destroy(delegation);
}

/* A node may use proofs of a hub to which its connection broke. */
static void test_lost_connection_ends_no_proof(void **state)
{
	delegation_t *delegation = delegation_create();

	delegation_requested(delegation, 1, BEFORE);
	delegation_answered(delegation, 1, BEFORE, 1200);
	delegation_left(delegation, 1, 300);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 300), 1200);
	/* The node connects again and learns of the takeover elsewhere. */
	delegation_requested(delegation, 2, TAKEOVER);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 500), 1200);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 1200), 0);
	delegation_destroy(delegation);
}

/*
 * A primary is replaced while one of many nodes is frozen: the hub confirms
 * when that node's proofs have expired, and not later.
 */
static void test_one_frozen_node_delays_until_expiry(void **state)
{
	delegation_t *delegation = delegation_create();

	for (uint64_t id = 0; id < NODES; id++) {
		delegation_requested(delegation, id, BEFORE);
		delegation_answered(delegation, id, BEFORE, 1000 + id);
	}
	for (uint64_t id = 1; id < NODES; id++) {
		delegation_requested(delegation, id, BEFORE);
		delegation_answered(delegation, id, TAKEOVER, 1500);
		delegation_requested(delegation, id, TAKEOVER);
		delegation_answered(delegation, id, TAKEOVER, 1800);
	}
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 600), 1000);
	assert_int_equal(delegation_until_ms(delegation, TAKEOVER, 1000), 0);
	assert_int_equal(delegation_until_ms(delegation, DELEGATION_ALL, 600),
			 1800);
	delegation_destroy(delegation);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_takeover_waits_for_the_next_request),
		cmocka_unit_test(test_new_lease_waits_for_every_proof),
		cmocka_unit_test(test_lost_connection_ends_no_proof),
		cmocka_unit_test(test_one_frozen_node_delays_until_expiry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

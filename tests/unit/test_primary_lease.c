#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "coordination/primary_lease.h"
#include "state/store_revision.h"

static const char *const replicas[] = {"b", "c"};

/* Term 1 with primary a, read at revision 20 after a registration at 10. */
static void init(primary_lease_t *service, node_lease_t *node)
{
	*service = (primary_lease_t){0};
	*node = (node_lease_t){.lease = 7, .registered_at = 10};
	primary_lease_apply_record(service, 1, "a", false, 20);
	primary_lease_set_replicas(service, replicas, 2);
}

static void test_renewal_proof_expires(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	assert_false(primary_lease_valid(&service, &node, 5000));
	node_lease_renewed(&node, 5000);
	assert_true(primary_lease_valid(&service, &node, 5000));
	assert_true(primary_lease_valid(&service, &node,
					5000 + PRIMARY_LEASE_VALID_MS - 1));
	assert_false(primary_lease_valid(&service, &node,
					 5000 + PRIMARY_LEASE_VALID_MS));
}

static void test_older_renewal_shortens_nothing(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	node_lease_renewed(&node, 5000);
	node_lease_renewed(&node, 4000);
	assert_true(primary_lease_valid(&service, &node, 5500));
}

static void test_record_must_be_read_after_the_registration(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	node.registered_at = 30;
	node_lease_renewed(&node, 5000);
	assert_false(primary_lease_valid(&service, &node, 5000));
	primary_lease_unchanged(&service, 30);
	assert_true(primary_lease_valid(&service, &node, 5000));
}

/* A lease of the new era proves nothing for a record of the one before. */
static void test_record_of_an_earlier_era_does_not_count(void **state)
{
	const int64_t later = store_revision_make(2, 5);
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	node.registered_at = later;
	node_lease_renewed(&node, 5000);
	assert_false(primary_lease_unchanged(&service, later + 1));
	assert_false(primary_lease_valid(&service, &node, 5000));
	primary_lease_apply_record(&service, 1, "a", false, later + 2);
	assert_true(primary_lease_valid(&service, &node, 5000));
}

/* A service that is configured after its record was written and read. */
static void test_record_counts_after_a_read_without_it(void **state)
{
	primary_lease_t service = {0};
	node_lease_t node = {.lease = 7, .registered_at = 10};

	node_lease_renewed(&node, 5000);
	primary_lease_unchanged(&service, 30);
	primary_lease_apply_record(&service, 1, "a", false, 20);
	assert_true(primary_lease_valid(&service, &node, 5000));
}

/* A node without a registration uses the proofs of hubs. */
static void test_delegated_proof_needs_no_registration(void **state)
{
	primary_lease_t service = {0};
	const node_lease_t node = {0};

	primary_lease_apply_record(&service, 1, "a", false, 20);
	assert_false(primary_lease_valid(&service, &node, 5000));
	primary_lease_delegated(&service, 6000);
	assert_true(primary_lease_valid(&service, &node, 5999));
	assert_false(primary_lease_valid(&service, &node, 6000));
	assert_int_equal(primary_lease_own_until_ms(&service, &node), 0);
	primary_lease_apply_record(&service, 1, "a", true, 21);
	assert_false(primary_lease_valid(&service, &node, 5000));
}

static void test_takeover_ends_use_at_once(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	node_lease_renewed(&node, 5000);
	primary_lease_apply_record(&service, 1, "a", true, 21);
	assert_false(primary_lease_valid(&service, &node, 5000));
}

static void test_older_records_change_nothing(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	primary_lease_apply_record(&service, 2, "b", false, 25);
	primary_lease_apply_record(&service, 1, "a", false, 22);
	primary_lease_apply_record(&service, 1, "a", false, 26);
	assert_string_equal(service.primary, "b");
	assert_int_equal(service.term, 2);
}

static void test_all_replicas_prove_in_one_round(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	primary_lease_replica_answer(&service, "b", false, 1, 5000);
	assert_false(primary_lease_valid(&service, &node, 5001));
	primary_lease_replica_answer(&service, "c", false, 2, 5300);
	assert_false(primary_lease_valid(&service, &node, 5301));
	primary_lease_replica_answer(&service, "b", false, 2, 5290);
	assert_true(primary_lease_valid(&service, &node, 5301));
	assert_false(primary_lease_valid(&service, &node,
					 5290 + PRIMARY_LEASE_VALID_MS));
}

/*
 * One replica answers just before it is promoted, the fenced one just after its
 * fence was lifted. Answers of different rounds must not make a proof.
 */
static void test_answers_around_a_promotion_prove_nothing(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	primary_lease_replica_answer(&service, "b", true, 1, 5000);
	primary_lease_replica_answer(&service, "c", false, 1, 5000);
	primary_lease_replica_answer(&service, "c", false, 2, 5600);
	primary_lease_replica_answer(&service, "b", false, 3, 5800);
	assert_false(primary_lease_valid(&service, &node, 5801));
}

static void test_fenced_replica_ends_the_proof(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	primary_lease_replica_answer(&service, "b", false, 1, 5000);
	primary_lease_replica_answer(&service, "c", false, 1, 5000);
	primary_lease_replica_answer(&service, "b", true, 2, 5300);
	assert_false(primary_lease_valid(&service, &node, 5301));
}

static void test_one_replica_proves_nothing(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	primary_lease_set_replicas(&service, replicas, 1);
	primary_lease_replica_answer(&service, "b", false, 1, 5000);
	assert_false(primary_lease_valid(&service, &node, 5001));
}

static void test_changed_replicas_discard_proofs(void **state)
{
	static const char *const others[] = {"b", "d"};
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	primary_lease_replica_answer(&service, "b", false, 1, 5000);
	primary_lease_set_replicas(&service, others, 2);
	primary_lease_replica_answer(&service, "d", false, 1, 5000);
	assert_false(primary_lease_valid(&service, &node, 5001));
}

/*
 * Answers that arrive after the node has lost its lease must not make a proof
 * before the node has registered again and read the record.
 */
static void test_lost_lease_needs_a_new_reading(void **state)
{
	primary_lease_t service;
	node_lease_t node;

	init(&service, &node);
	node_lease_lost(&node);
	primary_lease_forget_proofs(&service);
	primary_lease_replica_answer(&service, "b", false, 1, 5000);
	primary_lease_replica_answer(&service, "c", false, 1, 5000);
	assert_false(primary_lease_valid(&service, &node, 5001));
	node.registered_at = 30;
	assert_false(primary_lease_valid(&service, &node, 5001));
	primary_lease_apply_record(&service, 1, "a", true, 31);
	assert_false(primary_lease_valid(&service, &node, 5001));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_renewal_proof_expires),
		cmocka_unit_test(test_older_renewal_shortens_nothing),
		cmocka_unit_test(
			test_record_must_be_read_after_the_registration),
		cmocka_unit_test(test_record_of_an_earlier_era_does_not_count),
		cmocka_unit_test(test_record_counts_after_a_read_without_it),
		cmocka_unit_test(test_delegated_proof_needs_no_registration),
		cmocka_unit_test(test_takeover_ends_use_at_once),
		cmocka_unit_test(test_older_records_change_nothing),
		cmocka_unit_test(test_all_replicas_prove_in_one_round),
		cmocka_unit_test(test_answers_around_a_promotion_prove_nothing),
		cmocka_unit_test(test_fenced_replica_ends_the_proof),
		cmocka_unit_test(test_one_replica_proves_nothing),
		cmocka_unit_test(test_changed_replicas_discard_proofs),
		cmocka_unit_test(test_lost_lease_needs_a_new_reading),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

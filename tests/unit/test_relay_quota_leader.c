#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "relay/relay_quota_leader.h"
#include "state/store_revision.h"

#define TIMEOUT_MS 10000
#define KEY RELAY_QUOTA_PREFIX "akl-a"

/* A store that holds the last transaction until the test answers it. */
typedef struct {
	struct event_base *base;
	kv_store_t store;
	catalog_t *catalog;
	relay_quota_leader_t *leader;
	kv_done_t commit; /* callback of the transaction under way, or NULL */
	void *commit_context;
	char *value; /* that it writes */
	int64_t condition;
} fixture_t;

static void fake_commit(void *self, const kv_transaction_t *transaction,
			kv_done_t done, void *context)
{
	fixture_t *fixture = self;

	assert_int_equal(transaction->conditions_count, 1);
	assert_int_equal(transaction->puts_count, 1);
	assert_string_equal(transaction->conditions[0].key, KEY);
	assert_string_equal(transaction->puts[0].key, KEY);
	fixture->condition = transaction->conditions[0].revision;
	g_free(fixture->value);
	fixture->value = g_strdup(transaction->puts[0].value);
	fixture->commit = done;
	fixture->commit_context = context;
}

static bool is_hub(void *context, const char *node)
{
	return true;
}

static uint64_t heard_ms(void *context, const char *node)
{
	return clock_boot_ms();
}

static catalog_t *create_catalog(bool has_quota)
{
	catalog_t *catalog = catalog_new();
	catalog_customer_t *customer = catalog_customer_new("acme");

	customer->has_quota = has_quota;
	customer->rate_per_s = 1000000;
	customer->burst = 10;
	catalog_add_customer(catalog, customer);
	return catalog;
}

/* A hub that is claiming its key. */
static int open_claiming_fixture(void **state)
{
	static const kv_store_calls_t calls = {.commit = fake_commit};
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	fixture->store = (kv_store_t){.calls = &calls, .self = fixture};
	fixture->catalog = create_catalog(true);
	fixture->leader = relay_quota_leader_create(
		fixture->base, &fixture->store, "node-1", "akl-a",
		(quota_share_t){6, 0},
		(relay_quota_leader_handlers_t){.is_hub = is_hub,
						.heard_ms = heard_ms});
	relay_quota_leader_configure(fixture->leader, fixture->catalog);
	relay_quota_leader_set_hub(fixture->leader, true);
	*state = fixture;
	return 0;
}

static int open_fixture(void **state)
{
	open_claiming_fixture(state);
	relay_quota_leader_registered(((fixture_t *)*state)->leader);
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_quota_leader_destroy(fixture->leader);
	catalog_unref(fixture->catalog);
	event_base_free(fixture->base);
	g_free(fixture->value);
	g_free(fixture);
	return 0;
}

static void run_until_commit(fixture_t *fixture)
{
	const uint64_t end_ms = clock_boot_ms() + TIMEOUT_MS;

	while (!fixture->commit && clock_boot_ms() < end_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_non_null(fixture->commit);
}

static void answer_commit(fixture_t *fixture, kv_result_t result,
			  int64_t revision)
{
	const kv_done_t commit = fixture->commit;
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t answer = {.result = result,
				    .era = 1,
				    .items = none,
				    .revision =
					    store_revision_make(1, revision)};

	fixture->commit = NULL;
	commit(fixture->commit_context, &answer);
}

static void read_record(fixture_t *fixture, const char *value, int64_t revision)
{
	static char key[] = KEY;
	g_autoptr(GBytes) bytes = g_bytes_new(value, strlen(value));
	const kv_item_t item = {.key = key,
				.value = bytes,
				.revision = store_revision_make(1, revision)};

	relay_quota_leader_key_changed(fixture->leader, &item);
	relay_quota_leader_synced(fixture->leader,
				  store_revision_make(1, revision),
				  clock_boot_ms());
}

static bool admits(fixture_t *fixture, const char *customer, uint32_t *granted)
{
	quota_admission_t admission;

	*granted = 0;
	/* The bucket holds one token after a millisecond. */
	g_usleep(5000);
	if (!relay_quota_leader_admit(fixture->leader, customer, 1, &admission))
		return false;
	*granted = admission.granted;
	return true;
}

static void test_hub_takes_a_record_that_is_missing(void **state)
{
	fixture_t *fixture = *state;
	uint32_t granted;

	relay_quota_leader_synced(fixture->leader, store_revision_make(1, 4),
				  clock_boot_ms());
	run_until_commit(fixture);
	assert_int_equal(fixture->condition, 0);
	assert_string_equal(fixture->value, "node-1 1 leading");
	assert_false(admits(fixture, "acme", &granted));
	answer_commit(fixture, KV_OK, 5);
	assert_true(admits(fixture, "acme", &granted));
	assert_int_equal(granted, 1);
	assert_true(admits(fixture, "unknown", &granted));
	assert_int_equal(granted, 0);
}

static void test_other_hub_was_faster(void **state)
{
	fixture_t *fixture = *state;
	uint32_t granted;

	relay_quota_leader_synced(fixture->leader, store_revision_make(1, 4),
				  clock_boot_ms());
	run_until_commit(fixture);
	answer_commit(fixture, KV_CONFLICT, 5);
	read_record(fixture, "node-2 1 leading", 5);
	assert_null(fixture->commit);
	assert_false(admits(fixture, "acme", &granted));
}

/* Nothing in the start of a leader may wait for more than one read. */
static void test_first_read_lets_a_restarted_leader_admit(void **state)
{
	fixture_t *fixture = *state;
	uint32_t granted;

	read_record(fixture, "node-1 1 leading", 5);
	assert_true(admits(fixture, "acme", &granted));
}

static void test_leaving_leader_releases_the_record(void **state)
{
	fixture_t *fixture = *state;
	uint32_t granted;

	read_record(fixture, "node-1 1 leading", 5);
	answer_commit(fixture, KV_OK, 6);
	relay_quota_leader_resign(fixture->leader);
	assert_false(admits(fixture, "acme", &granted));
	assert_non_null(fixture->commit);
	assert_string_equal(fixture->value, "node-1 1 released");
	assert_int_equal(fixture->condition, store_revision_make(1, 6));
}

/* A node that loses its claim of a hub's key must not lead the domain. */
static void test_record_is_written_after_the_claim(void **state)
{
	fixture_t *fixture = *state;

	relay_quota_leader_synced(fixture->leader, store_revision_make(1, 4),
				  clock_boot_ms());
	for (uint32_t i = 0; i < 50; i++) {
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
		g_usleep(10000);
	}
	assert_null(fixture->commit);
	relay_quota_leader_registered(fixture->leader);
	run_until_commit(fixture);
	assert_string_equal(fixture->value, "node-1 1 leading");
}

/* After a loss of power the claim must not delay the leaders. */
static void test_earlier_record_holds_before_the_claim(void **state)
{
	fixture_t *fixture = *state;
	uint32_t granted;

	read_record(fixture, "node-1 1 leading", 5);
	assert_true(admits(fixture, "acme", &granted));
	assert_null(fixture->commit);
	/* Another node had the key. */
	relay_quota_leader_set_hub(fixture->leader, false);
	assert_false(admits(fixture, "acme", &granted));
	assert_non_null(fixture->commit);
	assert_string_equal(fixture->value, "node-1 1 released");
}

/* A record of a node that is no hub leaves the domain without a leader. */
static void test_former_hub_releases_the_record(void **state)
{
	fixture_t *fixture = *state;
	uint32_t granted;

	relay_quota_leader_synced(fixture->leader, store_revision_make(1, 4),
				  clock_boot_ms());
	run_until_commit(fixture);
	relay_quota_leader_set_hub(fixture->leader, false);
	answer_commit(fixture, KV_OK, 5);
	assert_false(admits(fixture, "acme", &granted));
	run_until_commit(fixture);
	assert_string_equal(fixture->value, "node-1 1 released");
	assert_int_equal(fixture->condition, store_revision_make(1, 5));
}

/* Each call to the store costs money. */
static void test_site_without_quotas_writes_nothing(void **state)
{
	fixture_t *fixture = *state;

	catalog_unref(fixture->catalog);
	fixture->catalog = create_catalog(false);
	relay_quota_leader_configure(fixture->leader, fixture->catalog);
	relay_quota_leader_synced(fixture->leader, store_revision_make(1, 4),
				  clock_boot_ms());
	for (uint32_t i = 0; i < 50; i++) {
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
		g_usleep(10000);
	}
	assert_null(fixture->commit);
}

/* A record that no node could have written must not stop the hubs. */
static void test_invalid_record_is_not_obeyed(void **state)
{
	fixture_t *fixture = *state;

	read_record(fixture, "garbage", 5);
	run_until_commit(fixture);
	assert_string_equal(fixture->value, "node-1 1 settling");
	assert_int_equal(fixture->condition, store_revision_make(1, 5));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_hub_takes_a_record_that_is_missing, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(test_other_hub_was_faster,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_first_read_lets_a_restarted_leader_admit,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_leaving_leader_releases_the_record, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_record_is_written_after_the_claim,
			open_claiming_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_earlier_record_holds_before_the_claim,
			open_claiming_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_former_hub_releases_the_record, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_site_without_quotas_writes_nothing, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_invalid_record_is_not_obeyed, open_fixture,
			close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

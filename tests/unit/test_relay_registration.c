#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "relay/relay_registration_private.h"
#include "state/lease_record.h"

#define LEASE 7
#define HUB_KEY RELAY_HUBS_PREFIX "akl-a/0"
#define OWN_KEY RELAY_LEASES_PREFIX "node-1/7"
#define EARLIER_KEY RELAY_LEASES_PREFIX "node-1/3"

/* A store with one key that checks conditions and answers with a delay. */
typedef struct {
	struct event_base *base;
	kv_store_t store;
	relay_services_t *services;
	relay_registration_t *registration;
	bool holds_proofs;   /* other nodes may use proofs of this node */
	bool taken;	     /* the claimed key was taken */
	const char *earlier; /* key of an earlier run in the store, or NULL */
	char *removed;	     /* keys that were removed, each after a blank */
	bool listings_fail;  /* listing the node's keys gets no answer */
	int64_t revision;
	int64_t key_revision;
	lease_record_t record;
	uint32_t leases;    /* leases opened */
	uint32_t conflicts; /* transactions refused */
	bool renewals_fail; /* renewals get no answer */
	uint32_t renewals;
	uint32_t recoveries; /* times the watches were restarted */
	bool registered;
} fixture_t;

typedef struct {
	fixture_t *fixture;
	kv_done_t done;
	void *context;
	kv_answer_t answer;
	struct event *timer;
} call_t;

static void on_answer(evutil_socket_t fd, short what, void *context)
{
	call_t *call = context;

	if (!call->answer.items)
		call->answer.items = g_ptr_array_new();
	if (call->done)
		call->done(call->context, &call->answer);
	g_ptr_array_unref(call->answer.items);
	event_free(call->timer);
	g_free(call);
}

static void answer_soon(fixture_t *fixture, kv_done_t done, void *context,
			kv_answer_t answer)
{
	const struct timeval delay = {.tv_usec = 5000};
	call_t *call = g_new0(call_t, 1);

	call->fixture = fixture;
	call->done = done;
	call->context = context;
	call->answer = answer;
	call->timer = evtimer_new(fixture->base, on_answer, call);
	event_add(call->timer, &delay);
}

static void fake_lease_open(void *self, uint32_t ttl_ms, kv_done_t done,
			    void *context)
{
	((fixture_t *)self)->leases++;
	answer_soon(self, done, context, (kv_answer_t){.lease = LEASE});
}

static void fake_lease_renew(void *self, int64_t lease, kv_done_t done,
			     void *context)
{
	fixture_t *fixture = self;

	fixture->renewals++;
	answer_soon(self, done, context,
		    (kv_answer_t){.result = fixture->renewals_fail ?
						    KV_UNKNOWN :
						    KV_OK});
}

static kv_item_t *item_new(const char *key)
{
	kv_item_t *item = g_new0(kv_item_t, 1);

	item->key = g_strdup(key);
	return item;
}

static void fake_range(void *self, const char *prefix, const char *after,
		       kv_done_t done, void *context)
{
	fixture_t *fixture = self;
	kv_answer_t answer = {.result = fixture->listings_fail ? KV_UNKNOWN :
								 KV_OK};

	assert_string_equal(prefix, RELAY_LEASES_PREFIX "node-1/");
	answer.items =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_item_free);
	if (fixture->earlier && !fixture->listings_fail)
		g_ptr_array_add(answer.items, item_new(fixture->earlier));
	answer_soon(fixture, done, context, answer);
}

static void note_removals(fixture_t *fixture,
			  const kv_transaction_t *transaction)
{
	for (size_t i = 0; i < transaction->removals_count; i++) {
		char *removed = g_strconcat(fixture->removed, " ",
					    transaction->removals[i], NULL);

		g_free(fixture->removed);
		fixture->removed = removed;
	}
}

static bool holds(const fixture_t *fixture, const kv_transaction_t *transaction)
{
	return !transaction->conditions_count ||
	       transaction->conditions[0].revision == fixture->key_revision;
}

static void fake_commit(void *self, const kv_transaction_t *transaction,
			kv_done_t done, void *context)
{
	fixture_t *fixture = self;
	g_autoptr(GBytes) value = g_bytes_new(
		transaction->puts[0].value, strlen(transaction->puts[0].value));

	if (!holds(fixture, transaction)) {
		fixture->conflicts++;
		answer_soon(fixture, done, context,
			    (kv_answer_t){.result = KV_CONFLICT});
		return;
	}
	note_removals(fixture, transaction);
	assert_true(lease_record_decode(value, &fixture->record));
	fixture->key_revision = ++fixture->revision;
	answer_soon(fixture, done, context,
		    (kv_answer_t){.revision = fixture->revision});
}

static const kv_store_calls_t calls = {
	.range = fake_range,
	.commit = fake_commit,
	.lease_open = fake_lease_open,
	.lease_renew = fake_lease_renew,
};

static void on_registered(void *context)
{
	((fixture_t *)context)->registered = true;
}

static void on_recovered(void *context)
{
	((fixture_t *)context)->recoveries++;
}

static void on_taken(void *context)
{
	((fixture_t *)context)->taken = true;
}

static void on_settle(void *context)
{
	fixture_t *fixture = context;

	if (!fixture->holds_proofs)
		relay_registration_settled(fixture->registration);
}

static void run_for(fixture_t *fixture, uint32_t ms)
{
	const struct timeval delay = {.tv_usec = 1000 * (suseconds_t)ms};

	event_base_loopexit(fixture->base, &delay);
	event_base_dispatch(fixture->base);
}

static void create_node(fixture_t *fixture)
{
	const relay_registration_handlers_t handlers = {
		.registered = on_registered,
		.recovered = on_recovered,
		.taken = on_taken,
		.settle = on_settle,
		.context = fixture,
	};

	fixture->base = event_base_new();
	fixture->removed = g_strdup("");
	fixture->revision = 10;
	fixture->store = (kv_store_t){.calls = &calls, .self = fixture};
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base, .node = "node-1"});
	fixture->registration = relay_registration_create(
		fixture->base, &fixture->store, fixture->services, "node-1",
		"node-1 127.0.0.1:1", handlers);
	relay_registration_claim(fixture->registration, HUB_KEY, 0);
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	create_node(fixture);
	while (!fixture->registered)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	run_for(fixture, 50);
	relay_registration_destroy(fixture->registration);
	relay_services_destroy(fixture->services);
	event_base_free(fixture->base);
	g_free(fixture->removed);
	g_free(fixture);
	return 0;
}

static void test_confirmation_keeps_the_lease(void **state)
{
	fixture_t *fixture = *state;

	relay_registration_confirm(fixture->registration, 30);
	run_for(fixture, 100);
	assert_int_equal(fixture->record.seen_revision, 30);
	assert_int_equal(fixture->record.lease, LEASE);
	assert_int_equal(fixture->leases, 1);
}

/*
 * Takeovers of several services at the same time cause confirmations that
 * overlap. Each must be conditional on the one before, or it conflicts with it.
 */
static void test_overlapping_confirmations_do_not_conflict(void **state)
{
	fixture_t *fixture = *state;

	relay_registration_confirm(fixture->registration, 30);
	relay_registration_confirm(fixture->registration, 31);
	relay_registration_confirm(fixture->registration, 32);
	run_for(fixture, 200);
	assert_int_equal(fixture->conflicts, 0);
	assert_int_equal(fixture->record.seen_revision, 32);
	assert_int_equal(fixture->leases, 1);
}

static void test_failed_confirmation_registers_again(void **state)
{
	fixture_t *fixture = *state;

	fixture->key_revision++;
	relay_registration_confirm(fixture->registration, 30);
	run_for(fixture, 200);
	assert_int_equal(fixture->conflicts, 1);
	assert_int_equal(fixture->leases, 2);
}

/* Two nodes of a domain claim the same free key at the same moment. */
static void test_taken_key_registers_nothing(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	void *other = fixture;

	fixture->key_revision = 4; /* the key that the node takes to be free */
	create_node(fixture);
	run_for(fixture, 100);
	assert_true(fixture->taken);
	assert_false(fixture->registered);
	assert_false(relay_registration_is_active(fixture->registration));
	close_fixture(&other);
}

/*
 * A lease is lost while nodes that follow this hub use proofs of it. A new
 * lease would tell a takeover that no proof is in use any more.
 */
static void test_new_lease_waits_for_given_proofs(void **state)
{
	fixture_t *fixture = *state;

	fixture->holds_proofs = true;
	relay_registration_renew(fixture->registration);
	run_for(fixture, 200);
	assert_int_equal(fixture->leases, 1);
	relay_registration_settled(fixture->registration);
	run_for(fixture, 100);
	assert_int_equal(fixture->leases, 2);
	assert_string_equal(fixture->removed, " " OWN_KEY);
}

static void run_until_renewed(fixture_t *fixture, uint32_t renewals)
{
	while (fixture->renewals < renewals)
		run_for(fixture, 50);
	run_for(fixture, 50);
}

/*
 * An outage shorter than the leases swallows the watches that were sent during
 * it; one renewal shows it.
 */
static void test_short_outage_restarts_the_watches(void **state)
{
	fixture_t *fixture = *state;

	run_until_renewed(fixture, 1);
	assert_int_equal(fixture->recoveries, 0);
	fixture->renewals_fail = true;
	run_until_renewed(fixture, 2);
	fixture->renewals_fail = false;
	run_until_renewed(fixture, 3);
	assert_int_equal(fixture->recoveries, 1);
	run_until_renewed(fixture, 4);
	assert_int_equal(fixture->recoveries, 1);
}

static void wait_until_removed(fixture_t *fixture, const char *keys)
{
	for (int i = 0; i < 100 && strcmp(fixture->removed, keys) != 0; i++)
		run_for(fixture, 100);
	assert_string_equal(fixture->removed, keys);
}

/*
 * A restarted hub cannot know which proofs its earlier run gave. The key of
 * that run says so to takeovers until they have expired, also where the hub's
 * own key is gone because a takeover ended the lease just before the kill.
 */
static void test_key_of_an_earlier_run_is_removed_later(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	void *other = fixture;
	const uint64_t started_ms = clock_boot_ms();

	fixture->earlier = EARLIER_KEY;
	create_node(fixture);
	run_for(fixture, 100);
	assert_true(fixture->registered);
	assert_string_equal(fixture->removed, "");
	wait_until_removed(fixture, " " EARLIER_KEY);
	assert_true(clock_boot_ms() >= started_ms + PRIMARY_LEASE_VALID_MS);
	assert_int_equal(fixture->leases, 1);
	close_fixture(&other);
}

/*
 * A takeover right after the restart: a confirmation would say that the proofs
 * of the earlier run are over as well, so that it must wait.
 */
static void test_restarted_node_confirms_when_settled(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	void *other = fixture;

	fixture->earlier = EARLIER_KEY;
	create_node(fixture);
	run_for(fixture, 100);
	relay_registration_confirm(fixture->registration, 30);
	run_for(fixture, 100);
	assert_int_equal(fixture->record.seen_revision, 0);
	wait_until_removed(fixture, " " EARLIER_KEY);
	assert_int_equal(fixture->record.seen_revision, 30);
	close_fixture(&other);
}

/* Whether there was an earlier run is not known until the keys are listed. */
static void test_node_confirms_when_its_keys_are_listed(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	void *other = fixture;

	fixture->listings_fail = true;
	create_node(fixture);
	run_for(fixture, 100);
	assert_true(fixture->registered);
	relay_registration_confirm(fixture->registration, 30);
	run_for(fixture, 100);
	assert_int_equal(fixture->record.seen_revision, 0);
	fixture->listings_fail = false;
	run_for(fixture, 500);
	assert_int_equal(fixture->record.seen_revision, 30);
	assert_string_equal(fixture->removed, "");
	close_fixture(&other);
}

/*
 * A record that was not written for long says that the node uses no proofs, so
 * that a takeover removes its key: one that is alive must write it again.
 */
static void test_old_record_is_written_again(void **state)
{
	fixture_t *fixture = *state;
	const int64_t revision = fixture->revision;

	fixture->registration->refresh_ms = clock_boot_ms();
	run_until_renewed(fixture, 1);
	assert_int_equal(fixture->revision, revision + 1);
	run_until_renewed(fixture, 2);
	assert_int_equal(fixture->revision, revision + 1);
	assert_int_equal(fixture->leases, 1);
}

/* Without that, its proofs are over before its key counts as outdated. */
static void test_proofs_end_with_an_old_record(void **state)
{
	fixture_t *fixture = *state;

	fixture->renewals_fail = true;
	fixture->holds_proofs = true;
	fixture->registration->expiry_ms = clock_boot_ms();
	run_for(fixture, 600);
	assert_int_equal(relay_services_lease(fixture->services)->lease, 0);
}

/*
 * All VMs start at once. Watches of the store that are sent before the lease is
 * opened would take the one open connection to the store, and the lease would
 * wait for a new one.
 */
static void test_claim_opens_the_lease_at_once(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	void *other = fixture;

	create_node(fixture);
	assert_int_equal(fixture->leases, 1);
	run_for(fixture, 50);
	assert_true(fixture->registered);
	assert_int_equal(fixture->leases, 1);
	close_fixture(&other);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_confirmation_keeps_the_lease, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_overlapping_confirmations_do_not_conflict,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_failed_confirmation_registers_again, open_fixture,
			close_fixture),
		cmocka_unit_test(test_taken_key_registers_nothing),
		cmocka_unit_test(test_claim_opens_the_lease_at_once),
		cmocka_unit_test_setup_teardown(
			test_new_lease_waits_for_given_proofs, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_short_outage_restarts_the_watches, open_fixture,
			close_fixture),
		cmocka_unit_test(test_key_of_an_earlier_run_is_removed_later),
		cmocka_unit_test(test_node_confirms_when_its_keys_are_listed),
		cmocka_unit_test_setup_teardown(
			test_old_record_is_written_again, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_proofs_end_with_an_old_record, open_fixture,
			close_fixture),
		cmocka_unit_test(test_restarted_node_confirms_when_settled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

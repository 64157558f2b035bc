/* Tests relay_coordinator.c, with the lifting of fences in _release.c. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "fake_line_server.h"
#include "platform/line_codec.h"
#include "relay/relay_coordinator_private.h"
#include "state/store_revision.h"

#define LEASE 7
#define TIMEOUT_MS 3000

/* A store that holds the last transaction until the test answers it. */
typedef struct {
	struct event_base *base;
	kv_store_t store;
	relay_services_t *services;
	relay_coordinator_t *coordinator;
	kv_done_t commit; /* callback of the transaction under way, or NULL */
	void *commit_context;
	char *written; /* first value of the last transaction */
	catalog_t *catalog;
	GHashTable *regions;
	uint32_t leases_ended;
	kv_done_t renewed[2]; /* callbacks of the first renewals */
	void *renewed_context[2];
	uint32_t renewals;
	bool keeps_lease;	    /* renewals succeed at once */
	fake_line_server_t *server; /* of all entries, or NULL */
	/* The answer to opening a lease is sent by this timer. */
	struct event *lease_timer;
	kv_done_t lease_done;
	void *lease_context;
} fixture_t;

static void on_lease_timer(evutil_socket_t fd, short what, void *context)
{
	fixture_t *fixture = context;
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t answer = {.era = 1, .lease = LEASE, .items = none};

	fixture->lease_done(fixture->lease_context, &answer);
}

static void fake_lease_open(void *self, uint32_t ttl_ms, kv_done_t done,
			    void *context)
{
	fixture_t *fixture = self;
	const struct timeval now = clock_timeval(0);

	fixture->lease_done = done;
	fixture->lease_context = context;
	event_add(fixture->lease_timer, &now);
}

/* The answer to one renewal. */
typedef struct {
	kv_done_t done;
	void *context;
} renewal_answer_t;

static void on_renewed(evutil_socket_t fd, short what, void *context)
{
	g_autofree renewal_answer_t *answer = context;
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t renewed = {.era = 1, .items = none};

	answer->done(answer->context, &renewed);
}

static void renew_at_once(fixture_t *fixture, kv_done_t done, void *context)
{
	const struct timeval now = clock_timeval(0);
	renewal_answer_t *answer = g_new(renewal_answer_t, 1);

	*answer = (renewal_answer_t){done, context};
	event_base_once(fixture->base, -1, EV_TIMEOUT, on_renewed, answer,
			&now);
}

static void fake_lease_renew(void *self, int64_t lease, kv_done_t done,
			     void *context)
{
	fixture_t *fixture = self;

	if (fixture->keeps_lease) {
		renew_at_once(fixture, done, context);
		return;
	}
	if (fixture->renewals == G_N_ELEMENTS(fixture->renewed))
		return;
	fixture->renewed[fixture->renewals] = done;
	fixture->renewed_context[fixture->renewals++] = context;
}

static void fake_lease_end(void *self, int64_t lease, kv_done_t done,
			   void *context)
{
	((fixture_t *)self)->leases_ended++;
}

static void fake_commit(void *self, const kv_transaction_t *transaction,
			kv_done_t done, void *context)
{
	fixture_t *fixture = self;

	fixture->commit = done;
	fixture->commit_context = context;
	g_free(fixture->written);
	fixture->written = g_strdup(transaction->puts[0].value);
}

static const endpoint_t *no_hub(void *context, const char *server,
				uint32_t failures)
{
	return NULL;
}

static void on_connection_failure(void *context, const char *service,
				  const char *server)
{
}

static void destroy_promoter(void *self)
{
}

static void on_takeover(void *context)
{
}

static int open_fixture(void **state)
{
	static const kv_store_calls_t calls = {
		.lease_open = fake_lease_open,
		.lease_renew = fake_lease_renew,
		.lease_end = fake_lease_end,
		.commit = fake_commit,
	};
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	fixture->regions = g_hash_table_new(g_str_hash, g_str_equal);
	fixture->lease_timer =
		evtimer_new(fixture->base, on_lease_timer, fixture);
	fixture->store = (kv_store_t){.calls = &calls, .self = fixture};
	fixture->services = relay_services_create((relay_services_settings_t){
		.base = fixture->base,
		.node = "node-1",
		.failure_domain = "akl-a",
		.regions = fixture->regions,
		.hub = no_hub,
		.codec = &line_codec,
		.on_connection_failure = on_connection_failure,
	});
	fixture->coordinator = relay_coordinator_create(
		fixture->base, &fixture->store, fixture->services,
		(relay_promoter_t){.destroy = destroy_promoter}, "node-1",
		on_takeover, fixture);
	relay_coordinator_enable(fixture->coordinator);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_coordinator_destroy(fixture->coordinator);
	relay_services_destroy(fixture->services);
	g_hash_table_destroy(fixture->regions);
	g_clear_pointer(&fixture->catalog, catalog_unref);
	g_free(fixture->written);
	g_clear_pointer(&fixture->server, fake_line_server_destroy);
	event_free(fixture->lease_timer);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

static void report(fixture_t *fixture, const char *key, const char *value,
		   int64_t revision)
{
	g_autoptr(GBytes) bytes = g_bytes_new(value, strlen(value));
	const kv_item_t item = {
		.key = (char *)key, .value = bytes, .revision = revision};

	relay_coordinator_key_changed(fixture->coordinator, &item);
}

static void run_until_commit(fixture_t *fixture)
{
	const uint64_t end_ms = clock_boot_ms() + TIMEOUT_MS;

	while (!fixture->commit && clock_boot_ms() < end_ms)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_non_null(fixture->commit);
}

static void answer_commit(fixture_t *fixture, int64_t revision)
{
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t answer = {
		.era = 1, .revision = revision, .items = none};

	g_steal_pointer (&fixture->commit)(fixture->commit_context, &answer);
}

/* Whether orders of earlier holders may still take effect. */
static bool is_settling(const fixture_t *fixture)
{
	return clock_boot_ms() + TAKEOVER_ORDER_EFFECT_MS <=
	       fixture->coordinator->settled_ms;
}

/*
 * The watch may report the acquisition before the store answers it. Promotions
 * that the previous holder requested must still be waited for.
 */
static void test_promotions_settle_if_the_watch_is_faster(void **state)
{
	fixture_t *fixture = *state;
	const int64_t revision = store_revision_make(1, 20);

	report(fixture, COORDINATOR_HOLDER_KEY, "node-2 1 0",
	       store_revision_make(1, 10));
	relay_coordinator_synced(fixture->coordinator);
	run_until_commit(fixture);
	report(fixture, COORDINATOR_KEY, "node-1", revision);
	report(fixture, COORDINATOR_HOLDER_KEY, "node-1 1 0", revision);
	answer_commit(fixture, revision);
	assert_true(relay_coordinator_is_held(fixture->coordinator));
	assert_true(is_settling(fixture));
}

/*
 * Guards against a node that loses the lease, or is restarted, and acquires it
 * again while a promotion that it ordered before is under way.
 */
static void test_own_promotions_settle_as_well(void **state)
{
	fixture_t *fixture = *state;

	report(fixture, COORDINATOR_HOLDER_KEY, "node-1 1 0",
	       store_revision_make(1, 10));
	relay_coordinator_synced(fixture->coordinator);
	run_until_commit(fixture);
	answer_commit(fixture, store_revision_make(1, 20));
	assert_true(coordinator_may_promote(fixture->coordinator));
	assert_true(is_settling(fixture));
}

/*
 * Guards against a late answer that counts for a renewal that was sent after
 * the answered one and may never arrive.
 */
static void test_renewal_counts_from_its_own_sending(void **state)
{
	fixture_t *fixture = *state;
	relay_coordinator_t *coordinator = fixture->coordinator;
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t answer = {.era = 1, .items = none};
	uint64_t sent_ms;

	relay_coordinator_synced(coordinator);
	run_until_commit(fixture);
	answer_commit(fixture, store_revision_make(1, 20));
	while (fixture->renewals < 1)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	sent_ms = coordinator->renew_sent_ms;
	while (fixture->renewals < 2)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_true(coordinator->renew_sent_ms > sent_ms);
	fixture->renewed[0](fixture->renewed_context[0], &answer);
	assert_int_equal(coordinator->renewed_ms, sent_ms);
	fixture->renewed[1](fixture->renewed_context[1], &answer);
	assert_int_equal(coordinator->renewed_ms, coordinator->renew_sent_ms);
}

static void test_first_holder_has_no_predecessor(void **state)
{
	fixture_t *fixture = *state;

	relay_coordinator_synced(fixture->coordinator);
	run_until_commit(fixture);
	answer_commit(fixture, store_revision_make(1, 20));
	assert_true(coordinator_may_promote(fixture->coordinator));
	assert_false(is_settling(fixture));
}

/* It held the lease before the restore; another may have held it since. */
static void test_promotions_settle_after_a_restore(void **state)
{
	fixture_t *fixture = *state;

	report(fixture, COORDINATOR_HOLDER_KEY, "node-1 3 0",
	       store_revision_make(1, 10));
	relay_coordinator_synced(fixture->coordinator);
	run_until_commit(fixture);
	answer_commit(fixture, store_revision_make(1, 20));
	assert_true(relay_coordinator_is_held(fixture->coordinator));
	assert_true(is_settling(fixture));
	assert_false(coordinator_knows_all_nodes(fixture->coordinator));
}

/* Another node acquires the key while this one opens its lease. */
static void test_key_is_not_taken_from_a_new_holder(void **state)
{
	fixture_t *fixture = *state;

	relay_coordinator_synced(fixture->coordinator);
	while (!fixture->lease_done)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	report(fixture, COORDINATOR_KEY, "node-2", store_revision_make(1, 20));
	report(fixture, COORDINATOR_HOLDER_KEY, "node-2 1 0",
	       store_revision_make(1, 20));
	event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_null(fixture->commit);
	assert_int_equal(fixture->leases_ended, 1);
}

static void add_server(fixture_t *fixture, const char *id)
{
	backend_entry_t *entry = g_new0(backend_entry_t, 1);

	entry->id = g_strdup(id);
	entry->service = g_strdup("svc");
	entry->failure_domain = g_strdup("akl-a");
	entry->endpoint = (endpoint_t){
		.address = g_strdup("127.0.0.1"),
		.port = fixture->server ? fixture->server->port : 1};
	entry->started_ms = 5;
	relay_services_put(fixture->services, entry);
}

static void add_service(fixture_t *fixture, uint32_t sync_replicas,
			const char *record)
{
	catalog_service_t *service = g_new0(catalog_service_t, 1);

	service->name = g_strdup("svc");
	service->connections_max = 4;
	service->sync_replicas = sync_replicas;
	fixture->catalog = catalog_new();
	catalog_add_service(fixture->catalog, service);
	relay_services_configure(fixture->services, fixture->catalog);
	add_server(fixture, "i-1");
	add_server(fixture, "i-2");
	add_server(fixture, "i-3");
	report(fixture, COORDINATOR_HOLDER_KEY, "node-1 1 0",
	       store_revision_make(1, 10));
	report(fixture, COORDINATOR_SERVICE_PREFIX "svc", record,
	       store_revision_make(1, 11));
	relay_coordinator_synced(fixture->coordinator);
}

static void acquire(fixture_t *fixture, int64_t number)
{
	run_until_commit(fixture);
	answer_commit(fixture, store_revision_make(1, number));
	assert_true(relay_coordinator_is_held(fixture->coordinator));
}

/* A service with one synchronous replica, whose coordinator is this node. */
static void hold_sync_service(fixture_t *fixture, const char *record)
{
	add_service(fixture, 1, record);
	acquire(fixture, 20);
}

#define RECORD                                                        \
	"{\"term\":1,\"primary\":\"i-1\",\"takeover\":0,\"token\":1," \
	"\"attempt\":1,\"era\":1"

/*
 * Guards against a next coordinator that does not know which replicas may hold
 * acknowledged commits.
 */
static void test_holders_are_written_for_the_next_coordinator(void **state)
{
	fixture_t *fixture = *state;

	hold_sync_service(fixture, RECORD "}");
	run_until_commit(fixture);
	assert_non_null(strstr(fixture->written,
			       "\"holders\":[[\"i-2\",5],[\"i-3\",5]]"));
}

#define UNFINISHED                                                    \
	"{\"term\":1,\"primary\":\"i-1\",\"takeover\":2,\"token\":1," \
	"\"attempt\":1,\"era\":1"

/* Holds the lease after another node began a takeover, until it is resumed. */
static coordinator_service_t *resume(fixture_t *fixture, const char *record)
{
	hold_sync_service(fixture, record);
	run_until_commit(fixture);
	return coordinator_service_get(fixture->coordinator, "svc");
}

/*
 * Guards against a new holder that does not know which server its predecessor
 * ordered, or does not pass that on.
 */
static void test_next_holder_continues_with_the_ordered_server(void **state)
{
	fixture_t *fixture = *state;
	const coordinator_service_t *entry =
		resume(fixture, UNFINISHED ",\"ordered\":\"i-2\"}");

	assert_int_equal(takeover_kind(entry->takeover), TAKEOVER_UNFINISHED);
	assert_string_equal(takeover_ordered(entry->takeover), "i-2");
	assert_non_null(strstr(fixture->written, "\"ordered\":\"i-2\""));
	assert_non_null(strstr(fixture->written, "\"takeover\":2"));
}

/* Nothing was ordered yet, so that a well primary may stay. */
static void test_takeover_without_an_order_starts_anew(void **state)
{
	fixture_t *fixture = *state;
	const coordinator_service_t *entry =
		resume(fixture, UNFINISHED ",\"ordered\":\"\"}");

	assert_int_equal(takeover_kind(entry->takeover), TAKEOVER_LOST);
	assert_string_equal(takeover_ordered(entry->takeover), "");
}

/* A coordinator of an earlier version does not say what it has ordered. */
static void test_order_of_an_earlier_version_is_unknown(void **state)
{
	fixture_t *fixture = *state;
	const coordinator_service_t *entry = resume(fixture, UNFINISHED "}");

	assert_int_equal(takeover_kind(entry->takeover), TAKEOVER_UNFINISHED);
	assert_null(takeover_ordered(entry->takeover));
	assert_null(strstr(fixture->written, "ordered"));
}

/* Guards against a takeover that does not wait for a departed replica. */
static void test_takeover_counts_departed_holders(void **state)
{
	fixture_t *fixture = *state;
	coordinator_service_t *entry = NULL;

	hold_sync_service(fixture, RECORD ",\"holders\":[[\"i-9\",5]]}");
	entry = coordinator_service_get(fixture->coordinator, "svc");
	coordinator_holders_step(entry, clock_boot_ms());
	coordinator_takeover_start(entry, TAKEOVER_LOST, "test");
	/* i-2 and i-3 have not answered, i-9 cannot be asked. */
	assert_int_equal(takeover_unheard(entry->takeover), 3);
}

/* Time after which fences may be lifted, and somewhat more. */
#define LIFTED_MS 1700

/* Holds the duty for a service of servers that answer. */
static coordinator_service_t *hold_service(fixture_t *fixture)
{
	fixture->keeps_lease = true;
	fixture->server = fake_line_server_create(fixture->base);
	add_service(fixture, 0, RECORD "}");
	acquire(fixture, 20);
	return coordinator_service_get(fixture->coordinator, "svc");
}

/* Begins a takeover that ends at once, so that fences are to be lifted. */
static void end_takeover(fixture_t *fixture, coordinator_service_t *entry)
{
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const kv_answer_t conflict = {
		.result = KV_CONFLICT, .era = 1, .items = none};

	coordinator_takeover_start(entry, TAKEOVER_LOST, "test");
	assert_non_null(fixture->commit);
	g_steal_pointer (&fixture->commit)(fixture->commit_context, &conflict);
	assert_int_equal(takeover_phase(entry->takeover), TAKEOVER_IDLE);
}

static void run_for(fixture_t *fixture, uint32_t ms)
{
	const struct timeval delay = clock_timeval(ms);

	event_base_loopexit(fixture->base, &delay);
	event_base_dispatch(fixture->base);
}

/* @return number of fences that were lifted */
static uint32_t lifted(const fixture_t *fixture)
{
	const char *text = fixture->server->log->str;
	uint32_t count = 0;

	while ((text = strstr(text, "RESUME\n"))) {
		text++;
		count++;
	}
	return count;
}

static void test_holder_lifts_the_fences_of_its_takeover(void **state)
{
	fixture_t *fixture = *state;
	coordinator_service_t *entry = hold_service(fixture);

	run_for(fixture, 1000);
	end_takeover(fixture, entry);
	run_for(fixture, 1000);
	assert_int_equal(lifted(fixture), 0);
	run_for(fixture, LIFTED_MS - 1000);
	assert_int_equal(lifted(fixture), 2);
	run_for(fixture, LIFTED_MS);
	assert_int_equal(lifted(fixture), 2);
}

/*
 * Guards against a former coordinator that lifts the fence of its successor's
 * takeover (review/12): it gave the duty up, as it leaves.
 */
static void test_node_that_resigned_lifts_no_fence(void **state)
{
	fixture_t *fixture = *state;
	coordinator_service_t *entry = hold_service(fixture);

	end_takeover(fixture, entry);
	relay_coordinator_resign(fixture->coordinator);
	run_for(fixture, LIFTED_MS);
	assert_int_equal(lifted(fixture), 0);
}

/* The same for one that lost the duty to another node. */
static void test_node_that_lost_the_duty_lifts_no_fence(void **state)
{
	fixture_t *fixture = *state;
	coordinator_service_t *entry = hold_service(fixture);

	end_takeover(fixture, entry);
	report(fixture, COORDINATOR_KEY, "node-2", store_revision_make(1, 30));
	run_for(fixture, LIFTED_MS);
	assert_int_equal(lifted(fixture), 0);
}

/* The same while it does not know whether it has lost it. */
static void test_node_without_renewals_lifts_no_fence(void **state)
{
	fixture_t *fixture = *state;
	coordinator_service_t *entry = hold_service(fixture);

	end_takeover(fixture, entry);
	fixture->keeps_lease = false;
	run_for(fixture, LIFTED_MS);
	assert_int_equal(lifted(fixture), 0);
}

/*
 * The same node under a new lease: another one may have held the duty since and
 * begun a takeover. The fences are lifted as any holder lifts them.
 */
static void test_new_lease_lifts_fences_anew(void **state)
{
	fixture_t *fixture = *state;
	coordinator_service_t *entry = hold_service(fixture);
	const kv_item_t removed = {.key = (char *)COORDINATOR_KEY,
				   .revision = store_revision_make(1, 31),
				   .deleted = true};

	end_takeover(fixture, entry);
	run_for(fixture, 700);
	report(fixture, COORDINATOR_KEY, "node-2", store_revision_make(1, 30));
	relay_coordinator_key_changed(fixture->coordinator, &removed);
	acquire(fixture, 40);
	run_for(fixture, 1000);
	assert_int_equal(lifted(fixture), 0);
	run_for(fixture, LIFTED_MS - 1000);
	assert_int_equal(lifted(fixture), 2);
}

/*
 * Guards against fences that nobody lifts, since the holder was lost before it
 * could: replicas would receive nothing any more.
 */
static void test_next_holder_lifts_what_is_left(void **state)
{
	fixture_t *fixture = *state;

	hold_service(fixture);
	run_for(fixture, LIFTED_MS);
	assert_int_equal(lifted(fixture), 2);
}

/* The store's record shows a takeover that this node is yet to continue. */
static void test_no_fence_is_lifted_during_a_takeover(void **state)
{
	fixture_t *fixture = *state;

	fixture->keeps_lease = true;
	fixture->server = fake_line_server_create(fixture->base);
	add_service(fixture, 0, UNFINISHED "}");
	acquire(fixture, 20);
	run_for(fixture, LIFTED_MS);
	assert_int_equal(lifted(fixture), 0);
}

/* A node that leaves while it acquires the duty does not hold it. */
static void test_node_that_leaves_does_not_acquire(void **state)
{
	fixture_t *fixture = *state;

	relay_coordinator_synced(fixture->coordinator);
	run_until_commit(fixture);
	relay_coordinator_resign(fixture->coordinator);
	answer_commit(fixture, store_revision_make(1, 20));
	assert_false(relay_coordinator_is_held(fixture->coordinator));
	assert_int_equal(fixture->leases_ended, 1);
}

#define COORDINATOR_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		COORDINATOR_TEST(test_promotions_settle_if_the_watch_is_faster),
		COORDINATOR_TEST(test_own_promotions_settle_as_well),
		COORDINATOR_TEST(test_first_holder_has_no_predecessor),
		COORDINATOR_TEST(test_renewal_counts_from_its_own_sending),
		COORDINATOR_TEST(test_promotions_settle_after_a_restore),
		COORDINATOR_TEST(test_key_is_not_taken_from_a_new_holder),
		COORDINATOR_TEST(
			test_holders_are_written_for_the_next_coordinator),
		COORDINATOR_TEST(test_takeover_counts_departed_holders),
		COORDINATOR_TEST(
			test_next_holder_continues_with_the_ordered_server),
		COORDINATOR_TEST(test_takeover_without_an_order_starts_anew),
		COORDINATOR_TEST(test_order_of_an_earlier_version_is_unknown),
		COORDINATOR_TEST(test_holder_lifts_the_fences_of_its_takeover),
		COORDINATOR_TEST(test_node_that_resigned_lifts_no_fence),
		COORDINATOR_TEST(test_node_that_lost_the_duty_lifts_no_fence),
		COORDINATOR_TEST(test_node_without_renewals_lifts_no_fence),
		COORDINATOR_TEST(test_new_lease_lifts_fences_anew),
		COORDINATOR_TEST(test_next_holder_lifts_what_is_left),
		COORDINATOR_TEST(test_no_fence_is_lifted_during_a_takeover),
		COORDINATOR_TEST(test_node_that_leaves_does_not_acquire),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

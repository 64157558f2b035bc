#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "relay/relay_revocation.h"
#include "state/lease_record.h"

#define INTENT_REVISION 100
#define KEY_REVISION 50
#define SETTLED 1 /* what earlier versions write without a confirmation */
#define PAGE 2

/*
 * A store that holds the leases of some nodes and answers in the next iteration
 * of the event loop.
 */
typedef struct {
	struct event_base *base;
	kv_store_t store;
	GPtrArray *keys;    /* char * */
	GPtrArray *records; /* lease_record_t, parallel to keys */
	GArray *ended;	    /* int64_t, leases ended */
	GPtrArray *removed; /* char *, keys that a takeover removed */
	uint32_t ranges;
	int32_t revoked; /* number reported to revoked(), or -1 */
	bool forgotten;
	/* Called before each listing. */
	void (*before_range)(void *fixture);
} fixture_t;

typedef struct {
	fixture_t *fixture;
	kv_done_t done;
	void *context;
	char *after;
	struct event *timer;
} call_t;

static call_t *call_new(fixture_t *fixture, kv_done_t done, void *context,
			event_callback_fn run)
{
	call_t *call = g_new0(call_t, 1);

	call->fixture = fixture;
	call->done = done;
	call->context = context;
	call->timer = evtimer_new(fixture->base, run, call);
	event_active(call->timer, EV_TIMEOUT, 0);
	return call;
}

static void answer(call_t *call, kv_answer_t *answer)
{
	if (call->done)
		call->done(call->context, answer);
	g_ptr_array_unref(answer->items);
	event_free(call->timer);
	g_free(call->after);
	g_free(call);
}

static kv_answer_t answer_new(void)
{
	return (kv_answer_t){.items = g_ptr_array_new_with_free_func(
				     (GDestroyNotify)kv_item_free)};
}

static void on_range(evutil_socket_t fd, short what, void *context)
{
	call_t *call = context;
	fixture_t *fixture = call->fixture;
	kv_answer_t listed = answer_new();

	fixture->ranges++;
	if (fixture->before_range)
		fixture->before_range(fixture);
	for (guint i = 0; i < fixture->keys->len; i++) {
		char *key = fixture->keys->pdata[i];
		char *text = lease_record_encode(fixture->records->pdata[i]);
		kv_item_t *item;

		if (call->after && strcmp(key, call->after) <= 0) {
			g_free(text);
			continue;
		}
		if (listed.items->len == PAGE) {
			listed.has_more = true;
			g_free(text);
			break;
		}
		item = g_new0(kv_item_t, 1);
		item->key = g_strdup(key);
		item->revision = KEY_REVISION;
		item->value = g_bytes_new_take(text, strlen(text));
		g_ptr_array_add(listed.items, item);
	}
	answer(call, &listed);
}

static void answer_empty(evutil_socket_t fd, short what, void *context)
{
	kv_answer_t done = answer_new();

	answer(context, &done);
}

static void fake_range(void *self, const char *prefix, const char *after_key,
		       kv_done_t done, void *context)
{
	call_new(self, done, context, on_range)->after = g_strdup(after_key);
}

static void fake_commit(void *self, const kv_transaction_t *transaction,
			kv_done_t done, void *context)
{
	fixture_t *fixture = self;

	/* Nothing is removed that its node may have written since. */
	assert_int_equal(transaction->conditions_count, 1);
	assert_string_equal(transaction->conditions[0].key,
			    transaction->removals[0]);
	assert_int_equal(transaction->conditions[0].revision, KEY_REVISION);
	assert_int_equal(transaction->removals_count, 1);
	g_ptr_array_add(fixture->removed, g_strdup(transaction->removals[0]));
	call_new(self, done, context, answer_empty);
}

static void fake_lease_end(void *self, int64_t lease, kv_done_t done,
			   void *context)
{
	g_array_append_val(((fixture_t *)self)->ended, lease);
	call_new(self, done, context, answer_empty);
}

static const kv_store_calls_t calls = {
	.range = fake_range,
	.commit = fake_commit,
	.lease_end = fake_lease_end,
};

static lease_record_t *lease_add(fixture_t *fixture, const char *key,
				 int64_t lease, int64_t seen_revision)
{
	lease_record_t *record = g_new0(lease_record_t, 1);

	*record = (lease_record_t){
		.lease = lease,
		.written_ms = g_get_real_time() / 1000,
		.seen_revision = seen_revision,
	};
	g_ptr_array_add(fixture->keys, g_strdup(key));
	g_ptr_array_add(fixture->records, record);
	return record;
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	fixture->store = (kv_store_t){.calls = &calls, .self = fixture};
	fixture->keys = g_ptr_array_new_with_free_func(g_free);
	fixture->records = g_ptr_array_new_with_free_func(g_free);
	fixture->ended = g_array_new(false, false, sizeof(int64_t));
	fixture->removed = g_ptr_array_new_with_free_func(g_free);
	fixture->revoked = -1;
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	event_base_free(fixture->base);
	g_ptr_array_unref(fixture->keys);
	g_ptr_array_unref(fixture->records);
	g_ptr_array_unref(fixture->removed);
	g_array_unref(fixture->ended);
	g_free(fixture);
	return 0;
}

static void on_revoked(void *context, uint32_t ended)
{
	((fixture_t *)context)->revoked = (int32_t)ended;
}

static void on_forgotten(void *context)
{
	((fixture_t *)context)->forgotten = true;
}

/* Runs a revocation until no event is pending. */
static void run_revocation(fixture_t *fixture)
{
	relay_revocation_t *revocation = relay_revocation_start(
		fixture->base, &fixture->store, INTENT_REVISION,
		(relay_revocation_handlers_t){.revoked = on_revoked,
					      .forgotten = on_forgotten,
					      .context = fixture});

	event_base_loop(fixture->base, 0);
	relay_revocation_stop(revocation);
}

static void test_confirmed_leases_are_kept(void **state)
{
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, INTENT_REVISION);
	lease_add(fixture, "toucanhook/leases/b/2", 2, INTENT_REVISION + 5);
	lease_add(fixture, "toucanhook/leases/c/3", 3, INTENT_REVISION);
	run_revocation(fixture);
	assert_int_equal(fixture->ended->len, 0);
	assert_int_equal(fixture->revoked, 0);
	assert_true(fixture->forgotten);
}

/*
 * Leases that must be ended: one that confirmed only an earlier takeover, and
 * one without a confirmation on the second page of the listing.
 */
static void test_other_leases_are_ended(void **state)
{
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, INTENT_REVISION);
	lease_add(fixture, "toucanhook/leases/b/2", 2, INTENT_REVISION - 1);
	lease_add(fixture, "toucanhook/leases/c/3", 3, 0);
	run_revocation(fixture);
	assert_int_equal(fixture->ended->len, 2);
	assert_int_equal(g_array_index(fixture->ended, int64_t, 0), 2);
	assert_int_equal(g_array_index(fixture->ended, int64_t, 1), 3);
	assert_int_equal(fixture->revoked, 2);
	assert_false(fixture->forgotten);
}

static bool has_key(const fixture_t *fixture, const char *key)
{
	return g_ptr_array_find_with_equal_func(fixture->keys, key, g_str_equal,
						NULL);
}

static void lease_remove(fixture_t *fixture, const char *key)
{
	guint index;

	if (!g_ptr_array_find_with_equal_func(fixture->keys, key, g_str_equal,
					      &index))
		return;
	g_ptr_array_remove_index(fixture->keys, index);
	g_ptr_array_remove_index(fixture->records, index);
}

/* As one transaction of the node: the new key, without the one before. */
static void register_again(void *context)
{
	fixture_t *fixture = context;

	if (!fixture->ended->len || has_key(fixture, "toucanhook/leases/a/2"))
		return;
	lease_remove(fixture, "toucanhook/leases/a/1");
	lease_add(fixture, "toucanhook/leases/a/2", 2, SETTLED);
}

static void restart(void *context)
{
	fixture_t *fixture = context;

	if (fixture->ended->len && fixture->keys->len == 1)
		lease_add(fixture, "toucanhook/leases/a/2", 2, 0);
}

static void test_registering_again_discards_proofs(void **state)
{
	fixture_t *fixture = *state;

	fixture->before_range = register_again;
	lease_add(fixture, "toucanhook/leases/a/1", 1, 0);
	run_revocation(fixture);
	assert_int_equal(fixture->revoked, 1);
	assert_true(fixture->forgotten);
}

/*
 * A hub that was killed and started again knows nothing of the proofs that it
 * gave before; the takeover must wait for them.
 */
static void test_restarted_hub_does_not_discard_proofs(void **state)
{
	fixture_t *fixture = *state;

	fixture->before_range = restart;
	lease_add(fixture, "toucanhook/leases/a/1", 1, 0);
	run_revocation(fixture);
	assert_int_equal(fixture->revoked, 1);
	assert_false(fixture->forgotten);
}

/*
 * Guards against a takeover that takes the keys of two runs of a killed node
 * for registrations after each other, while the node, which the store turns
 * away, uses proofs of the old primary (review/11).
 */
static void test_keys_of_two_runs_do_not_stand_for_each_other(void **state)
{
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, SETTLED);
	lease_add(fixture, "toucanhook/leases/a/2", 2, SETTLED);
	run_revocation(fixture);
	assert_int_equal(fixture->revoked, 2);
	assert_false(fixture->forgotten);
	assert_int_equal(fixture->removed->len, 0);
}

/* The same for three runs, of which the first confirmed earlier takeovers. */
static void test_keys_of_three_runs_do_not_stand_for_each_other(void **state)
{
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, INTENT_REVISION - 2);
	lease_add(fixture, "toucanhook/leases/a/2", 2, SETTLED);
	lease_add(fixture, "toucanhook/leases/a/3", 3, INTENT_REVISION - 1);
	run_revocation(fixture);
	assert_int_equal(fixture->revoked, 3);
	assert_false(fixture->forgotten);
	assert_int_equal(fixture->removed->len, 0);
}

/*
 * A registration that took effect late: the key that it would have replaced is
 * gone, but the node uses the lease that it opened next.
 */
static void test_late_key_does_not_stand_for_the_present_one(void **state)
{
	fixture_t *fixture = *state;

	fixture->before_range = register_again;
	lease_add(fixture, "toucanhook/leases/a/1", 1, 0);
	lease_add(fixture, "toucanhook/leases/a/3", 3, SETTLED);
	run_revocation(fixture);
	assert_int_equal(fixture->revoked, 2);
	assert_false(fixture->forgotten);
}

/* A node that was killed and has confirmed owes no wait for its earlier run. */
static void test_confirmation_counts_for_earlier_runs(void **state)
{
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, SETTLED);
	lease_add(fixture, "toucanhook/leases/a/2", 2, INTENT_REVISION);
	lease_add(fixture, "toucanhook/leases/b/3", 3, INTENT_REVISION);
	run_revocation(fixture);
	assert_int_equal(fixture->ended->len, 0);
	assert_true(fixture->forgotten);
	assert_int_equal(fixture->removed->len, 0);
}

/* A record of a later version, or of another writer, proves nothing. */
static void test_unknown_record_is_waited_for(void **state)
{
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, -1);
	run_revocation(fixture);
	assert_int_equal(fixture->ended->len, 1);
	assert_int_equal(g_array_index(fixture->ended, int64_t, 0), 1);
	assert_false(fixture->forgotten);
}

/* A key that no node can need any more; the others stay. */
static void test_outdated_key_is_removed(void **state)
{
	const int64_t hours_ms = 2 * 60 * 60 * 1000;
	fixture_t *fixture = *state;

	lease_add(fixture, "toucanhook/leases/a/1", 1, 0)->written_ms -=
		hours_ms;
	lease_add(fixture, "toucanhook/leases/b/2", 2, 0);
	run_revocation(fixture);
	assert_false(fixture->forgotten);
	assert_int_equal(fixture->removed->len, 1);
	assert_string_equal(fixture->removed->pdata[0],
			    "toucanhook/leases/a/1");
}

static void test_stop_during_a_call(void **state)
{
	fixture_t *fixture = *state;
	relay_revocation_t *revocation;

	lease_add(fixture, "toucanhook/leases/a/1", 1, INTENT_REVISION);
	revocation = relay_revocation_start(
		fixture->base, &fixture->store, INTENT_REVISION,
		(relay_revocation_handlers_t){.revoked = on_revoked,
					      .forgotten = on_forgotten,
					      .context = fixture});
	while (!fixture->ranges)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	relay_revocation_stop(revocation);
	event_base_loop(fixture->base, 0);
	assert_int_equal(fixture->ended->len, 0);
}

static void test_invalid_records_are_rejected(void **state)
{
	static const char *const bad[] = {"",	   "1",	     "1 2",
					  "1 2 x", "1 2 -3", "1 2 3 4"};
	lease_record_t record;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autoptr(GBytes) bytes =
			g_bytes_new_static(bad[i], strlen(bad[i]));

		assert_false(lease_record_decode(bytes, &record));
	}
	assert_false(lease_record_decode(NULL, &record));
}

#define REVOCATION_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_confirmed_leases_are_kept,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(test_other_leases_are_ended,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_registering_again_discards_proofs, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_restarted_hub_does_not_discard_proofs,
			open_fixture, close_fixture),
		REVOCATION_TEST(
			test_keys_of_two_runs_do_not_stand_for_each_other),
		REVOCATION_TEST(
			test_keys_of_three_runs_do_not_stand_for_each_other),
		REVOCATION_TEST(
			test_late_key_does_not_stand_for_the_present_one),
		REVOCATION_TEST(test_confirmation_counts_for_earlier_runs),
		REVOCATION_TEST(test_unknown_record_is_waited_for),
		REVOCATION_TEST(test_outdated_key_is_removed),
		cmocka_unit_test_setup_teardown(test_stop_during_a_call,
						open_fixture, close_fixture),
		cmocka_unit_test(test_invalid_records_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "state/revision_table.h"
#include "state/store_revision.h"
#include "store/kv_eras.h"

#define LEASE 7

/* A store that answers each call when the test says so. */
typedef struct {
	struct event_base *base;
	kv_store_t *store;
	kv_done_t pending; /* callback of the call under way, or NULL */
	void *pending_context;
	int64_t after;	   /* revision sent with the last watch */
	int64_t condition; /* revision sent with the last transaction */
	uint32_t restored; /* number of restores reported */
	/* The last answer delivered. */
	uint32_t answers;
	kv_result_t result;
	int64_t revision;
	int64_t item_revision;
} fixture_t;

static void hold(fixture_t *fixture, kv_done_t done, void *context)
{
	fixture->pending = done;
	fixture->pending_context = context;
}

static void fake_range(void *self, const char *prefix, const char *after_key,
		       kv_done_t done, void *context)
{
	hold(self, done, context);
}

static void fake_watch(void *self, const char *prefix, int64_t after,
		       uint32_t wait_ms, kv_done_t done, void *context)
{
	((fixture_t *)self)->after = after;
	hold(self, done, context);
}

static void fake_commit(void *self, const kv_transaction_t *transaction,
			kv_done_t done, void *context)
{
	if (transaction->conditions_count)
		((fixture_t *)self)->condition =
			transaction->conditions[0].revision;
	hold(self, done, context);
}

static void fake_lease_open(void *self, uint32_t ttl_ms, kv_done_t done,
			    void *context)
{
	hold(self, done, context);
}

static void fake_lease(void *self, int64_t lease, kv_done_t done, void *context)
{
	hold(self, done, context);
}

static void fake_destroy(void *self)
{
}

static void on_restored(void *context)
{
	((fixture_t *)context)->restored++;
}

static void on_answer(void *context, const kv_answer_t *answer)
{
	fixture_t *fixture = context;

	fixture->answers++;
	fixture->result = answer->result;
	fixture->revision = answer->revision;
	fixture->item_revision =
		answer->items->len ?
			((kv_item_t *)answer->items->pdata[0])->revision :
			0;
}

static int open_fixture(void **state)
{
	static const kv_store_calls_t calls = {
		.range = fake_range,
		.watch = fake_watch,
		.commit = fake_commit,
		.lease_open = fake_lease_open,
		.lease_renew = fake_lease,
		.lease_end = fake_lease,
		.destroy = fake_destroy,
	};
	fixture_t *fixture = g_new0(fixture_t, 1);
	kv_store_t *inner = g_new0(kv_store_t, 1);

	inner->calls = &calls;
	inner->self = fixture;
	fixture->base = event_base_new();
	fixture->store = kv_eras_create(fixture->base, inner);
	fixture->store->restored = on_restored;
	fixture->store->restored_context = fixture;
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	kv_store_destroy(fixture->store);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

/* Answers the call under way with one item of the same revision. */
static void answer(fixture_t *fixture, kv_result_t result, int64_t era,
		   int64_t revision)
{
	kv_item_t *item = g_new0(kv_item_t, 1);
	kv_answer_t message = {.result = result,
			       .era = era,
			       .revision = revision,
			       .lease = LEASE};
	const kv_done_t done = fixture->pending;

	assert_non_null(done);
	item->key = g_strdup("key");
	item->revision = revision;
	message.items =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_item_free);
	g_ptr_array_add(message.items, item);
	fixture->pending = NULL;
	done(fixture->pending_context, &message);
	g_ptr_array_unref(message.items);
}

static void list(fixture_t *fixture)
{
	fixture->store->calls->range(fixture->store->self, "", NULL, on_answer,
				     fixture);
}

static void watch(fixture_t *fixture, int64_t after)
{
	fixture->store->calls->watch(fixture->store->self, "", after, 1000,
				     on_answer, fixture);
}

static void commit(fixture_t *fixture, int64_t revision, int64_t lease)
{
	const kv_condition_t condition = {.key = "key", .revision = revision};
	const kv_put_t put = {.key = "key", .value = "v", .lease = lease};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = 1,
		.puts = &put,
		.puts_count = 1,
	};

	fixture->store->calls->commit(fixture->store->self, &transaction,
				      on_answer, fixture);
}

static void renew(fixture_t *fixture)
{
	fixture->store->calls->lease_renew(fixture->store->self, LEASE,
					   on_answer, fixture);
}

static void open_lease(fixture_t *fixture, int64_t era)
{
	fixture->store->calls->lease_open(fixture->store->self, 5000, on_answer,
					  fixture);
	answer(fixture, KV_OK, era, 0);
}

/* The result of a call that must fail without being sent. */
static kv_result_t result_unsent(fixture_t *fixture)
{
	const uint32_t answers = fixture->answers;

	assert_null(fixture->pending);
	assert_int_equal(fixture->answers, answers);
	event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_int_equal(fixture->answers, answers + 1);
	return fixture->result;
}

static void test_reissued_revision_is_newer(void **state)
{
	fixture_t *fixture = *state;
	revision_table_t *table = revision_table_create();

	list(fixture);
	answer(fixture, KV_OK, 1, 22);
	assert_true(revision_table_advance(table, "key", fixture->item_revision,
					   false));
	list(fixture);
	answer(fixture, KV_OK, 2, 21);
	assert_int_equal(fixture->restored, 1);
	assert_true(revision_table_advance(table, "key", fixture->item_revision,
					   false));
	assert_int_equal(store_revision_era(fixture->revision), 2);
	assert_int_equal(store_revision_number(fixture->revision), 21);
	revision_table_destroy(table);
}

static void test_watch_from_an_earlier_era_lists_again(void **state)
{
	fixture_t *fixture = *state;

	list(fixture);
	answer(fixture, KV_OK, 1, 24);
	watch(fixture, fixture->revision);
	assert_int_equal(fixture->after, 24);
	/* The revision was given out again, so that the store knows it. */
	answer(fixture, KV_OK, 2, 25);
	assert_int_equal(fixture->result, KV_COMPACTED);
	watch(fixture, store_revision_make(1, 24));
	assert_int_equal(result_unsent(fixture), KV_COMPACTED);
}

static void test_condition_of_an_earlier_era_fails(void **state)
{
	fixture_t *fixture = *state;

	commit(fixture, store_revision_make(1, 5), 0);
	assert_int_equal(fixture->condition, 5);
	answer(fixture, KV_OK, 1, 6);
	assert_int_equal(fixture->result, KV_OK);
	/* It took effect after the restore: the caller must look again. */
	commit(fixture, store_revision_make(1, 6), 0);
	answer(fixture, KV_OK, 2, 7);
	assert_int_equal(fixture->result, KV_UNKNOWN);
	commit(fixture, store_revision_make(1, 6), 0);
	assert_int_equal(result_unsent(fixture), KV_CONFLICT);
	commit(fixture, 0, 0);
	answer(fixture, KV_OK, 2, 8);
	assert_int_equal(fixture->result, KV_OK);
}

static void test_lease_of_an_earlier_era_has_ended(void **state)
{
	fixture_t *fixture = *state;

	open_lease(fixture, 1);
	renew(fixture);
	answer(fixture, KV_OK, 1, 0);
	assert_int_equal(fixture->result, KV_OK);
	/* The id may be another node's by now. */
	renew(fixture);
	answer(fixture, KV_OK, 2, 0);
	assert_int_equal(fixture->result, KV_ABSENT);
	renew(fixture);
	assert_int_equal(result_unsent(fixture), KV_ABSENT);
	commit(fixture, 0, LEASE);
	assert_int_equal(result_unsent(fixture), KV_ABSENT);
	fixture->store->calls->lease_end(fixture->store->self, LEASE, on_answer,
					 fixture);
	assert_int_equal(result_unsent(fixture), KV_ABSENT);
	open_lease(fixture, 2);
	renew(fixture);
	answer(fixture, KV_OK, 2, 0);
	assert_int_equal(fixture->result, KV_OK);
}

static void test_late_answer_of_an_earlier_era_is_dropped(void **state)
{
	fixture_t *fixture = *state;

	list(fixture);
	answer(fixture, KV_OK, 2, 5);
	list(fixture);
	answer(fixture, KV_OK, 1, 30);
	assert_int_equal(fixture->result, KV_UNKNOWN);
	assert_int_equal(fixture->item_revision, 0);
	assert_int_equal(fixture->restored, 0);
}

static void test_store_without_eras_works(void **state)
{
	fixture_t *fixture = *state;

	list(fixture);
	answer(fixture, KV_OK, 0, 9);
	assert_int_equal(fixture->revision, 9);
	open_lease(fixture, 0);
	renew(fixture);
	answer(fixture, KV_OK, 0, 0);
	assert_int_equal(fixture->result, KV_OK);
	assert_int_equal(fixture->restored, 0);
}

/* An answer without an era, as of a broken connection, tells nothing. */
static void test_failure_is_no_restore(void **state)
{
	fixture_t *fixture = *state;

	list(fixture);
	answer(fixture, KV_OK, 3, 9);
	list(fixture);
	answer(fixture, KV_UNKNOWN, 0, 0);
	assert_int_equal(fixture->result, KV_UNKNOWN);
	assert_int_equal(fixture->restored, 0);
	watch(fixture, store_revision_make(3, 9));
	answer(fixture, KV_OK, 3, 10);
	assert_int_equal(fixture->result, KV_OK);
}

#define ERAS_TEST(test) \
	cmocka_unit_test_setup_teardown(test, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		ERAS_TEST(test_reissued_revision_is_newer),
		ERAS_TEST(test_watch_from_an_earlier_era_lists_again),
		ERAS_TEST(test_condition_of_an_earlier_era_fails),
		ERAS_TEST(test_lease_of_an_earlier_era_has_ended),
		ERAS_TEST(test_late_answer_of_an_earlier_era_is_dropped),
		ERAS_TEST(test_store_without_eras_works),
		ERAS_TEST(test_failure_is_no_restore),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

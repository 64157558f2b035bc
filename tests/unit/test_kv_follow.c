#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"
#include "store/kv_follow.h"

/* A pending call that the test answers. */
typedef struct {
	bool watch;
	int64_t after;
	uint32_t wait_ms; /* of a watch */
	kv_done_t done;
	void *context;
} call_t;

typedef struct {
	struct event_base *base;
	kv_store_t *store;
	kv_follow_t *follow;
	GQueue calls;	   /* call_t */
	GString *reported; /* reported keys; a removed one has a '-' */
	int64_t synced;
} fixture_t;

static void add_call(fixture_t *fixture, bool watch, int64_t after,
		     kv_done_t done, void *context)
{
	call_t *call = g_new0(call_t, 1);

	call->watch = watch;
	call->after = after;
	call->done = done;
	call->context = context;
	g_queue_push_tail(&fixture->calls, call);
}

static void fake_range(void *self, const char *prefix, const char *after_key,
		       kv_done_t done, void *context)
{
	add_call(self, false, 0, done, context);
}

static void fake_watch(void *self, const char *prefix, int64_t after,
		       uint32_t wait_ms, kv_done_t done, void *context)
{
	fixture_t *fixture = self;

	add_call(fixture, true, after, done, context);
	((call_t *)g_queue_peek_tail(&fixture->calls))->wait_ms = wait_ms;
}

static void fake_destroy(void *self)
{
}

static void on_changed(void *context, const kv_item_t *item)
{
	fixture_t *fixture = context;

	g_string_append_printf(fixture->reported, "%s%s ",
			       item->deleted ? "-" : "", item->key);
}

static void on_synced(void *context, int64_t revision, uint64_t sent_ms)
{
	((fixture_t *)context)->synced = revision;
}

static int open_fixture(void **state)
{
	static const kv_store_calls_t calls = {
		.range = fake_range,
		.watch = fake_watch,
		.destroy = fake_destroy,
	};
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->base = event_base_new();
	fixture->store = g_new0(kv_store_t, 1);
	fixture->store->calls = &calls;
	fixture->store->self = fixture;
	fixture->reported = g_string_new("");
	g_queue_init(&fixture->calls);
	fixture->follow =
		kv_follow_create(fixture->base, fixture->store, "p/", 0,
				 (kv_follow_handlers_t){.changed = on_changed,
							.synced = on_synced,
							.context = fixture});
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	kv_follow_destroy(fixture->follow);
	kv_store_destroy(fixture->store);
	g_queue_clear_full(&fixture->calls, g_free);
	g_string_free(fixture->reported, TRUE);
	event_base_free(fixture->base);
	g_free(fixture);
	return 0;
}

/* Runs the event loop until the follower calls the store. */
static call_t *next_call(fixture_t *fixture)
{
	while (g_queue_is_empty(&fixture->calls))
		event_base_loop(fixture->base, EVLOOP_ONCE);
	return g_queue_pop_head(&fixture->calls);
}

/* Answers a call with keys; a key with a leading '-' was removed. */
static void answer(call_t *call, kv_result_t result, int64_t revision,
		   const char *keys)
{
	g_auto(GStrv) names = g_strsplit(keys, " ", 0);
	kv_answer_t answer = {.result = result, .revision = revision};

	answer.items =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_item_free);
	for (char **name = names; *name && **name; name++) {
		kv_item_t *item = g_new0(kv_item_t, 1);

		item->deleted = **name == '-';
		item->key = g_strdup(*name + item->deleted);
		item->revision = revision;
		g_ptr_array_add(answer.items, item);
	}
	call->done(call->context, &answer);
	g_ptr_array_unref(answer.items);
	g_free(call);
}

/* Time in which a change must be in force on the users' small sites. */
#define APPLY_MS 4000

/* The store's answer may be lost without a sign. */
static void test_silent_watch_ends_before_a_change_is_due(void **state)
{
	fixture_t *fixture = *state;
	call_t *call;

	answer(next_call(fixture), KV_OK, 7, "a");
	call = next_call(fixture);
	assert_true(call->watch);
	assert_true(call->wait_ms < APPLY_MS);
	g_free(call);
}

static void test_lists_and_then_watches(void **state)
{
	fixture_t *fixture = *state;
	call_t *call = next_call(fixture);

	assert_false(call->watch);
	answer(call, KV_OK, 7, "a b");
	call = next_call(fixture);
	assert_true(call->watch);
	assert_int_equal(call->after, 7);
	answer(call, KV_OK, 9, "c -a");
	assert_string_equal(fixture->reported->str, "a b c -a ");
	assert_int_equal(fixture->synced, 9);
	g_free(next_call(fixture));
}

static void
test_compacted_history_lists_again_and_reports_removals(void **state)
{
	fixture_t *fixture = *state;

	answer(next_call(fixture), KV_OK, 7, "a b");
	answer(next_call(fixture), KV_COMPACTED, 0, "");
	g_string_truncate(fixture->reported, 0);
	answer(next_call(fixture), KV_OK, 20, "b");
	assert_string_equal(fixture->reported->str, "b -a ");
	assert_int_equal(fixture->synced, 20);
	g_free(next_call(fixture));
}

/* Guards against a watch that is repeated for ever: lists have pages. */
static void test_changes_too_large_for_a_watch_are_listed(void **state)
{
	fixture_t *fixture = *state;
	call_t *call;

	answer(next_call(fixture), KV_OK, 7, "a b");
	answer(next_call(fixture), KV_TOO_LARGE, 0, "");
	g_string_truncate(fixture->reported, 0);
	call = next_call(fixture);
	assert_int_equal(call->after, 0);
	answer(call, KV_OK, 20, "b c");
	assert_string_equal(fixture->reported->str, "b c -a ");
	assert_int_equal(fixture->synced, 20);
	g_free(next_call(fixture));
}

/*
 * A watch sent before an outage of the store may never be answered; its late
 * answer must be ignored.
 */
static void test_restart_ignores_a_pending_answer(void **state)
{
	fixture_t *fixture = *state;
	call_t *old;
	call_t *call;

	answer(next_call(fixture), KV_OK, 7, "a");
	old = next_call(fixture);
	kv_follow_restart(fixture->follow);
	call = next_call(fixture);
	assert_int_equal(call->after, 7);
	g_string_truncate(fixture->reported, 0);
	answer(old, KV_OK, 8, "late");
	assert_string_equal(fixture->reported->str, "");
	answer(call, KV_OK, 9, "new");
	assert_string_equal(fixture->reported->str, "new ");
	g_free(next_call(fixture));
}

static void test_failed_call_is_retried(void **state)
{
	fixture_t *fixture = *state;

	answer(next_call(fixture), KV_UNKNOWN, 0, "");
	answer(next_call(fixture), KV_OK, 7, "a");
	answer(next_call(fixture), KV_REFUSED, 0, "");
	answer(next_call(fixture), KV_OK, 8, "b");
	assert_string_equal(fixture->reported->str, "a b ");
	g_free(next_call(fixture));
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_silent_watch_ends_before_a_change_is_due),
		TEST(test_lists_and_then_watches),
		TEST(test_compacted_history_lists_again_and_reports_removals),
		TEST(test_changes_too_large_for_a_watch_are_listed),
		TEST(test_restart_ignores_a_pending_answer),
		TEST(test_failed_call_is_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "standin/backend/engine.h"

static engine_t primary;
static engine_t replica;

static int set_up(void **state)
{
	engine_open(&primary, "primary", true, 1, 0);
	engine_open(&replica, "replica", false, 1, 0);
	return 0;
}

static int tear_down(void **state)
{
	engine_close(&primary);
	engine_close(&replica);
	return 0;
}

static void put(engine_t *engine, const char *key, const char *value)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(change_delete);

	g_ptr_array_add(changes, change_new(CHANGE_PUT, "toucanhook_requests",
					    key, value));
	engine_commit(engine, changes, 0);
}

static const char *row(const engine_t *engine, const char *key)
{
	return g_hash_table_lookup(engine_table(engine, "toucanhook_requests"),
				   key);
}

/*
 * Replicates as a stream does: drops the records of @p to that the logs do not
 * share and sends the missing ones of @p from.
 */
static void ship(const engine_t *from, engine_t *to)
{
	json_t *term_ends = journal_term_ends(&to->journal);
	uint64_t common = journal_common_position(&from->journal, term_ends);

	engine_truncate(to, common);
	for (uint64_t i = common + 1; i <= from->journal.records->len; i++) {
		json_t *line = record_to_json(journal_at(&from->journal, i));

		engine_receive(to, record_from_json(line, 0));
		json_decref(line);
	}
	engine_replay(to, 0);
	json_decref(term_ends);
}

static void test_fence_rejects_terms_that_are_not_higher(void **state)
{
	assert_true(engine_fence(&replica, 3));
	assert_false(engine_fence(&replica, 3));
	assert_false(engine_fence(&replica, 2));
	assert_false(engine_accepts_records(&replica, 1));
	assert_false(engine_follow(&replica, 2));
	assert_true(engine_follow(&replica, 3));
	assert_true(engine_accepts_records(&replica, 3));
}

static void test_fenced_primary_rejects_changes(void **state)
{
	assert_true(engine_is_primary_in(&primary, 1));
	engine_fence(&primary, 2);
	assert_false(engine_writable(&primary));
	assert_false(engine_is_primary_in(&primary, 1));
}

static void test_promotion_needs_the_fence_at_its_term(void **state)
{
	ship(&primary, &replica);
	assert_false(engine_promote(&replica, 2, 0));
	engine_fence(&replica, 2);
	engine_fence(&replica, 3);
	assert_false(engine_promote(&replica, 2, 0));
	assert_true(engine_promote(&replica, 3, 0));
	assert_int_equal(journal_end(&replica.journal).term, 3);
	assert_true(engine_is_primary_in(&replica, 3));
	assert_false(engine_follow(&replica, 3));
}

static void test_follow_drops_the_divergent_tail(void **state)
{
	put(&primary, "kept", "1");
	ship(&primary, &replica);
	put(&primary, "dropped", "1");
	put(&primary, "kept", "overwritten");
	engine_fence(&replica, 2);
	engine_promote(&replica, 2, 0);
	put(&replica, "new", "1");
	assert_true(engine_follow(&primary, 2));
	ship(&replica, &primary);
	assert_null(row(&primary, "dropped"));
	assert_string_equal(row(&primary, "kept"), "1");
	assert_string_equal(row(&primary, "new"), "1");
	assert_int_equal(journal_end(&primary.journal).position,
			 journal_end(&replica.journal).position);
	assert_int_equal(journal_end(&primary.journal).term, 2);
}

static void test_replica_continues_after_its_last_record(void **state)
{
	put(&primary, "first", "1");
	ship(&primary, &replica);
	put(&primary, "second", "1");
	ship(&primary, &replica);
	assert_string_equal(row(&replica, "first"), "1");
	assert_string_equal(row(&replica, "second"), "1");
	assert_int_equal(journal_end(&replica.journal).position, 3);
}

static void test_replay_lags_behind_received_records(void **state)
{
	replica.replay_lag_ms = 50;
	put(&primary, "a", "1");
	ship(&primary, &replica);
	assert_null(row(&replica, "a"));
	assert_int_equal(journal_end(&replica.journal).position, 2);
	assert_int_equal(engine_replay_point(&replica).position, 0);
	assert_int_equal(engine_replay(&replica, 20), 30);
	assert_int_equal(engine_replay(&replica, 50), UINT64_MAX);
	assert_string_equal(row(&replica, "a"), "1");
}

static void test_promotion_replays_all_received_records(void **state)
{
	replica.replay_lag_ms = 50;
	put(&primary, "a", "1");
	ship(&primary, &replica);
	engine_fence(&replica, 2);
	engine_promote(&replica, 2, 1);
	assert_string_equal(row(&replica, "a"), "1");
}

static void test_row_lock_is_held_by_its_first_writer(void **state)
{
	int first = 0;
	int second = 0;

	assert_true(engine_lock(&primary, "t", "a", &first));
	assert_true(engine_lock(&primary, "t", "a", &first));
	assert_false(engine_lock(&primary, "t", "a", &second));
	engine_unlock(&primary, &first);
	assert_true(engine_lock(&primary, "t", "a", &second));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_fence_rejects_terms_that_are_not_higher),
		TEST(test_fenced_primary_rejects_changes),
		TEST(test_promotion_needs_the_fence_at_its_term),
		TEST(test_follow_drops_the_divergent_tail),
		TEST(test_replica_continues_after_its_last_record),
		TEST(test_replay_lags_behind_received_records),
		TEST(test_promotion_replays_all_received_records),
		TEST(test_row_lock_is_held_by_its_first_writer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/change_log.h"

#define REMOVALS_MAX 4u

static int open_log(void **state)
{
	*state = change_log_create(REMOVALS_MAX);
	return 0;
}

static int close_log(void **state)
{
	change_log_destroy(*state);
	return 0;
}

static void test_reader_gets_what_came_later(void **state)
{
	change_log_t *log = *state;
	g_autoptr(GPtrArray) changes = g_ptr_array_new();

	change_log_put(log, "a", 5, "one");
	change_log_put(log, "b", 7, "two");
	change_log_put(log, "a", 9, NULL);
	change_log_synced(log, 9);
	assert_false(change_log_since(log, 7, changes));
	assert_int_equal(changes->len, 1);
	assert_null(((change_t *)changes->pdata[0])->text);
	assert_int_equal(change_log_revision(log), 9);
}

static void test_new_reader_gets_all_present_keys(void **state)
{
	change_log_t *log = *state;
	g_autoptr(GPtrArray) changes = g_ptr_array_new();

	change_log_put(log, "a", 5, "one");
	change_log_put(log, "b", 7, "two");
	change_log_put(log, "a", 9, NULL);
	assert_true(change_log_since(log, 0, changes));
	assert_int_equal(changes->len, 1);
	assert_string_equal(((change_t *)changes->pdata[0])->key, "b");
}

/* A server that left must not come back with an older report of it. */
static void test_older_change_is_ignored(void **state)
{
	change_log_t *log = *state;
	g_autoptr(GPtrArray) changes = g_ptr_array_new();

	change_log_put(log, "a", 9, NULL);
	change_log_put(log, "a", 5, "one");
	assert_true(change_log_since(log, 0, changes));
	assert_int_equal(changes->len, 0);
}

static void test_reader_behind_forgotten_removals_gets_all(void **state)
{
	change_log_t *log = *state;
	g_autoptr(GPtrArray) changes = g_ptr_array_new();

	change_log_put(log, "kept", 1, "one");
	for (int i = 0; i <= (int)REMOVALS_MAX; i++) {
		g_autofree char *key = g_strdup_printf("key-%d", i);

		change_log_put(log, key, 10 + i, NULL);
	}
	assert_true(change_log_since(log, 9, changes));
	assert_int_equal(changes->len, 1);
	g_ptr_array_set_size(changes, 0);
	assert_false(change_log_since(log, 10 + REMOVALS_MAX, changes));
	assert_int_equal(changes->len, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_reader_gets_what_came_later, open_log, close_log),
		cmocka_unit_test_setup_teardown(
			test_new_reader_gets_all_present_keys, open_log,
			close_log),
		cmocka_unit_test_setup_teardown(test_older_change_is_ignored,
						open_log, close_log),
		cmocka_unit_test_setup_teardown(
			test_reader_behind_forgotten_removals_gets_all,
			open_log, close_log),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

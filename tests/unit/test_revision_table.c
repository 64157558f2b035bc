#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/revision_table.h"

/*
 * A server has left, which one hub reported; another hub, which the store
 * turned away, still reports its entry.
 */
static void test_removed_key_does_not_come_back(void **state)
{
	revision_table_t *table = revision_table_create();

	assert_true(revision_table_advance(table, "servers/a", 95, false));
	assert_true(revision_table_advance(table, "servers/a", 100, false));
	assert_false(revision_table_advance(table, "servers/a", 95, false));
	assert_true(revision_table_advance(table, "servers/b", 95, false));
	assert_true(revision_table_advance(table, "servers/a", 101, false));
	revision_table_destroy(table);
}

static void test_last_change_counts_again_if_asked(void **state)
{
	revision_table_t *table = revision_table_create();

	assert_true(revision_table_advance(table, "a", 5, true));
	assert_false(revision_table_advance(table, "a", 5, false));
	assert_true(revision_table_advance(table, "a", 5, true));
	assert_false(revision_table_advance(table, "a", 4, true));
	revision_table_destroy(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_removed_key_does_not_come_back),
		cmocka_unit_test(test_last_change_counts_again_if_asked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/log_point.h"

static void test_term_takes_precedence_over_position(void **state)
{
	const log_point_t old_term_end = {.term = 1, .position = 900};
	const log_point_t new_term_start = {.term = 2, .position = 10};

	assert_true(log_point_compare(old_term_end, new_term_start) < 0);
	assert_false(log_point_covers(old_term_end, new_term_start));
	assert_int_equal(log_point_max(old_term_end, new_term_start).term, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_term_takes_precedence_over_position),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

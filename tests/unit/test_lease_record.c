#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "state/lease_record.h"

static bool is_valid(const char *bytes, size_t size)
{
	g_autoptr(GBytes) value = g_bytes_new(bytes, size);
	lease_record_t record;

	return lease_record_decode(value, &record);
}

/* Such a record was taken without what follows the NUL byte. */
static void test_record_with_nul_is_invalid(void **state)
{
	lease_record_t record;

	assert_true(is_valid("7 1000 12", 9));
	assert_false(is_valid("7 1000 12", 10));
	assert_false(is_valid("7 1000 12\0003", 11));
	assert_false(is_valid("7 1000\00012", 9));
	assert_false(is_valid("", 0));
	assert_false(lease_record_decode(NULL, &record));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_record_with_nul_is_invalid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

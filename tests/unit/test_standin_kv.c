#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "standin/platform/kv.h"

static kv_t kv;

static int set_up(void **state)
{
	kv_open(&kv);
	return 0;
}

static int tear_down(void **state)
{
	kv_close(&kv);
	return 0;
}

static bool put(const char *key, const kv_condition_t *condition)
{
	g_autoptr(GBytes) value = g_bytes_new_static("value", 5);

	return kv_put(&kv, key, value, condition);
}

static void test_compare_and_set_needs_the_current_index(void **state)
{
	uint64_t index;

	assert_true(put("a", &(kv_condition_t){.has_cas = true, .cas = 0}));
	assert_false(put("a", &(kv_condition_t){.has_cas = true, .cas = 0}));
	index = kv_get(&kv, "a")->index;
	assert_true(put("b", &(kv_condition_t){0}));
	assert_true(put("a", &(kv_condition_t){.has_cas = true, .cas = index}));
	assert_false(
		put("a", &(kv_condition_t){.has_cas = true, .cas = index}));
	assert_true(kv_get(&kv, "a")->index > index);
}

static void test_lease_is_held_until_its_session_ends(void **state)
{
	g_autofree char *first = kv_session_create(&kv, 100, 0);
	g_autofree char *second = kv_session_create(&kv, 1000, 0);

	assert_true(put("l", &(kv_condition_t){.acquire = first}));
	assert_false(put("l", &(kv_condition_t){.acquire = second}));
	assert_true(kv_session_renew(&kv, first, 50));
	assert_false(kv_expire(&kv, 149));
	assert_true(kv_expire(&kv, 150));
	assert_false(kv_session_renew(&kv, first, 150));
	assert_false(put("l", &(kv_condition_t){.acquire = first}));
	assert_true(put("l", &(kv_condition_t){.acquire = second}));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_compare_and_set_needs_the_current_index),
		TEST(test_lease_is_held_until_its_session_ends),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

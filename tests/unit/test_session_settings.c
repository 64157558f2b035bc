#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "state/session_settings.h"

static void assert_shown(const session_settings_t *settings, const char *name,
			 const char *expected)
{
	g_autofree char *shown = session_settings_show(settings, name, NULL);

	assert_non_null(shown);
	assert_string_equal(shown, expected);
}

static void test_token_keeps_the_later_point(void **state)
{
	g_autoptr(session_token_t) token = session_token_create();
	g_autofree char *text = NULL;

	assert_true(session_token_merge(token, "b:2:10, a:1:900", NULL));
	assert_true(session_token_merge(token, "a:2:5,b:1:999", NULL));
	text = session_token_format(token);
	assert_string_equal(text, "a:2:5,b:2:10");
	assert_false(session_token_raise(token, "a", (log_point_t){2, 4}));
	assert_true(session_token_raise(token, "a", (log_point_t){2, 6}));
	assert_int_equal(session_token_point(token, "c").term, 0);
}

static void test_invalid_token_changes_nothing(void **state)
{
	static const char *const invalid[] = {
		"a",
		"a:1",
		":1:2",
		"a:1:2,",
		"a:-1:2",
		"a:1:x",
		"a:1:99999999999999999999",
	};
	g_autoptr(session_token_t) token = session_token_create();
	g_autoptr(GString) many = g_string_new("a:1:1");
	g_autofree char *text = NULL;
	size_t i;

	session_token_raise(token, "a", (log_point_t){1, 2});
	assert_true(session_token_merge(token, "", NULL));
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GError) error = NULL;

		assert_false(session_token_merge(token, invalid[i], &error));
		assert_non_null(error);
	}
	for (i = 0; i < SESSION_TOKEN_DATABASES_MAX; i++)
		g_string_append_printf(many, ",d%zu:1:1", i);
	assert_false(session_token_merge(token, many->str, NULL));
	text = session_token_format(token);
	assert_string_equal(text, "a:1:2");
}

static void test_settings_are_validated(void **state)
{
	g_autoptr(session_settings_t) settings = session_settings_new();

	assert_true(session_settings_set(settings, "toucanhook.consistency",
					 "STRONG", NULL));
	assert_true(session_settings_set(settings, "toucanhook.max_age_ms",
					 "250", NULL));
	assert_false(session_settings_set(settings, "toucanhook.max_age_ms",
					  "-1", NULL));
	assert_false(session_settings_set(settings, "toucanhook.consistency",
					  "weak", NULL));
	assert_false(
		session_settings_set(settings, "toucanhook.none", "1", NULL));
	assert_shown(settings, "toucanhook.consistency", "strong");
	assert_shown(settings, "toucanhook.max_age_ms", "250");
}

static void test_only_fixed_values_of_server_settings_are_accepted(void **state)
{
	g_autoptr(session_settings_t) settings = session_settings_new();

	assert_true(session_settings_set(settings, "client_encoding", "UTF8",
					 NULL));
	assert_true(
		session_settings_set(settings, "application_name", "x", NULL));
	assert_false(session_settings_set(settings, "client_encoding", "LATIN1",
					  NULL));
	assert_false(session_settings_set(settings, "search_path", "a", NULL));
	assert_false(session_settings_set(settings, "timezone", NULL, NULL));
}

static void test_options_set_settings(void **state)
{
	g_autoptr(session_settings_t) settings = session_settings_new();

	assert_true(session_settings_options(
		settings,
		"-c toucanhook.token=a:1:2 --toucanhook.max-age-ms=5  "
		"-ctoucanhook.request_key=one\\ two",
		NULL));
	assert_shown(settings, "toucanhook.token", "a:1:2");
	assert_shown(settings, "toucanhook.max_age_ms", "5");
	assert_shown(settings, "toucanhook.request_key", "one two");
	assert_false(session_settings_options(settings, "-c", NULL));
	assert_false(session_settings_options(settings, "-c a", NULL));
	assert_false(session_settings_options(settings, "-x y", NULL));
}

static void test_reset_of_all_keeps_the_token(void **state)
{
	g_autoptr(session_settings_t) settings = session_settings_new();

	session_settings_options(settings,
				 "-c toucanhook.token=a:1:2 "
				 "-c toucanhook.consistency=age",
				 NULL);
	assert_true(session_settings_reset(settings, NULL, NULL));
	assert_shown(settings, "toucanhook.consistency", "session");
	assert_shown(settings, "toucanhook.token", "a:1:2");
	assert_true(session_settings_reset(settings, "toucanhook.token", NULL));
	assert_shown(settings, "toucanhook.token", "");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_token_keeps_the_later_point),
		cmocka_unit_test(test_invalid_token_changes_nothing),
		cmocka_unit_test(test_settings_are_validated),
		cmocka_unit_test(
			test_only_fixed_values_of_server_settings_are_accepted),
		cmocka_unit_test(test_options_set_settings),
		cmocka_unit_test(test_reset_of_all_keeps_the_token),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

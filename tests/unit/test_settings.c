#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "daemon/settings.h"

#define PUBLIC_KEY "pOeRb4Zlwn-5s<?+EsK&Yf)Em900GOaODLWt}8x>"
#define SECRET_KEY "qEIwc>HLFHPtcb<79[#PQ/V+vm9*9i>do4}ABpaY"

static const char *const valid_lines[] = {
	"node: akl-1",
	"region: nz",
	"failure_domain: akl",
	"callers: {address: 10.0.0.1, port: 5432}",
	"peers: {address: 10.0.0.1, port: 7001}",
	"operators: {address: 127.0.0.1, port: 9470}",
	"platform: {address: 10.0.0.9, port: 8500}",
	"fleet_public_key: '" PUBLIC_KEY "'",
	"fleet_secret_key: '" SECRET_KEY "'",
	"seeds: [{address: 10.0.0.2, port: 7001}]",
	"routes: [{endpoint: {address: 10.0.1.1, port: 7001},"
	" via: {address: 10.9.0.1, port: 17001}}]",
	NULL,
};

static settings_t *load(const char *text, GError **error)
{
	g_autofree char *path = NULL;
	const int file = g_file_open_tmp("settings-XXXXXX.yaml", &path, NULL);
	settings_t *settings;

	assert_true(file >= 0);
	close(file);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	settings = settings_load(path, error);
	if (*error) {
		g_autofree char *prefix = g_strconcat(path, ":", NULL);

		assert_true(g_str_has_prefix((*error)->message, prefix));
	}
	g_unlink(path);
	return settings;
}

static void test_valid_settings_are_read(void **state)
{
	g_autofree char *text = g_strjoinv("\n", (char **)valid_lines);
	g_autoptr(GError) error = NULL;
	settings_t *settings = load(text, &error);
	endpoint_t endpoint;

	assert_null(error);
	assert_string_equal(settings->node, "akl-1");
	assert_int_equal(settings->platform.port, 8500);
	assert_string_equal(settings->log_level, "info");
	assert_int_equal(settings->seeds_count, 1);
	endpoint = settings_route(settings, "10.0.1.1", 7001);
	assert_string_equal(endpoint.address, "10.9.0.1");
	assert_int_equal(endpoint.port, 17001);
	endpoint = settings_route(settings, "10.0.1.1", 7002);
	assert_string_equal(endpoint.address, "10.0.1.1");
	assert_int_equal(endpoint.port, 7002);
	settings_delete(settings);
}

static void test_operators_default_to_loopback(void **state)
{
	char *lines[G_N_ELEMENTS(valid_lines)];
	g_autofree char *text = NULL;
	g_autoptr(GError) error = NULL;
	settings_t *settings;

	memcpy(lines, valid_lines, sizeof(valid_lines));
	lines[5] = "";
	text = g_strjoinv("\n", lines);
	settings = load(text, &error);
	assert_null(error);
	assert_string_equal(settings->operators.address, "127.0.0.1");
	settings_delete(settings);
}

typedef struct {
	uint32_t line;
	const char *text;
	const char *expected; /* part of the message */
} invalid_t;

static const invalid_t invalid[] = {
	{1, "node: Akl_1", ":1: node: expected a name of a-z"},
	{1, "node: ''", ":1: node: expected a name"},
	/* These were read up to the NUL. */
	{1, "node: \"akl-1\\0-x\"", ":1: a text contains a NUL"},
	{1, "\"node\\0x\": akl-1", ":1: a text contains a NUL"},
	{10, "seeds: [{address: \"10.0.0.1\\x00\", port: 1}]",
	 ":10: a text contains a NUL"},
	{1, "nodes: akl-1", ":1: Unexpected key: nodes"},
	{3, "", "failure_domain"},
	{3, "failure_domain: [a]", ":3: "},
	{4, "callers: {address: db.example, port: 1}",
	 ":4: callers.address: expected an IP number"},
	{4, "callers: {address: 10.0.0.1, port: 0}",
	 ":4: callers.port: expected 1 to 65535"},
	{4, "callers: {address: 10.0.0.1, port: 65536}", ":4: "},
	{4, "callers: {address: 10.0.0.1, port: -1}", ":4: "},
	{4, "callers: {address: 10.0.0.1, port: http}", ":4: "},
	{4, "callers: {address: 10.0.0.1}", ":4: "},
	{4, "callers:\n  port: 1\n  address: 10.0.0.1:1",
	 ":6: callers.address: expected an IP number"},
	{4, "node: twice", ":4: node: duplicate key"},
	{8, "fleet_public_key: abc", ":8: fleet_public_key: expected a CURVE"},
	{8, "fleet_public_key: '" SECRET_KEY "'",
	 ":8: fleet_public_key: expected the public key of fleet_secret_key"},
	{9, "fleet_secret_key: abc", ":9: fleet_secret_key: expected a CURVE"},
	{10, "log_level: loud", ":10: log_level: expected error, warning"},
	{10, "tls_key: /etc/key", ":10: tls_key: expected tls_certificate"},
	{10, "tls_certificate: /c", ":10: tls_certificate: expected tls_key"},
	{10, "seeds: [{address: a, port: 1}]", ":10: seeds[0].address"},
	{10, "seeds: [*a]", ":10: aliases"},
	{11, "routes: [{endpoint: {address: ::1, port: 1}}]", ":11: "},
	{11, "routes: [", ":12: did not find expected"},
	{11, "...\n---\nnode: b", ":12: a second document"},
};

static void test_invalid_settings_report_location_and_reason(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		char *lines[G_N_ELEMENTS(valid_lines)];
		g_autofree char *text = NULL;
		g_autoptr(GError) error = NULL;

		memcpy(lines, valid_lines, sizeof(valid_lines));
		lines[invalid[i].line - 1] = (char *)invalid[i].text;
		text = g_strjoinv("\n", lines);
		assert_null(load(text, &error));
		assert_non_null(error);
		if (!strstr(error->message, invalid[i].expected))
			fail_msg("'%s' gave '%s'", invalid[i].text,
				 error->message);
	}
}

static void test_missing_and_empty_files_are_errors(void **state)
{
	g_autoptr(GError) missing = NULL;
	g_autoptr(GError) empty = NULL;

	assert_null(settings_load("/nonexistent/settings.yaml", &missing));
	assert_non_null(strstr(missing->message, "/nonexistent/"));
	assert_null(load("", &empty));
	assert_non_null(strstr(empty->message, "empty"));
}

/* Seeded random changes of single bytes must not crash the loader. */
static void test_mutated_settings_are_accepted_or_rejected(void **state)
{
	GRand *random = g_rand_new_with_seed(20261204);
	g_autofree char *text = g_strjoinv("\n", (char **)valid_lines);
	const gint32 length = (gint32)strlen(text);

	for (uint32_t round = 0; round < 2000; round++) {
		g_autofree char *mutant = g_strdup(text);
		g_autoptr(GError) error = NULL;
		settings_t *settings;

		for (gint32 n = g_rand_int_range(random, 1, 4); n; n--)
			mutant[g_rand_int_range(random, 0, length)] =
				(char)g_rand_int_range(random, 1, 256);
		settings = load(mutant, &error);
		assert_true(!settings == !!error);
		settings_delete(settings);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_settings_are_read),
		cmocka_unit_test(test_operators_default_to_loopback),
		cmocka_unit_test(
			test_invalid_settings_report_location_and_reason),
		cmocka_unit_test(test_missing_and_empty_files_are_errors),
		cmocka_unit_test(
			test_mutated_settings_are_accepted_or_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

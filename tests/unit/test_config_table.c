#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "state/config_codec.h"
#include "state/config_load.h"

#define KEY "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

/* Line numbers start at 1: line n is base_lines[n - 1]. */
static const char *const base_lines[] = {
	"site: base",
	"limits: {evidence_valid_ms: 300, suspect_ms: 1000, poll_ms: 250}",
	"failure_domains:",
	"- {name: akl, region: nz}",
	"- {name: wlg, region: nz}",
	"services:",
	"- name: core",
	"  slots: 2",
	"  connections: 20",
	"  confirm_replicas: 1",
	"  owners: 2",
	"  backend_user: toucanhook",
	"  databases:",
	"  - name: pairings",
	"    first_primary: p-akl",
	"    servers:",
	"    - {name: p-akl, failure_domain: akl, address: 10.0.0.1, port: 1}",
	"    - {name: p-wlg, failure_domain: wlg, address: 10.0.0.2, port: 1}",
	"  - name: events",
	"    first_primary: e-akl",
	"    servers:",
	"    - {name: e-akl, failure_domain: akl, address: 10.0.0.1, port: 2}",
	"    - {name: e-wlg, failure_domain: wlg, address: 10.0.0.2, port: 2}",
	"  classes:",
	"  - {name: owners, weight: 10}",
	"  - {name: dancers, max_age_ms: 2000, timeout_ms: 5000}",
	"  callers:",
	"  - {name: ana, class_name: owners, verifier: 'SCRAM-SHA-256$4096:"
	"c2FsdA==$" KEY ":" KEY "'}",
	NULL,
};

static const char valid_overlay[] = "site: akl-a\n"
				    "services:\n"
				    "- name: core\n"
				    "  connections: 24\n"
				    "  databases:\n"
				    "  - name: events\n"
				    "    remove: true\n"
				    "  classes:\n"
				    "  - name: dancers\n"
				    "    max_age_ms: 500\n";

static char *write_file(const char *text)
{
	char *path = NULL;
	const int file = g_file_open_tmp("config-XXXXXX.yaml", &path, NULL);

	assert_true(file >= 0);
	close(file);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

/* Replaces each path in a message by its letter: A, B, C. */
static char *replace_paths(const char *message, char *const *paths,
			   uint32_t count)
{
	char *text = g_strdup(message);

	for (uint32_t i = 0; i < count; i++) {
		const char letter[] = {(char)('A' + i), '\0'};
		g_auto(GStrv) parts = g_strsplit(text, paths[i], -1);

		g_free(text);
		text = g_strjoinv(letter, parts);
	}
	return text;
}

static config_t *load(const char *base, const char *first, const char *second,
		      char **message)
{
	const char *const texts[] = {base, first, second};
	char *paths[3];
	g_autoptr(GError) error = NULL;
	config_t *config;
	uint32_t count = 0;

	for (; count < 3 && texts[count]; count++)
		paths[count] = write_file(texts[count]);
	config = config_load((const char *const *)paths, count, &error);
	assert_true(!config == !!error);
	*message = error ? replace_paths(error->message, paths, count) : NULL;
	for (uint32_t i = 0; i < count; i++) {
		g_unlink(paths[i]);
		g_free(paths[i]);
	}
	return config;
}

typedef struct {
	uint32_t line; /* line of the base to replace; 0 for none */
	const char *text;
	const char *expected; /* one complete line of the message */
} invalid_base_t;

static const invalid_base_t invalid_bases[] = {
	{1, "", "A:2: site: expected text of 1 to 1024 characters"},
	{1, "sit: x", "A:1: sit: unknown key; did you mean site?"},
	{1, "site: 7", "A:1: site: expected text; add quotes"},
	{1, "site: x\nrevision: 9", "A:2: revision: unknown key"},
	{2, "limits: {suspect: 1000}",
	 "A:2: limits.suspect: unknown key; did you mean suspect_ms?"},
	{2, "limits: {suspect_s: 1}",
	 "A:2: limits.suspect_s: unknown key; did you mean suspect_ms?"},
	{2, "limits: {suspect_ms: 1s}",
	 "A:2: limits.suspect_ms: expected a whole number of milliseconds, "
	 "100 to 60000"},
	{2, "limits: {suspect_ms: 1.5}",
	 "A:2: limits.suspect_ms: expected a whole number of milliseconds, "
	 "100 to 60000"},
	{2, "limits: {drain_ms: -1}",
	 "A:2: limits.drain_ms: expected a whole number of milliseconds, "
	 "100 to 600000"},
	{2, "limits: {poll_ms: 99999}",
	 "A:2: limits.poll_ms: expected a whole number of milliseconds, "
	 "10 to 10000"},
	{2, "limits: [1]", "A:2: limits: expected a map"},
	{2, "limits: {evidence_valid_ms: 1000}",
	 "A:2: limits.evidence_valid_ms: expected less than suspect_ms, 1000"},
	{2, "limits: {confirm_timeout_ms: 200}",
	 "A:2: limits.confirm_timeout_ms: expected more than "
	 "evidence_valid_ms, 300"},
	{2, "limits: {suspect_ms: 400, poll_ms: 400}",
	 "A:2: limits.poll_ms: expected less than suspect_ms, 400"},
	{3, "failure_domain:",
	 "A:3: failure_domain: unknown key; did you mean failure_domains?"},
	{5, "- {name: akl, region: nz}",
	 "A:5: failure_domains[akl].name: akl: duplicate name"},
	{5, "- {name: wl g, region: nz}",
	 "A:5: failure_domains[wl g].name: expected a name of letters, "
	 "digits, - and _, at most 31 characters"},
	{8, "  slots: 3",
	 "A:16: services[core].databases[pairings].servers: expected as many "
	 "servers as the service has slots, 3"},
	{8, "  slots: 0",
	 "A:8: services[core].slots: expected a whole number, 1 to 16"},
	{9, "  connections: many",
	 "A:9: services[core].connections: expected a whole number, "
	 "1 to 10000"},
	{9, "  connections: 1",
	 "A:11: services[core].owners: expected at most connections, 1: each "
	 "owner needs one connection"},
	{10, "  confirm_replicas: 2",
	 "A:10: services[core].confirm_replicas: expected less than slots, "
	 "2: one slot is the primary"},
	{10, "  confirm_replicas: 0",
	 "A:10: services[core].confirm_replicas: expected at least 1: with 0, "
	 "a change is lost when its primary fails"},
	{11, "  owners: 9",
	 "A:11: services[core].owners: expected a whole number, 1 to 8"},
	{12, "  backend_user: ''",
	 "A:12: services[core].backend_user: expected text of 1 to 1024 "
	 "characters"},
	{15, "    first_primary: p-chc",
	 "A:15: services[core].databases[pairings].first_primary: p-chc: "
	 "expected the name of a server of this database"},
	{17,
	 "    - {name: p-akl, failure_domain: chc, address: 10.0.0.1, port: 1}",
	 "A:17: services[core].databases[pairings].servers[p-akl]."
	 "failure_domain: chc: expected one of failure_domains"},
	{17,
	 "    - {name: p-akl, failure_domain: akl, address: db.nz, port: 1}",
	 "A:17: services[core].databases[pairings].servers[p-akl].address: "
	 "expected an IP number such as 10.0.0.1"},
	{17,
	 "    - {name: p-akl, failure_domain: akl, address: 10.0.0.1, port: "
	 "65536}",
	 "A:17: services[core].databases[pairings].servers[p-akl].port: "
	 "expected a whole number, 1 to 65535"},
	{18,
	 "    - {name: p-akl, failure_domain: wlg, address: 10.0.0.2, port: 1}",
	 "A:18: services[core].databases[pairings].servers[p-akl].name: "
	 "p-akl: duplicate name"},
	{18,
	 "    - {name: p-wlg, failure_domain: wlg, address: 10.0.0.1, port: 1}",
	 "A:18: services[core].databases[pairings].servers[p-wlg].port: "
	 "server p-akl already uses this address and port"},
	{18,
	 "    - {name: p-wlg, failure_domain: wlg, address: 10.0.0.2, port: 1,"
	 " leaving: soon}",
	 "A:18: services[core].databases[pairings].servers[p-wlg].leaving: "
	 "expected true or false"},
	{19, "  - name: pairings",
	 "A:19: services[core].databases[pairings].name: pairings: duplicate "
	 "name"},
	{25, "  - {name: owners, weight: 0}",
	 "A:25: services[core].classes[owners].weight: expected a whole "
	 "number, 1 to 1000"},
	{26, "  - {name: dancers, max_age: 2}",
	 "A:26: services[core].classes[dancers].max_age: unknown key; did you "
	 "mean max_age_ms?"},
	{26, "  - {name: owners}",
	 "A:26: services[core].classes[owners].name: owners: duplicate name"},
	{25, "  - {name: owner}",
	 "A:28: services[core].callers[ana].class_name: owners: expected the "
	 "name of a class of this service"},
	{28, "  - {name: ana, class_name: owners, verifier: secret}",
	 "A:28: services[core].callers[ana].verifier: expected SCRAM-SHA-256$"
	 "ITERATIONS:SALT$STORED:SERVER, as toucanctl verifier prints"},
	{27, "  callers: {}", "A:28: did not find expected key"},
	{7, "- name: core\n  name: again", "A:8: name: duplicate key"},
	{2, "limits: *a", "A:2: aliases are not supported"},
};

static char *change_line(uint32_t line, const char *text)
{
	char *lines[G_N_ELEMENTS(base_lines)];

	memcpy(lines, base_lines, sizeof(base_lines));
	if (line)
		lines[line - 1] = (char *)text;
	return g_strjoinv("\n", lines);
}

static void assert_has_line(const char *message, const char *line)
{
	g_auto(GStrv) lines = g_strsplit(message ? message : "", "\n", -1);

	if (!g_strv_contains((const char *const *)lines, line))
		fail_msg("expected '%s', found '%s'", line, message);
}

static void test_invalid_base_reports_location_and_reason(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_bases); i++) {
		g_autofree char *text = change_line(invalid_bases[i].line,
						    invalid_bases[i].text);
		g_autofree char *message = NULL;

		config_delete(load(text, NULL, NULL, &message));
		assert_has_line(message, invalid_bases[i].expected);
	}
}

typedef struct {
	const char *overlay;
	const char *expected;
} invalid_overlay_t;

static const invalid_overlay_t invalid_overlays[] = {
	{"services:\n- name: cor\n  slots: 2\n",
	 "B:2: services[cor]: expected a name that exists in the base file"},
	{"services:\n- name: core\n  databases:\n  - name: orders\n"
	 "    remove: true\n",
	 "B:4: services[core].databases[orders]: expected a name that exists "
	 "in the base file"},
	{"services:\n- slots: 2\n",
	 "B:2: services: expected a name that identifies the element"},
	{"services:\n- name: core\n  owners: 2\n- name: core\n",
	 "B:4: services[core]: duplicate name in the overlay"},
	{"services: 1\n", "B:1: services: expected a list"},
	{"limits:\n  suspect_ms: [1]\n",
	 "B:2: limits.suspect_ms: expected a scalar"},
	{"limits:\n  suspect_ms: 200\n",
	 "A:2: limits.evidence_valid_ms: expected less than suspect_ms, 200"},
	{"limits:\n  dran_ms: 200\n",
	 "B:2: limits.dran_ms: unknown key; did you mean drain_ms?"},
	{"\nservices:\n- name: core\n  confirm_replicas: 5\n",
	 "B:4: services[core].confirm_replicas: expected less than slots, 2: "
	 "one slot is the primary"},
	{"services:\n- name: core\n  classes:\n  - name: owners\n"
	 "    remove: true\n",
	 "A:28: services[core].callers[ana].class_name: owners: expected the "
	 "name of a class of this service"},
	{"services:\n- name: core\n  databases:\n  - name: events\n"
	 "    servers:\n    - {name: e-wlg, remove: true}\n",
	 "A:21: services[core].databases[events].servers: expected as many "
	 "servers as the service has slots, 2"},
	{"services:\n- name: core\n  databases:\n  - name: events\n"
	 "    servers:\n    - {name: e-wlg, leaving: true}\n"
	 "    - {name: e-akl, leaving: true}\n",
	 "A:21: services[core].databases[events].servers: expected at least "
	 "one server without leaving: true"},
	{"services:\n- name: core\n  remove: yes\n",
	 "B:3: services[core]: expected only name and remove: true"},
};

static void test_invalid_overlay_reports_location_and_reason(void **state)
{
	g_autofree char *base = change_line(0, NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_overlays); i++) {
		g_autofree char *message = NULL;

		config_delete(load(base, invalid_overlays[i].overlay, NULL,
				   &message));
		assert_has_line(message, invalid_overlays[i].expected);
	}
}

static void test_conflicting_overlays_are_rejected(void **state)
{
	g_autofree char *base = change_line(0, NULL);
	g_autofree char *message = NULL;

	config_delete(load(base, "limits: {drain_ms: 900}",
			   "limits: {drain_ms: 800}", &message));
	assert_has_line(message, "C:1: limits.drain_ms: conflicts with the "
				 "value at B:1");
}

static void test_all_problems_are_reported_at_once(void **state)
{
	g_autofree char *base = change_line(9, "  connections: 0");
	g_autofree char *message = NULL;

	config_delete(load(base,
			   "sites: x\nlimits:\n  poll_ms: 5\n"
			   "services:\n- name: other\n",
			   NULL, &message));
	assert_has_line(message, "A:9: services[core].connections: expected a "
				 "whole number, 1 to 10000");
	assert_has_line(message, "B:1: sites: unknown key; did you mean site?");
	assert_has_line(message, "B:3: limits.poll_ms: expected a whole number "
				 "of milliseconds, 10 to 10000");
	assert_has_line(message, "B:5: services[other]: expected a name that "
				 "exists in the base file");
}

static void test_overlay_changes_only_what_differs(void **state)
{
	g_autofree char *base = change_line(0, NULL);
	g_autofree char *message = NULL;
	config_t *config = load(base, valid_overlay, "site: wlg-a\n", &message);
	const config_service_t *service;

	assert_null(message);
	service = &config->services[0];
	assert_string_equal(config->site, "akl-a,wlg-a");
	assert_int_equal(service->connections, 24);
	assert_int_equal(service->slots, 2);
	assert_int_equal(service->databases_count, 1);
	assert_string_equal(service->databases[0].name, "pairings");
	assert_int_equal(service->classes[0].weight, 10);
	assert_int_equal(service->classes[1].max_age_ms, 500);
	assert_int_equal(service->classes[1].timeout_ms, 5000);
	assert_int_equal(config->limits.drain_ms, 30000);
	config_delete(config);
}

static void test_encoding_round_trip(void **state)
{
	g_autofree char *base = change_line(0, NULL);
	g_autofree char *message = NULL;
	g_autofree char *stored = NULL;
	g_autofree char *again = NULL;
	g_autoptr(GError) error = NULL;
	config_t *config = load(base, NULL, NULL, &message);
	config_t *decoded;

	assert_null(message);
	config->revision = 7;
	g_free(config->change_id);
	config->change_id = g_strdup("c7");
	stored = config_codec_encode(config);
	decoded = config_codec_decode((const uint8_t *)stored, strlen(stored),
				      &error);
	assert_null(error);
	again = config_codec_encode(decoded);
	assert_string_equal(stored, again);
	assert_int_equal(decoded->revision, 7);
	assert_string_equal(
		decoded->services[0].databases[1].servers[1].address,
		"10.0.0.2");
	config_delete(config);
	config_delete(decoded);
}

static void check_example(const char *const *paths, uint32_t count)
{
	g_autoptr(GError) error = NULL;
	config_t *config = config_load(paths, count, &error);

	if (!config) {
		fail_msg("%s", error->message);
		return;
	}
	assert_int_equal(config->services_count, 3);
	assert_int_equal(config->services[2].databases_count, 3);
	assert_int_equal(config->services[2].databases[2].servers_count, 3);
	config_delete(config);
}

/* Paths are relative to the root of the repository. */
static void test_examples_are_valid(void **state)
{
	static const char *const examples[][4] = {
		{"examples/tauhara/base.yaml", "examples/tauhara/akl-a.yaml",
		 "examples/tauhara/wlg-a.yaml", "examples/tauhara/chc-a.yaml"},
		{"examples/tikva/base.yaml", "examples/tikva/plovdiv-a.yaml",
		 "examples/tikva/gabrovo-a.yaml",
		 "examples/tikva/varna-a.yaml"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(examples); i++) {
		check_example(examples[i], 1);
		check_example(examples[i], 4);
		for (size_t j = 1; j < 4; j++)
			check_example((const char *[]){examples[i][0],
						       examples[i][j]},
				      2);
	}
}

/* Seeded random changes to a base file must not crash the loader. */
static void test_mutated_files_are_accepted_or_rejected(void **state)
{
	GRand *random = g_rand_new_with_seed(20261204);
	g_autofree char *base = change_line(0, NULL);
	const gint32 length = (gint32)strlen(base);

	for (uint32_t round = 0; round < 2000; round++) {
		g_autofree char *mutant = g_strdup(base);
		g_autofree char *message = NULL;

		for (gint32 n = g_rand_int_range(random, 1, 4); n; n--)
			mutant[g_rand_int_range(random, 0, length)] =
				(char)g_rand_int_range(random, 1, 256);
		config_delete(load(mutant, round % 2 ? valid_overlay : NULL,
				   NULL, &message));
	}
	g_rand_free(random);
}

/* Seeded random changes to the encoded form must not crash the decoder. */
static void test_mutated_encoding_is_accepted_or_rejected(void **state)
{
	GRand *random = g_rand_new_with_seed(20261204);
	g_autofree char *base = change_line(0, NULL);
	g_autofree char *message = NULL;
	g_autofree char *stored = NULL;
	config_t *config = load(base, NULL, NULL, &message);
	gint32 length;

	config->revision = 1;
	g_free(config->change_id);
	config->change_id = g_strdup("c1");
	stored = config_codec_encode(config);
	config_delete(config);
	length = (gint32)strlen(stored);
	for (uint32_t round = 0; round < 5000; round++) {
		g_autofree char *mutant = g_strdup(stored);
		g_autoptr(GError) error = NULL;
		gint32 size = g_rand_int_range(random, 0, 4) ?
				      length :
				      g_rand_int_range(random, 0, length);

		for (gint32 n = g_rand_int_range(random, 1, 4); n; n--)
			mutant[g_rand_int_range(random, 0, length)] =
				(char)g_rand_int_range(random, 1, 256);
		config = config_codec_decode((const uint8_t *)mutant,
					     (size_t)size, &error);
		assert_true(!config == !!error);
		config_delete(config);
	}
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_base_reports_location_and_reason),
		cmocka_unit_test(
			test_invalid_overlay_reports_location_and_reason),
		cmocka_unit_test(test_conflicting_overlays_are_rejected),
		cmocka_unit_test(test_all_problems_are_reported_at_once),
		cmocka_unit_test(test_overlay_changes_only_what_differs),
		cmocka_unit_test(test_encoding_round_trip),
		cmocka_unit_test(test_examples_are_valid),
		cmocka_unit_test(test_mutated_files_are_accepted_or_rejected),
		cmocka_unit_test(test_mutated_encoding_is_accepted_or_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

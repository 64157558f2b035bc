#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform/boot_settings.h"
#include "platform/documents.h"
#include "platform/kv_http.h"
#include "state/primary_record.h"

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"database\":\"orders\","
	"\"prefix\":\"/\",\"route_type\":\"read_your_writes\","
	"\"timeout_ms\":1000,\"target_latency_ms\":900,\"priority\":2,"
	"\"service\":\"svc\",\"max_staleness_ms\":2500}],"
	"\"services\":[{\"name\":\"svc\",\"max_conns\":21,"
	"\"sync_replicas\":0}],\"limits\":{\"tx_idle_ms\":3100}}";

static const char entry[] =
	"{\"service\":\"svc\",\"address\":\"10.1.2.3:8080\",\"zone\":\"z-a\","
	"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
	"\"cold_remaining_ms\":0,\"db_role\":\"replica\",\"sequence\":4,"
	"\"born\":1790000000123}";

static catalog_t *catalog_of(const char *text, GError **error)
{
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));

	return documents_source.decode_catalog(bytes, error);
}

static backend_entry_t *backend_of(const char *text, GError **error)
{
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));

	return documents_source.decode_backend("servers/i-1", bytes, error);
}

static void test_catalog(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_of(config, NULL);
	const catalog_database_t *database;

	assert_non_null(catalog);
	database = catalog_database(catalog, "orders");
	assert_non_null(database);
	assert_int_equal(catalog->version, 7);
	assert_int_equal(database->reads, READS_OWN_WRITES);
	assert_int_equal(database->max_age_ms, 2500);
	assert_int_equal(database->timeout_ms, 1000);
	assert_int_equal(database->target_latency_ms, 900);
	assert_int_equal(catalog->transaction_idle_ms, 3100);
	assert_int_equal(catalog_service(catalog, "svc")->connections_max, 21);
	assert_null(catalog_database(catalog, "other"));
}

static void test_backend(void **state)
{
	g_autoptr(backend_entry_t) backend = backend_of(entry, NULL);

	assert_non_null(backend);
	assert_string_equal(backend->id, "i-1");
	assert_string_equal(backend->endpoint.address, "10.1.2.3");
	assert_int_equal(backend->endpoint.port, 8080);
	assert_int_equal(backend->slots, 3);
	assert_false(backend->draining);
	assert_false(backend->reports_primary);
	assert_true(backend->started_ms == 1790000000123);
}

static void test_invalid_entries(void **state)
{
	static const char *const invalid[] = {
		"",
		"null",
		"[]",
		"{}",
		"\xff\xfe",
		"{\"service\":4,\"address\":\"10.1.2.3:8080\"}",
		("{\"service\":\"s\",\"address\":\"10.1.2.3\",\"zone\":\"z\","
		 "\"state\":\"ready\"}"),
		("{\"service\":\"s\",\"address\":\"10.1.2.3:99999\","
		 "\"zone\":\"z\",\"state\":\"ready\"}"),
		("{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
		 "\"state\":\"asleep\"}"),
		("{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
		 "\"state\":\"ready\",\"born\":\"now\"}"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GError) error = NULL;

		assert_null(backend_of(invalid[i], &error));
		assert_non_null(error);
	}
}

/* Replaces the value of a field of the good entry. */
static char *entry_with(const char *field, const char *value)
{
	g_autofree char *pattern =
		g_strdup_printf("\"%s\":(\"[^\"]*\"|[0-9]+)", field);
	g_autofree char *text = g_strdup_printf("\"%s\":%s", field, value);
	g_autoptr(GRegex) regex = g_regex_new(pattern, 0, 0, NULL);

	return g_regex_replace_literal(regex, entry, -1, 0, text, 0, NULL);
}

/* Guards against an odd field that makes an entry of another writer usable. */
static void test_entries_with_one_odd_field(void **state)
{
	static const char *const fields[] = {
		"service", "address",  "zone",	  "version",
		"slots",   "state",    "db_role", "cold_remaining_ms",
		"born",	   "sequence",
	};
	static const char *const values[] = {
		"null",	 "true", "-1",		 "[]",
		"{}",	 "\"\"", "\"a b\"",	 "99999999999999999999",
		"1e999", "-0.5", "\"a\\u0000\"", "\"\\n\"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(values); j++) {
			g_autofree char *text =
				entry_with(fields[i], values[j]);
			g_autoptr(GError) error = NULL;
			g_autoptr(backend_entry_t) backend =
				backend_of(text, &error);
			const bool any_text = !strcmp(fields[i], "version") &&
					      *values[j] == '"' &&
					      !strstr(values[j], "u0000");

			assert_true((backend != NULL) == any_text);
			assert_true((error != NULL) != any_text);
		}
}

static void assert_no_entry(const char *key, const char *text)
{
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));
	g_autoptr(GError) error = NULL;

	assert_null(documents_source.decode_backend(key, bytes, &error));
	assert_non_null(error);
}

/* Guards against ids that are cut off in records, or forge fields of lines. */
static void test_odd_ids(void **state)
{
	g_autofree char *longest = g_strnfill(63, 'i');
	g_autofree char *key = g_strconcat("servers/", longest, NULL);
	g_autofree char *longer = g_strconcat(key, "i", NULL);
	g_autoptr(GBytes) bytes = g_bytes_new(entry, strlen(entry));
	g_autoptr(backend_entry_t) backend =
		documents_source.decode_backend(key, bytes, NULL);

	assert_non_null(backend);
	assert_string_equal(backend->id, longest);
	assert_no_entry("servers/", entry);
	assert_no_entry("servers/i 1", entry);
	assert_no_entry("servers/i\r\n1", entry);
	assert_no_entry("servers/i\"1", entry);
	assert_no_entry(longer, entry);
}

/* Guards against memory and stack that grow with another writer's entry. */
static void test_large_and_nested_entries(void **state)
{
	g_autofree char *deep = g_strnfill(16000, '[');
	g_autofree char *objects = g_strnfill(100000, '{');
	g_autofree char *open = g_strconcat("{\"service\":", deep, NULL);
	g_autofree char *spaces = g_strnfill(20000, ' ');
	g_autofree char *padded = g_strconcat(entry, spaces, NULL);

	assert_no_entry("servers/i-1", deep);
	assert_no_entry("servers/i-1", objects);
	assert_no_entry("servers/i-1", open);
	assert_no_entry("servers/i-1", padded);
}

static void test_invalid_catalogs(void **state)
{
	static const char *const invalid[] = {
		"{\"version\":\"7\",\"routes\":[],\"services\":[]}",
		"{\"version\":-7,\"routes\":[],\"services\":[]}",
		"{\"version\":7,\"routes\":{},\"services\":[]}",
		"{\"version\":7,\"routes\":[{}],\"services\":[]}",
		("{\"version\":7,\"routes\":[{\"database\":\"d\",\"service\":"
		 "\"s\",\"route_type\":\"nearest\"}],\"services\":[]}"),
		"{\"version\":7,\"routes\":[],\"services\":[{\"name\":1}]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GError) error = NULL;

		assert_null(catalog_of(invalid[i], &error));
		assert_non_null(error);
	}
}

/* A document with random changes yields an entry or an error, never both. */
/* Such a name was sent to servers and nodes as several fields, or lines. */
static void test_odd_service_names_are_skipped(void **state)
{
	static const char *const names[] = {
		"", "a b", "a\\r\\nb", "a\\u0085\\n", "a\\\"b", "a\\\\b"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"version\":7,\"routes\":[{\"database\":\"d\","
			"\"service\":\"%s\",\"route_type\":\"primary\"},"
			"{\"database\":\"e\",\"service\":\"k\xc4\x81\","
			"\"route_type\":\"primary\"}],"
			"\"services\":[{\"name\":\"%s\"},"
			"{\"name\":\"k\xc4\x81\"}]}",
			names[i], names[i]);
		g_autoptr(GError) error = NULL;
		g_autoptr(catalog_t) catalog = catalog_of(text, &error);

		assert_non_null(catalog);
		assert_null(catalog_database(catalog, "d"));
		assert_non_null(catalog_database(catalog, "e"));
		assert_non_null(catalog_service(catalog, "k\xc4\x81"));
		assert_int_equal(g_hash_table_size(catalog->services), 1);
	}
}

static void test_mutated_documents(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(20261204);

	for (uint32_t round = 0; round < 20000; round++) {
		const char *seed = round % 2 ? config : entry;
		g_autofree char *text = g_strdup(seed);
		const gint32 size = (gint32)strlen(text);
		g_autoptr(GError) error = NULL;
		g_autoptr(catalog_t) catalog = NULL;
		g_autoptr(backend_entry_t) backend = NULL;

		for (uint32_t i = 0; i < 1 + round % 4; i++)
			text[g_rand_int_range(random, 0, size)] =
				(char)g_rand_int_range(random, 1, 256);
		if (round % 2)
			catalog = catalog_of(text, &error);
		else
			backend = backend_of(text, &error);
		assert_true((catalog || backend) != (error != NULL));
	}
}

static bool answer_of(const char *body, kv_answer_t *answer)
{
	*answer = (kv_answer_t){0};
	answer->items =
		g_ptr_array_new_with_free_func((GDestroyNotify)kv_item_free);
	return kv_http_decode((const uint8_t *)body, strlen(body), answer);
}

/* @return keys and values of the answer's items: "key=value " each */
static char *items_of(const char *body)
{
	GString *items = g_string_new("");
	kv_answer_t answer;

	if (!answer_of(body, &answer))
		g_string_assign(items, "invalid");
	for (guint i = 0; i < answer.items->len; i++) {
		const kv_item_t *item = answer.items->pdata[i];
		gsize size;
		const char *value = g_bytes_get_data(item->value, &size);

		g_string_append_printf(items, "%s=%.*s ", item->key, (int)size,
				       value);
	}
	g_ptr_array_unref(answer.items);
	return g_string_free(items, FALSE);
}

#define ITEM(key, value)                                      \
	"{\"items\":[{\"key\":\"" key "\",\"value\":\"" value \
	"\",\"revision\":4},"                                 \
	"{\"key\":\"good\",\"value\":\"bm9kZQ==\",\"revision\":5}]}"

/* A value that is followed by NUL was taken without what follows. */
static void test_store_values_are_taken_whole_or_not_at_all(void **state)
{
	static const char *const values[] = {
		"bm9kZQ==\\u0000", "bm9kZQ==\\u0000eA==", "bm9k\\u0000",
		"bm9k*ZQ==",	   "bm9k ZQ==",		  "bm9kZQ=",
		"bm9kZQ==bm9k",	   "\377bm9kZQ=="};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		g_autofree char *body =
			g_strdup_printf(ITEM("a", "%s"), values[i]);
		g_autofree char *items = items_of(body);

		assert_string_equal(items, "a= good=node ");
	}
}

/* A key with bytes that are no UTF-8 was taken for another key. */
static void test_store_keys_are_taken_whole_or_not_at_all(void **state)
{
	static const char *const keys[] = {"servers/i-1\xff", "servers/i\xc3-1",
					   "\xff", "servers/i-1\\u0000",
					   "servers/\xed\xa0\x80"};
	g_autofree char *valid =
		items_of(ITEM("servers/\xef\xbf\xbd k\xc4\x81", "bm9kZQ=="));

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		g_autofree char *body =
			g_strdup_printf(ITEM("%s", "bm9kZQ=="), keys[i]);
		g_autofree char *items = items_of(body);

		assert_string_equal(items, "good=node ");
	}
	assert_string_equal(valid,
			    "servers/\xef\xbf\xbd k\xc4\x81=node good=node ");
}

static void test_store_answers(void **state)
{
	kv_answer_t answer;
	const kv_item_t *item;

	assert_true(
		answer_of("{\"items\":[{\"key\":\"a\",\"value\":\"bm9kZQ==\""
			  ",\"revision\":412,\"created\":4,\"lease\":7},"
			  "{\"key\":4}],\"has_more\":true,"
			  "\"current_rev\":530}",
			  &answer));
	assert_int_equal(answer.items->len, 1);
	item = answer.items->pdata[0];
	assert_int_equal(g_bytes_get_size(item->value), 4);
	assert_int_equal(item->revision, 412);
	assert_true(answer.has_more);
	assert_int_equal(answer.revision, 530);
	g_ptr_array_unref(answer.items);
	assert_true(answer_of("{\"events\":[{\"key\":\"a\",\"revision\":413,"
			      "\"deleted\":true}],\"current_rev\":413}",
			      &answer));
	item = answer.items->pdata[0];
	assert_true(item->deleted);
	g_ptr_array_unref(answer.items);
	/* Keys of other writers: NUL, no UTF-8; a value that is missing. */
	assert_true(
		answer_of("{\"items\":[{\"key\":\"a\\u0000b\",\"value\":"
			  "\"\",\"revision\":1},{\"key\":\"b\xff\",\"value\""
			  ":\"\",\"revision\":2},{\"key\":\"c\","
			  "\"revision\":3},{\"key\":\"d\",\"value\":\"\","
			  "\"revision\":4}],\"current_rev\":4}",
			  &answer));
	assert_int_equal(answer.items->len, 1);
	item = answer.items->pdata[0];
	assert_string_equal(item->key, "d");
	g_ptr_array_unref(answer.items);
	assert_false(answer_of("{\"items\":[", &answer));
	g_ptr_array_unref(answer.items);
	assert_true(answer_of("{\"lease\":77,\"ttl_ms\":3000}", &answer));
	assert_int_equal(answer.lease, 77);
	g_ptr_array_unref(answer.items);
}

static void test_settings(void **state)
{
	static const char text[] =
		"node_name=edge-akl-a-1\nzone=akl-a\nregion=akl\n"
		"zones.akl-a=akl\nzones.wlg-a=wlg\nip=10.1.0.8\n"
		"listen_addrs.front=10.1.0.8:8784\n"
		"listen_addrs.ready_address=10.1.0.8:8785\n"
		"internal_ports=7440,7455\nunknown.field=1\nnot a field\n"
		"limits.memory_mb=260\n"
		"bounds.grace_s=6\nplatform.address=10.200.1.7:8783\n"
		"cloud_api.address=10.200.0.160:8783\n";
	g_autoptr(relay_settings_t) settings = boot_settings_parse(text, NULL);

	assert_non_null(settings);
	assert_string_equal(settings->node, "edge-akl-a-1");
	assert_int_equal(settings->callers.port, 8784);
	assert_int_equal(settings->metrics.port, 7440);
	assert_int_equal(settings->forwarding.port, 7441);
	assert_int_equal(settings->grace_ms, 6000);
	assert_int_equal(settings->memory_bytes, 260 * 1024 * 1024);
	assert_string_equal(g_hash_table_lookup(settings->regions, "wlg-a"),
			    "wlg");
}

static void test_settings_errors_name_the_setting(void **state)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GError) other = NULL;

	assert_null(boot_settings_parse("node_name=a\n", &error));
	assert_non_null(strstr(error->message, "zone"));
	assert_null(boot_settings_parse("node_name=a\nzone=z\n"
					"listen_addrs.front=here\n",
					&other));
	assert_non_null(strstr(other->message, "listen_addrs.front"));
}

/* Such a name became two fields of a record, or two parts of a key. */
static void test_settings_names_are_single_fields(void **state)
{
	static const char *const names[] = {"a b", "a\tb", "a/b", "a\x7f",
					    "a\xff"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *text =
			g_strdup_printf("node_name=%s\n", names[i]);
		g_autoptr(GError) error = NULL;

		assert_null(boot_settings_parse(text, &error));
		assert_non_null(strstr(error->message, "node_name"));
	}
}

/* The settings behind the NUL byte were ignored. */
static void test_settings_file_with_nul_is_refused(void **state)
{
	static const char text[] = "node_name=a\nzone=z\0\n";
	g_autofree char *path = NULL;
	const int file = g_file_open_tmp(NULL, &path, NULL);
	g_autoptr(GError) error = NULL;

	assert_int_equal(write(file, text, sizeof(text) - 1), sizeof(text) - 1);
	close(file);
	assert_null(boot_settings_load(path, &error));
	unlink(path);
	assert_non_null(strstr(error->message, "NUL"));
}

static void test_primary_record(void **state)
{
	const primary_record_t record = {
		.term = 4,
		.primary = "i-7f",
		.takeover_term = 5,
		.token = 812,
		.attempt = 3,
		.ordered = "i-8",
		.holders = {.holders = {{.id = "i-8", .started_ms = 99}},
			    .count = 1}};
	g_autofree char *text = primary_record_encode(&record);
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));
	g_autoptr(GBytes) invalid = g_bytes_new("{\"term\":-1}", 11);
	const char *earlier = "{\"term\":4,\"primary\":\"i-7f\","
			      "\"takeover\":5,\"token\":1,\"attempt\":1";
	g_autofree char *odd = g_strconcat(earlier, ",\"ordered\":3}", NULL);
	g_autofree char *old = g_strconcat(earlier, "}", NULL);
	g_autoptr(GBytes) odd_bytes = g_bytes_new(odd, strlen(odd));
	g_autoptr(GBytes) old_bytes = g_bytes_new(old, strlen(old));
	primary_record_t decoded;

	assert_true(primary_record_decode(bytes, &decoded));
	assert_int_equal(decoded.term, 4);
	assert_string_equal(decoded.primary, "i-7f");
	assert_int_equal(decoded.takeover_term, 5);
	assert_int_equal(decoded.token, 812);
	assert_int_equal(decoded.attempt, 3);
	assert_int_equal(decoded.holders.count, 1);
	assert_string_equal(decoded.holders.holders[0].id, "i-8");
	assert_int_equal(decoded.holders.holders[0].started_ms, 99);
	assert_string_equal(decoded.ordered, "i-8");
	assert_false(decoded.order_unknown);
	assert_false(primary_record_decode(invalid, &decoded));
	assert_false(primary_record_decode(odd_bytes, &decoded));
	assert_true(primary_record_decode(old_bytes, &decoded));
	assert_true(decoded.order_unknown);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_catalog),
		cmocka_unit_test(test_backend),
		cmocka_unit_test(test_invalid_entries),
		cmocka_unit_test(test_entries_with_one_odd_field),
		cmocka_unit_test(test_odd_ids),
		cmocka_unit_test(test_large_and_nested_entries),
		cmocka_unit_test(test_invalid_catalogs),
		cmocka_unit_test(test_odd_service_names_are_skipped),
		cmocka_unit_test(test_mutated_documents),
		cmocka_unit_test(
			test_store_values_are_taken_whole_or_not_at_all),
		cmocka_unit_test(test_store_keys_are_taken_whole_or_not_at_all),
		cmocka_unit_test(test_store_answers),
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_settings_errors_name_the_setting),
		cmocka_unit_test(test_settings_names_are_single_fields),
		cmocka_unit_test(test_settings_file_with_nul_is_refused),
		cmocka_unit_test(test_primary_record),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

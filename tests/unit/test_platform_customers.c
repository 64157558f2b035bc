#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "platform/documents.h"
#include "platform/line_codec.h"
#include "state/customer_index.h"

#define DOCUMENT_BEGIN "{\"version\":7,\"routes\":[],\"services\":[]"

static const char valid[] = DOCUMENT_BEGIN
	",\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k-1\",\"k-2\"],"
	"\"priority\":2,\"rate_per_s\":40,\"burst\":80},"
	"{\"name\":\"tahi\",\"api_keys\":[\"k-3\"]},"
	"{\"name\":\"rua\",\"api_keys\":[],\"burst\":4}]}";

static catalog_t *catalog_of(const char *text, GError **error)
{
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));

	return documents_source.decode_catalog(bytes, error);
}

static const catalog_customer_t *find(const catalog_t *catalog, const char *key)
{
	const customer_key_t hashed = customer_key_of(key);

	return customer_index_find(catalog->keys, &hashed);
}

static void test_customers(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_of(valid, NULL);
	const catalog_customer_t *acme;

	assert_non_null(catalog);
	assert_true(catalog->identifies_callers);
	acme = find(catalog, "k-2");
	assert_non_null(acme);
	assert_string_equal(acme->name, "acme");
	assert_int_equal(acme->rate_per_s, 40);
	assert_int_equal(acme->burst, 80);
	assert_int_equal(acme->priority, 2);
	assert_true(acme->has_quota);
	assert_false(catalog_customer(catalog, "tahi")->has_quota);
	assert_true(catalog_customer(catalog, "rua")->has_quota);
}

static void test_site_without_customers(void **state)
{
	g_autoptr(catalog_t) none = catalog_of(DOCUMENT_BEGIN "}", NULL);
	g_autoptr(catalog_t) empty =
		catalog_of(DOCUMENT_BEGIN ",\"tenants\":[]}", NULL);

	assert_false(none->identifies_callers);
	assert_true(empty->identifies_callers);
}

/* An invalid list must not turn off the identification of callers. */
static void test_list_of_another_type_invalidates_the_document(void **state)
{
	static const char *const lists[] = {"null", "{}", "4", "\"acme\""};

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		g_autofree char *text = g_strconcat(
			DOCUMENT_BEGIN ",\"tenants\":", lists[i], "}", NULL);
		g_autoptr(GError) error = NULL;

		assert_null(catalog_of(text, &error));
		assert_non_null(strstr(error->message, "tenants"));
	}
}

/* Guards against one invalid customer that disables the others. */
static void assert_skipped(const char *invalid)
{
	g_autofree char *text = g_strconcat(
		DOCUMENT_BEGIN ",\"tenants\":[",
		"{\"name\":\"one\",\"api_keys\":[\"key-one\"]},", invalid,
		",{\"name\":\"two\",\"api_keys\":[\"key-two\"]}]}", NULL);
	g_autoptr(GError) error = NULL;
	g_autoptr(catalog_t) catalog = catalog_of(text, &error);

	if (!catalog) {
		fail_msg("%s: %s", invalid, error->message);
		return;
	}
	if (g_hash_table_size(catalog->customers) != 2)
		fail_msg("%s: not skipped", invalid);
	assert_string_equal(find(catalog, "key-one")->name, "one");
	assert_string_equal(find(catalog, "key-two")->name, "two");
	assert_null(find(catalog, "k"));
}

static void test_invalid_customers_are_skipped(void **state)
{
	static const char *const invalid[] = {
		"null",
		"[]",
		"\"x\"",
		"{}",
		"{\"api_keys\":[\"k\"]}",
		"{\"name\":4,\"api_keys\":[\"k\"]}",
		"{\"name\":\"\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"a b\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"a\\u00a0b\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"a\\tb\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"a\\r\\nb\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"a\\u0000b\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"a\\u007f\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"one\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"toucanhook\",\"api_keys\":[\"k\"]}",
		"{\"name\":\"x\",\"api_keys\":\"k\"}",
		"{\"name\":\"x\",\"api_keys\":[4]}",
		"{\"name\":\"x\",\"api_keys\":[\"k\",\"\"]}",
		"{\"name\":\"x\",\"api_keys\":[\"k\",\"k k\"]}",
		"{\"name\":\"x\",\"api_keys\":[\"k\",\"k\\u0000\"]}",
		"{\"name\":\"x\",\"api_keys\":[\"k\",\"j\",\"k\"]}",
		"{\"name\":\"x\",\"api_keys\":[\"k\"],\"rate_per_s\":-1}",
		"{\"name\":\"x\",\"api_keys\":[\"k\"],\"rate_per_s\":\"9\"}",
		"{\"name\":\"x\",\"api_keys\":[\"k\"],\"rate_per_s\":null}",
		"{\"name\":\"x\",\"api_keys\":[\"k\"],\"rate_per_s\":1000000001}",
		"{\"name\":\"x\",\"api_keys\":[\"k\"],\"burst\":-0.5}",
		"{\"name\":\"x\",\"api_keys\":[\"k\"],\"burst\":1e300}",
	};
	g_autofree char *long_text = g_strnfill(201, 'n');
	g_autofree char *long_name = g_strdup_printf(
		"{\"name\":\"%s\",\"api_keys\":[\"k\"]}", long_text);
	g_autofree char *long_key = g_strdup_printf(
		"{\"name\":\"x\",\"api_keys\":[\"k\",\"%s\"]}", long_text);

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		assert_skipped(invalid[i]);
	assert_skipped(long_name);
	assert_skipped(long_key);
}

static void test_key_of_two_customers_identifies_none(void **state)
{
	g_autoptr(catalog_t) catalog = catalog_of(
		DOCUMENT_BEGIN
		",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\",\"ka\"]},"
		"{\"name\":\"b\",\"api_keys\":[\"k\",\"kb\"]}]}",
		NULL);

	assert_null(find(catalog, "k"));
	assert_string_equal(find(catalog, "ka")->name, "a");
	assert_string_equal(find(catalog, "kb")->name, "b");
}

/* The parser's message quotes the text where it stopped. */
static void test_error_contains_no_key(void **state)
{
	for (size_t size = 0; size < strlen(valid); size++) {
		g_autofree char *text = g_strndup(valid, size);
		g_autoptr(GError) error = NULL;

		assert_null(catalog_of(text, &error));
		assert_null(strstr(error->message, "k-"));
	}
}

/* A start-up that cannot be decoded must not be quoted. */
static void test_invalid_startup_is_not_quoted(void **state)
{
	static const char *const lines[] = {
		"startup orders secret\r\n",
		"STARTUP\torders secret\r\n",
		"STARTUP\r\n",
		" STARTUP orders secret\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		struct evbuffer *input = evbuffer_new();
		g_autoptr(GError) error = NULL;
		relay_message_t message;
		size_t searched_bytes = 0;

		evbuffer_add(input, lines[i], strlen(lines[i]));
		assert_int_equal(line_codec.decode(input, &searched_bytes,
						   &message, &error),
				 RELAY_INVALID);
		assert_null(strstr(error->message, "secret"));
		relay_message_clear(&message);
		evbuffer_free(input);
	}
}

/*
 * Documents with random changes in their customers are decoded or rejected;
 * what is decoded keeps the limits of names and keys.
 */
static void test_mutated_customers(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(20261205);
	const gint32 begin = (gint32)(strstr(valid, "\"tenants\"") - valid);
	uint32_t decoded = 0;

	for (uint32_t round = 0; round < 20000; round++) {
		g_autofree char *text = g_strdup(valid);
		g_autoptr(GError) error = NULL;
		g_autoptr(catalog_t) catalog = NULL;
		GHashTableIter iter;
		gpointer name;

		for (uint32_t i = 0; i < 1 + round % 4; i++)
			text[g_rand_int_range(random, begin,
					      (gint32)strlen(valid))] =
				(char)g_rand_int_range(random, 1, 128);
		catalog = catalog_of(text, &error);
		assert_true((catalog != NULL) != (error != NULL));
		if (!catalog)
			continue;
		decoded++;
		g_hash_table_iter_init(&iter, catalog->customers);
		while (g_hash_table_iter_next(&iter, &name, NULL)) {
			assert_in_range(strlen(name), 1, 200);
			assert_null(strpbrk(name, " \t\r\n"));
		}
	}
	assert_int_not_equal(decoded, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_customers),
		cmocka_unit_test(test_site_without_customers),
		cmocka_unit_test(
			test_list_of_another_type_invalidates_the_document),
		cmocka_unit_test(test_invalid_customers_are_skipped),
		cmocka_unit_test(test_key_of_two_customers_identifies_none),
		cmocka_unit_test(test_error_contains_no_key),
		cmocka_unit_test(test_invalid_startup_is_not_quoted),
		cmocka_unit_test(test_mutated_customers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

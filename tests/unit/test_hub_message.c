#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "relay/relay_hub_message.h"

#define SEED 20261204
#define FUZZ_ROUNDS 20000

/* Longer than the size from which values are compressed. */
#define LARGE_VALUE_BYTES 5000

static GPtrArray *encode_example(GBytes *value)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(hub_answer_t) head = hub_answer_new();
	const kv_item_t item = {
		.key = "servers/a b", .revision = 12, .value = value};
	const kv_item_t removal = {
		.key = "servers/c", .revision = 14, .deleted = true};
	const hub_proof_t proof = {
		.service = "svc", .term = 3, .until_ms = 1500};
	const hub_sample_t sample = {.service = "svc",
				     .term = 3,
				     .point = {.term = 3, .position = 99},
				     .sampled_ms = 1400};

	head->received_ms = 1000;
	head->until_ms = 2200;
	head->changes[HUB_STREAM_CATALOG].revision = 14;
	head->changes[HUB_STREAM_CATALOG].whole = true;
	head->changes[HUB_STREAM_PRIMARIES].revision = 7;
	g_ptr_array_add(rows, hub_encode_head(head));
	g_ptr_array_add(rows, hub_encode_item(HUB_STREAM_CATALOG, &item));
	g_ptr_array_add(rows, hub_encode_item(HUB_STREAM_PRIMARIES, &removal));
	g_ptr_array_add(rows, hub_encode_proof(&proof));
	g_ptr_array_add(rows, hub_encode_sample(&sample));
	return rows;
}

static void test_answer_is_decoded_as_encoded(void **state)
{
	g_autofree char *text = g_strnfill(LARGE_VALUE_BYTES, 'x');
	g_autoptr(GBytes) value = g_bytes_new(text, LARGE_VALUE_BYTES);
	g_autoptr(GPtrArray) rows = encode_example(value);
	g_autoptr(hub_answer_t) answer = hub_answer_decode(rows, NULL);
	const hub_changes_t *catalog;
	const hub_changes_t *primaries;
	const kv_item_t *item;

	assert_non_null(answer);
	assert_int_equal(answer->received_ms, 1000);
	assert_int_equal(answer->until_ms, 2200);
	catalog = &answer->changes[HUB_STREAM_CATALOG];
	primaries = &answer->changes[HUB_STREAM_PRIMARIES];
	assert_int_equal(catalog->revision, 14);
	assert_true(catalog->whole);
	assert_int_equal(catalog->items->len, 1);
	item = catalog->items->pdata[0];
	assert_string_equal(item->key, "servers/a b");
	assert_true(g_bytes_equal(item->value, value));
	assert_true(strlen(rows->pdata[1]) < LARGE_VALUE_BYTES / 10);
	assert_false(primaries->whole);
	item = primaries->items->pdata[0];
	assert_true(item->deleted);
	assert_int_equal(answer->proofs->len, 1);
	assert_int_equal(answer->samples->len, 1);
}

static void test_invalid_answers_are_rejected(void **state)
{
	static const char *const invalid[] = {"", "H 1 2", "I 0 1 p eA== k",
					      "H 1 x 0 0 0 0", "X 1"};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GPtrArray) rows = g_ptr_array_new();
		g_autoptr(GError) error = NULL;

		g_ptr_array_add(rows, (gpointer)invalid[i]);
		assert_null(hub_answer_decode(rows, &error));
		assert_non_null(error);
	}
}

/* The value was decoded without the characters that are no base64. */
static void test_values_are_taken_whole_or_not_at_all(void **state)
{
	static const char *const items[] = {"I 0 1 p e*A== k", "I 0 1 p eA= k",
					    "I 0 1 p eA==eA== k",
					    "I 0 1 z eA== k"};

	for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
		g_autoptr(GPtrArray) rows = g_ptr_array_new();
		g_autoptr(GError) error = NULL;

		g_ptr_array_add(rows, "H 1 2 3 0 4 0");
		g_ptr_array_add(rows, (gpointer)items[i]);
		assert_null(hub_answer_decode(rows, &error));
		assert_non_null(error);
	}
}

static void test_request_is_decoded_as_encoded(void **state)
{
	const hub_request_t request = {.revisions = {5, 9}};
	g_autofree char *text = hub_request_encode(&request);
	hub_request_t decoded;

	assert_true(hub_request_decode(text, &decoded));
	assert_memory_equal(&decoded, &request, sizeof(request));
	assert_false(hub_request_decode("5", &decoded));
	assert_false(hub_request_decode("5 -1", &decoded));
	assert_false(hub_request_decode("5 9 1", &decoded));
}

/* Hubs of earlier versions get requests without names, and send them. */
static void test_names_are_decoded_as_encoded(void **state)
{
	hub_request_t request = {.revisions = {5, 9}, .named = true};
	g_autofree char *none = hub_request_encode(&request);
	g_autofree char *text = NULL;
	hub_request_t decoded;

	assert_string_equal(none, "5 9 =");
	service_keys_add(&request.removed, 0xab);
	service_keys_add(&request.added, 0);
	service_keys_add(&request.added, UINT64_MAX);
	text = hub_request_encode(&request);
	assert_string_equal(text, "5 9 =-ab+0+ffffffffffffffff");
	assert_true(hub_request_decode(text, &decoded));
	assert_memory_equal(&decoded, &request, sizeof(request));
	assert_true(hub_request_decode("5 9", &decoded));
	assert_false(decoded.named);
	assert_false(hub_request_decode("5 9 ", &decoded));
	assert_false(hub_request_decode("5 9 =+", &decoded));
	assert_false(hub_request_decode("5 9 =+x", &decoded));
	assert_false(hub_request_decode("5 9 =ab", &decoded));
	assert_false(hub_request_decode("5 9 =+ab+ab", &decoded));
	assert_false(hub_request_decode("5 9 = +ab", &decoded));
}

/* More names than a hub keeps of a node must not be written past its array. */
static void test_too_many_names_are_rejected(void **state)
{
	g_autoptr(GString) text = g_string_new("5 9 =");
	hub_request_t decoded;

	for (uint32_t i = 0; i < SERVICE_INTEREST_MAX; i++)
		g_string_append_printf(text, "+%x", i);
	assert_true(hub_request_decode(text->str, &decoded));
	g_string_append(text, "+ffff");
	assert_false(hub_request_decode(text->str, &decoded));
}

static void test_offer_of_names_is_no_point(void **state)
{
	g_autoptr(GPtrArray) rows = encode_example(NULL);
	g_autoptr(hub_answer_t) before = hub_answer_decode(rows, NULL);
	g_autoptr(hub_answer_t) answer = NULL;

	assert_false(before->takes_names);
	g_ptr_array_add(rows, hub_encode_takes_names());
	answer = hub_answer_decode(rows, NULL);
	assert_true(answer->takes_names);
	assert_int_equal(answer->samples->len, before->samples->len);
}

/* Damaged answers are rejected or read, and never end the process. */
static void test_damaged_answers_do_no_harm(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(SEED);
	g_autoptr(GBytes) value = g_bytes_new_static("value", 5);

	for (uint32_t i = 0; i < FUZZ_ROUNDS; i++) {
		g_autoptr(GPtrArray) rows = encode_example(value);
		const guint row =
			(guint)g_rand_int_range(random, 0, (gint32)rows->len);
		char *text = rows->pdata[row];
		const size_t size = strlen(text);
		g_autoptr(GError) error = NULL;
		g_autoptr(hub_answer_t) answer = NULL;

		text[g_rand_int_range(random, 0, (gint32)size)] =
			(char)g_rand_int_range(random, 0, 256);
		answer = hub_answer_decode(rows, &error);
		assert_true((answer == NULL) == (error != NULL));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answer_is_decoded_as_encoded),
		cmocka_unit_test(test_invalid_answers_are_rejected),
		cmocka_unit_test(test_values_are_taken_whole_or_not_at_all),
		cmocka_unit_test(test_request_is_decoded_as_encoded),
		cmocka_unit_test(test_names_are_decoded_as_encoded),
		cmocka_unit_test(test_too_many_names_are_rejected),
		cmocka_unit_test(test_offer_of_names_is_no_point),
		cmocka_unit_test(test_damaged_answers_do_no_harm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

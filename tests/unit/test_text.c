#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/text.h"

/* A text that is cut off is another text. */
static void test_bytes_with_nul_are_no_text(void **state)
{
	g_autofree char *whole = text_new("a\tb\r\n\xff", 6);
	g_autofree char *empty = text_new(NULL, 0);
	g_autoptr(GBytes) cut = g_bytes_new("ab\0c", 4);
	g_autoptr(GBytes) ended = g_bytes_new("ab", 3);

	assert_string_equal(whole, "a\tb\r\n\xff");
	assert_string_equal(empty, "");
	assert_null(text_new("ab\0c", 4));
	assert_null(text_new("\0", 1));
	assert_null(text_from_bytes(cut));
	assert_null(text_from_bytes(ended));
	assert_null(text_from_bytes(NULL));
}

static void test_base64_round_trip(void **state)
{
	static const uint8_t bytes[] = {0, 1, 2, 0, 0xff, 0x3e, 0x3f, 0};

	for (size_t size = 0; size <= sizeof(bytes); size++) {
		g_autofree char *text = g_base64_encode(bytes, size);
		size_t decoded_size = strlen(text);
		g_autofree uint8_t *decoded =
			text_decode_base64(text, &decoded_size);

		assert_int_equal(decoded_size, size);
		assert_memory_equal(decoded, bytes, size);
	}
}

/* The library skips such characters and decodes the rest. */
static void test_odd_base64_is_invalid(void **state)
{
	static const char *const texts[] = {
		"AAA",	"AA A", "AAAA\n",   "A===", "=AAA",
		"AA=A", "AAA-", "AA==AAAA", "A",    "===="};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		size_t size = strlen(texts[i]);

		assert_null(text_decode_base64(texts[i], &size));
	}
	assert_null(text_decode_base64("AAAA\0AAA", &(size_t){8}));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bytes_with_nul_are_no_text),
		cmocka_unit_test(test_base64_round_trip),
		cmocka_unit_test(test_odd_base64_is_invalid),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

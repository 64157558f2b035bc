#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "base/log_fields.h"

#define SEED 20261206u
#define ROUNDS 20000u
#define TEXT_SIZE_MAX 24

static char *format(const char *format, ...) G_GNUC_PRINTF(1, 2);

static char *format(const char *format, ...)
{
	char text[256];
	va_list arguments;

	va_start(arguments, format);
	log_fields_format(text, sizeof(text), format, arguments);
	va_end(arguments);
	return g_strdup(text);
}

#define assert_fields(expected, ...)                            \
	do {                                                    \
		g_autofree char *fields_ = format(__VA_ARGS__); \
		assert_string_equal(fields_, expected);         \
	} while (0)

static void test_numbers_are_formatted_as_by_printf(void **state)
{
	static const int64_t numbers[] = {
		0, 1, -1, 42, INT32_MAX, INT32_MIN, INT64_MAX, INT64_MIN};

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		const int64_t number = numbers[i];
		char expected[512];

		snprintf(expected, sizeof(expected),
			 "a=%d b=%u c=%" PRId64 " d=%" PRIu64
			 " e=%zu f=%x g=%" PRIx64 " h=%08x i=%03d j=%c",
			 (int)number, (unsigned)number, number,
			 (uint64_t)number, (size_t)number, (unsigned)number,
			 (uint64_t)number, (unsigned)number, (int)number, 'x');
		assert_fields(expected,
			      "a=%d b=%u c=%" PRId64 " d=%" PRIu64
			      " e=%zu f=%x g=%" PRIx64 " h=%08x i=%03d j=%c",
			      (int)number, (unsigned)number, number,
			      (uint64_t)number, (size_t)number,
			      (unsigned)number, (uint64_t)number,
			      (unsigned)number, (int)number, 'x');
	}
	assert_fields("a=1.50 b=2 100%", "a=%.2f b=%.0f 100%%", 1.5, 2.0);
}

static void test_valid_text_is_unchanged(void **state)
{
	assert_fields("a=x-1.y b=\"some text\" c=k\xc4\x81k\xc4\x81p\xc5\x8d",
		      "a=%s b=\"%s\" c=%s", "x-1.y", "some text",
		      "k\xc4\x81k\xc4\x81p\xc5\x8d");
	assert_fields("a=abc b= c=ab", "a=%.3s b=%s c=%.*s", "abcdef", "", 2,
		      "abc");
}

/* Such names and messages forged fields, or were no UTF-8. */
static void test_no_text_leaves_its_field(void **state)
{
	assert_fields("database=x?outcome=done n=1", "database=%s n=%d",
		      "x outcome=done", 1);
	assert_fields("reason=\"x' outcome='done\" n=1", "reason=\"%s\" n=%d",
		      "x\" outcome=\"done", 1);
	assert_fields("a=x??y", "a=%s", "x\r\ny");
	assert_fields("a=\"x? y?\"", "a=\"%s\"", "x\xc2\x85 y\xe2\x80\xa8");
	assert_fields("a=x?y", "a=%s", "x\xc2\xa0y");
	assert_fields("a=x??", "a=%s", "x\xff\xc4");
	assert_fields("a=k?", "a=%.2s", "k\xc4\x81");
}

static void test_long_text_is_cut_between_characters(void **state)
{
	g_autofree char *longer = g_strnfill(300, 'x');
	g_autofree char *odd = g_strconcat("y", longer, NULL);
	g_autofree char *cut = format("a=%s b=%d", longer, 5);
	char wide[301];

	for (int i = 0; i < 300; i += 2)
		memcpy(wide + i, "\xc4\x81", 2);
	wide[300] = '\0';
	assert_int_equal(strlen(cut), 255);
	for (int i = 0; i < 2; i++) {
		g_autofree char *text = format("%s=%s", i ? "a" : "ab", wide);

		assert_true(g_utf8_validate(text, -1, NULL));
	}
}

/* Whatever the text is, the line has the fields of its format. */
static void test_random_bytes_make_no_field(void **state)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(SEED);

	for (uint32_t round = 0; round < ROUNDS; round++) {
		char bytes[TEXT_SIZE_MAX + 1] = "";
		g_autofree char *text = NULL;
		g_auto(GStrv) parts = NULL;
		g_auto(GStrv) fields = NULL;
		const gint32 size = g_rand_int_range(random, 0, TEXT_SIZE_MAX);

		for (gint32 i = 0; i < size; i++)
			bytes[i] = (char)g_rand_int_range(random, 0, 256);
		text = format("a=%s b=\"%s\" c=%d", bytes, bytes, 7);
		assert_true(g_utf8_validate(text, -1, NULL));
		parts = g_strsplit(text, "\"", 0);
		assert_int_equal(g_strv_length(parts), 3);
		assert_string_equal(parts[2], " c=7");
		fields = g_strsplit(parts[0], " ", 0);
		assert_int_equal(g_strv_length(fields), 2);
		assert_string_equal(fields[1], "b=");
		for (const char *c = text; *c; c++)
			assert_true((unsigned char)*c >= ' ' && *c != 0x7f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_numbers_are_formatted_as_by_printf),
		cmocka_unit_test(test_valid_text_is_unchanged),
		cmocka_unit_test(test_no_text_leaves_its_field),
		cmocka_unit_test(test_long_text_is_cut_between_characters),
		cmocka_unit_test(test_random_bytes_make_no_field),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

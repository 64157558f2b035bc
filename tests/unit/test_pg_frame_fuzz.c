#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/pg_frame.h"

#define ROUNDS 20000
#define LIMIT_BYTES 4096

/* @return a stream with a message of each writer */
static GByteArray *make_stream(void)
{
	static const char *const texts[] = {"a", NULL, "some longer value"};
	GByteArray *stream = g_byte_array_new();

	pg_write_query(stream, "SELECT 1");
	pg_write_columns(stream, texts, 1);
	pg_write_row(stream, texts, G_N_ELEMENTS(texts));
	pg_write_error(stream, "ERROR", "TH003", "not run", "retry it");
	pg_write_parameter(stream, "toucanhook.token", "a:1:2");
	pg_write_authentication(stream, 0, NULL, 0);
	pg_write_empty(stream, 'S');
	pg_write_ready(stream, 'I');
	return stream;
}

/* Reads a message with all readers; none may read past its end. */
static void read_all(const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);
	g_auto(GStrv) row = pg_row_read(message, 3);

	pg_error_field(message, 'C');
	while (!reader.bad && reader.left_bytes) {
		pg_read_u16(&reader);
		if (!pg_read_string(&reader))
			break;
	}
	assert_true(reader.left_bytes <= message->body_size_bytes);
}

static size_t read_stream(const uint8_t *bytes, size_t size_bytes)
{
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(bytes + used, size_bytes - used, LIMIT_BYTES,
			     &message) == PG_FRAME_READY) {
		assert_true(message.size_bytes <= size_bytes - used);
		read_all(&message);
		used += message.size_bytes;
	}
	return used;
}

static void test_mutated_streams_stay_in_bounds(void **state)
{
	const char *seed_text = getenv("SEED");
	g_autoptr(GByteArray) stream = make_stream();
	g_autoptr(GRand) rand = g_rand_new_with_seed(
		seed_text ? (guint32)strtoul(seed_text, NULL, 10) : 1);
	int round;

	assert_int_equal(read_stream(stream->data, stream->len), stream->len);
	for (round = 0; round < ROUNDS; round++) {
		const size_t size =
			(size_t)g_rand_int_range(rand, 0, (int)stream->len + 1);
		/* A separate block, so that AddressSanitizer detects overruns.
		 */
		g_autofree uint8_t *copy = g_memdup2(stream->data, size);
		int changes = g_rand_int_range(rand, 0, 8);
		pg_message_t message = {0};

		for (; size && changes; changes--)
			copy[g_rand_int_range(rand, 0, (int)size)] =
				(uint8_t)g_rand_int_range(rand, 0, 256);
		read_stream(copy, size);
		if (pg_frame_startup(copy, size, &message) == PG_FRAME_READY)
			read_all(&message);
	}
}

static void test_invalid_length_is_rejected_at_once(void **state)
{
	const uint8_t large[] = {'Q', 0x40, 0, 0, 0};
	const uint8_t small[] = {'Q', 0, 0, 0, 3};
	const uint8_t startup[] = {0, 0, 0x28, 1};
	pg_message_t message = {0};

	assert_int_equal(
		pg_frame_next(large, sizeof(large), LIMIT_BYTES, &message),
		PG_FRAME_INVALID);
	assert_int_equal(
		pg_frame_next(small, sizeof(small), LIMIT_BYTES, &message),
		PG_FRAME_INVALID);
	assert_int_equal(pg_frame_startup(startup, sizeof(startup), &message),
			 PG_FRAME_INVALID);
}

static void test_truncated_message_is_incomplete(void **state)
{
	g_autoptr(GByteArray) stream = make_stream();
	pg_message_t message = {0};
	pg_message_t found = {0};
	size_t size;

	assert_int_equal(
		pg_frame_next(stream->data, stream->len, LIMIT_BYTES, &message),
		PG_FRAME_READY);
	for (size = 0; size < message.size_bytes; size++)
		assert_int_equal(
			pg_frame_next(stream->data, size, LIMIT_BYTES, &found),
			PG_FRAME_INCOMPLETE);
	assert_string_equal((const char *)message.body, "SELECT 1");
}

/* A column was read up to its first NUL byte. */
static void test_rows_are_read_whole_or_not_at_all(void **state)
{
	static const struct {
		const char *bytes;
		guint8 size;
		guint8 surplus;
		bool valid;
	} columns[] = {
		{"12", 2, 0, true},
		{"", 0, 0, true},
		{"12\0003", 4, 0, false},
		{"12", 3, 0, false},
		{"\0", 1, 0, false},
		{"12", 2, 1, false},
		{"k\xc4\x81 \t\r\n", 7, 0, true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
		g_autoptr(GByteArray) out = g_byte_array_new();
		const size_t mark = pg_write_begin(out, 'D');
		pg_message_t message = {0};
		g_auto(GStrv) row = NULL;

		pg_write_u16(out, 1);
		pg_write_u32(out, columns[i].size);
		g_byte_array_append(out, (const guint8 *)columns[i].bytes,
				    columns[i].size);
		g_byte_array_append(out, (const guint8 *)"x",
				    columns[i].surplus);
		pg_write_end(out, mark);
		assert_int_equal(
			pg_frame_next(out->data, out->len, SIZE_MAX, &message),
			PG_FRAME_READY);
		row = pg_row_read(&message, 1);
		assert_true((row != NULL) == columns[i].valid);
		if (row)
			assert_int_equal(strlen(row[0]), columns[i].size);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_streams_stay_in_bounds),
		cmocka_unit_test(test_invalid_length_is_rejected_at_once),
		cmocka_unit_test(test_truncated_message_is_incomplete),
		cmocka_unit_test(test_rows_are_read_whole_or_not_at_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

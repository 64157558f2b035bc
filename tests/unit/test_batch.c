#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "protocol/batch.h"

static statement_cache_t *cache;

static bool add(batch_t *batch, GByteArray *bytes, batch_error_t *error)
{
	pg_message_t message = {0};
	bool accepted;

	assert_int_equal(
		pg_frame_next(bytes->data, bytes->len, SIZE_MAX, &message),
		PG_FRAME_READY);
	accepted = batch_add(batch, &message, error);
	g_byte_array_unref(bytes);
	return accepted;
}

static GByteArray *parse(const char *name, const char *sql)
{
	GByteArray *out = g_byte_array_new();
	const size_t mark = pg_write_begin(out, 'P');

	pg_write_string(out, name);
	pg_write_string(out, sql);
	pg_write_u16(out, 0);
	pg_write_end(out, mark);
	return out;
}

static GByteArray *bind(const char *portal, const char *name)
{
	GByteArray *out = g_byte_array_new();
	const size_t mark = pg_write_begin(out, 'B');

	pg_write_string(out, portal);
	pg_write_string(out, name);
	pg_write_u16(out, 0);
	pg_write_u16(out, 0);
	pg_write_u16(out, 0);
	pg_write_end(out, mark);
	return out;
}

static GByteArray *execute(const char *portal)
{
	GByteArray *out = g_byte_array_new();
	const size_t mark = pg_write_begin(out, 'E');

	pg_write_string(out, portal);
	pg_write_u32(out, 0);
	pg_write_end(out, mark);
	return out;
}

static GByteArray *close_statement(const char *name)
{
	GByteArray *out = g_byte_array_new();
	const size_t mark = pg_write_begin(out, 'C');

	pg_write_u8(out, 'S');
	pg_write_string(out, name);
	pg_write_end(out, mark);
	return out;
}

/* @return the types of the messages that the batch sends to the server */
static char *sent_types(const batch_t *batch)
{
	g_autoptr(GBytes) bytes = batch_bytes(batch);
	gsize size = 0;
	const uint8_t *data = g_bytes_get_data(bytes, &size);
	GString *types = g_string_new("");
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(data + used, size - used, SIZE_MAX, &message) ==
	       PG_FRAME_READY) {
		g_string_append_c(types, message.type);
		used += message.size_bytes;
	}
	assert_int_equal(used, size);
	return g_string_free(types, FALSE);
}

/*
 * @param types message types of the server's answer
 * @return the types that remain after batch_filter()
 */
static char *filtered_types(batch_t *batch, const char *types)
{
	g_autoptr(GByteArray) answer = g_byte_array_new();
	g_autoptr(GByteArray) out = g_byte_array_new();
	GString *left = g_string_new("");
	size_t i;

	for (i = 0; types[i]; i++)
		pg_write_empty(answer, types[i]);
	batch_filter(batch, answer->data, answer->len, out);
	for (i = 0; i < out->len; i += PG_HEADER_SIZE_BYTES)
		g_string_append_c(left, (char)out->data[i]);
	return g_string_free(left, FALSE);
}

static void test_each_batch_parses_its_statements(void **state)
{
	g_autoptr(batch_t) batch = batch_create(cache);
	g_autofree char *first = NULL;
	g_autofree char *second = NULL;
	g_autofree char *answer = NULL;
	batch_error_t error = {0};

	assert_true(add(batch, parse("named", "SELECT 1"), &error));
	first = sent_types(batch);
	assert_string_equal(first, "CPS");
	batch_clear(batch);
	assert_true(add(batch, bind("", "named"), &error));
	assert_true(add(batch, execute(""), &error));
	assert_true(add(batch, bind("", "named"), &error));
	assert_true(add(batch, execute(""), &error));
	second = sent_types(batch);
	assert_string_equal(second, "CPBEBES");
	assert_true(batch_has_hidden_answers(batch));
	answer = filtered_types(batch, "312DC2DC");
	assert_string_equal(answer, "2DC2DC");
	assert_false(batch_has_hidden_answers(batch));
}

static void test_only_inserted_answers_are_removed(void **state)
{
	g_autoptr(batch_t) batch = batch_create(cache);
	g_autofree char *answer = NULL;
	batch_error_t error = {0};

	assert_true(add(batch, parse("a", "SELECT 1"), &error));
	assert_true(add(batch, bind("", "a"), &error));
	assert_true(add(batch, close_statement("a"), &error));
	assert_true(add(batch, parse("a", "SELECT 2"), &error));
	/* Close, Parse, Bind, Close, Close, Parse: two Closes are inserted. */
	answer = filtered_types(batch, "312331");
	assert_string_equal(answer, "1231");
}

static void test_missing_statement_is_an_error(void **state)
{
	g_autoptr(batch_t) batch = batch_create(cache);
	batch_error_t error = {0};

	assert_false(add(batch, bind("", "none"), &error));
	assert_string_equal(error.sqlstate, "26000");
	batch_clear(batch);
	assert_true(add(batch, parse("a", "SELECT 1"), &error));
	assert_true(add(batch, close_statement("a"), &error));
	assert_false(add(batch, bind("", "a"), &error));
}

static void test_summary_depends_on_executed_statements(void **state)
{
	g_autoptr(batch_t) batch = batch_create(cache);
	batch_error_t error = {0};

	add(batch, parse("w", "DELETE FROM a"), &error);
	assert_false(batch_summarize(batch).writes);
	add(batch, bind("", "w"), &error);
	add(batch, execute(""), &error);
	assert_true(batch_summarize(batch).writes);
	assert_false(batch_summarize(batch).settings_only);
	add(batch, parse("s", "SET toucanhook.token = ''"), &error);
	assert_true(batch_summarize(batch).mixes_settings);
	batch_clear(batch);
	add(batch, bind("", "s"), &error);
	add(batch, execute(""), &error);
	assert_true(batch_summarize(batch).settings_only);
	batch_clear(batch);
	add(batch, execute("unknown portal"), &error);
	assert_true(batch_summarize(batch).writes);
}

/* A closed statement left its slot under such a name. */
static void test_any_name_is_a_statement_of_its_own(void **state)
{
	static const char *const names[] = {"\n1", "\n2", "th1", "", "\xff"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autoptr(batch_t) batch = batch_create(cache);
		g_autofree char *types = NULL;
		batch_error_t error = {0};

		assert_true(add(batch, parse(names[i], "SELECT 1"), &error));
		batch_clear(batch);
		assert_true(add(batch, parse("a", "SELECT 2"), &error));
		assert_true(add(batch, close_statement("a"), &error));
		assert_true(add(batch, bind("", names[i]), &error));
		types = sent_types(batch);
		/* Bind follows a Parse of the statement, hidden from the
		 * caller.
		 */
		assert_string_equal(types, "CPCCPBS");
	}
}

/* Appends one byte to the body of a message. */
static GByteArray *with_surplus(GByteArray *bytes)
{
	pg_write_u8(bytes, 'x');
	pg_write_end(bytes, 0);
	return bytes;
}

/* The message was written again without its last bytes. */
static void test_surplus_bytes_are_refused(void **state)
{
	g_autoptr(batch_t) batch = batch_create(cache);
	GByteArray *const messages[] = {
		with_surplus(parse("a", "SELECT 1")),
		with_surplus(execute("")),
		with_surplus(close_statement("a")),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
		batch_error_t error = {0};

		assert_false(add(batch, messages[i], &error));
		assert_string_equal(error.sqlstate, "08P01");
	}
}

/* @return a string of random bytes without NUL; free with g_free() */
static char *random_text(GRand *rand)
{
	const gint32 size = g_rand_int_range(rand, 0, 9);
	char *text = g_malloc0((gsize)size + 1);

	for (gint32 i = 0; i < size; i++)
		text[i] = (char)g_rand_int_range(rand, 1, 256);
	return text;
}

/* @return a Bind with parameters of any bytes */
static GByteArray *random_bind(GRand *rand, const char *portal,
			       const char *name)
{
	GByteArray *out = bind(portal, name);
	const gint32 size = g_rand_int_range(rand, 0, 20);

	for (gint32 i = 0; i < size; i++)
		pg_write_u8(out, (uint8_t)g_rand_int_range(rand, 0, 256));
	pg_write_end(out, 0);
	return out;
}

/* @return whether the bytes contain the part */
static bool contains(GBytes *bytes, const void *part, size_t size)
{
	gsize left = 0;
	const uint8_t *at = g_bytes_get_data(bytes, &left);

	for (; left >= size; at++, left--)
		if (!memcmp(at, part, size))
			return true;
	return false;
}

/* What a server receives is what was sent, but for the names of statements. */
static void test_random_bytes_are_sent_unchanged(void **state)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(20261206);

	for (int round = 0; round < 5000; round++) {
		g_autoptr(batch_t) batch = batch_create(cache);
		g_autofree char *name = random_text(rand);
		g_autofree char *portal = random_text(rand);
		g_autofree char *sql = random_text(rand);
		GByteArray *parse_bytes = parse(name, sql);
		GByteArray *bind_bytes = random_bind(rand, portal, name);
		GByteArray *execute_bytes = execute(portal);
		const size_t bind_skip = PG_HEADER_SIZE_BYTES + strlen(portal) +
					 strlen(name) + 2;
		g_autoptr(GBytes) sent = NULL;
		batch_error_t error = {0};

		g_byte_array_ref(parse_bytes);
		g_byte_array_ref(bind_bytes);
		g_byte_array_ref(execute_bytes);
		assert_true(add(batch, parse_bytes, &error));
		assert_true(add(batch, bind_bytes, &error));
		assert_true(add(batch, execute_bytes, &error));
		sent = batch_bytes(batch);
		assert_true(contains(sent, sql, strlen(sql) + 1));
		assert_true(contains(sent, portal, strlen(portal) + 1));
		assert_true(contains(sent, bind_bytes->data + bind_skip,
				     bind_bytes->len - bind_skip));
		assert_true(contains(sent, execute_bytes->data,
				     execute_bytes->len));
		g_byte_array_unref(parse_bytes);
		g_byte_array_unref(bind_bytes);
		g_byte_array_unref(execute_bytes);
	}
}

static void test_prepared_statements_are_limited(void **state)
{
	g_autoptr(batch_t) batch = batch_create(cache);
	batch_error_t error = {0};
	bool accepted = true;
	int i;

	for (i = 0; i < 1100 && accepted; i++) {
		g_autofree char *name = g_strdup_printf("s%d", i);

		accepted = add(batch, parse(name, "SELECT 1"), &error);
		batch_clear(batch);
	}
	assert_false(accepted);
	assert_string_equal(error.sqlstate, "53400");
}

/* The batch survives mutated messages: it accepts or rejects each. */
static void test_mutated_messages_are_accepted_or_rejected(void **state)
{
	const char *seed_text = getenv("SEED");
	g_autoptr(GRand) rand = g_rand_new_with_seed(
		seed_text ? (guint32)strtoul(seed_text, NULL, 10) : 1);
	g_autoptr(batch_t) batch = batch_create(cache);
	static const char types[] = "PBDECHQ";
	int round;

	for (round = 0; round < 20000; round++) {
		GByteArray *bytes = g_rand_boolean(rand) ?
					    parse("a", "SELECT 1") :
					    bind("", "a");
		batch_error_t error = {0};
		int changes = g_rand_int_range(rand, 0, 4);

		if (g_rand_int_range(rand, 0, 4) == 0)
			bytes->data[0] = (guint8)types[g_rand_int_range(
				rand, 0, sizeof(types) - 1)];
		for (; changes; changes--)
			bytes->data[g_rand_int_range(rand, PG_HEADER_SIZE_BYTES,
						     (int)bytes->len)] =
				(guint8)g_rand_int_range(rand, 0, 256);
		if (!add(batch, bytes, &error)) {
			assert_non_null(error.sqlstate);
			batch_clear(batch);
		}
		g_free(sent_types(batch));
		batch_summarize(batch);
		if (g_rand_int_range(rand, 0, 8) == 0)
			batch_clear(batch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_batch_parses_its_statements),
		cmocka_unit_test(test_only_inserted_answers_are_removed),
		cmocka_unit_test(test_missing_statement_is_an_error),
		cmocka_unit_test(test_summary_depends_on_executed_statements),
		cmocka_unit_test(test_any_name_is_a_statement_of_its_own),
		cmocka_unit_test(test_surplus_bytes_are_refused),
		cmocka_unit_test(test_random_bytes_are_sent_unchanged),
		cmocka_unit_test(test_prepared_statements_are_limited),
		cmocka_unit_test(
			test_mutated_messages_are_accepted_or_rejected),
	};

	cache = statement_cache_create(8);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

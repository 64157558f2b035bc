/*
 * Guards against bytes of a caller or server that reach the other side
 * changed: cut off at a NUL byte, or split in two messages.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "base/log.h"
#include "fake_line_caller.h"

#define SEED 20261206u

#define ROUNDS 1500u

/* Maximum number of statements in one session of a round. */
#define STATEMENTS_MAX 4u

static void assert_rejected(fixture_t *fixture, caller_t *caller)
{
	assert_true(
		g_str_has_prefix(receive(fixture, caller), "ERROR MALFORMED "));
	assert_null(strstr((char *)caller->answers->data, "READY"));
	assert_true(caller->closed);
}

/* "\x01" stands for the NUL byte. */
static void send_with_nul(const caller_t *caller, const char *text)
{
	g_autofree char *bytes = g_strdelimit(g_strdup(text), "\x01", '\0');

	send_bytes(caller, bytes, strlen(text));
}

/* The database ran "WRITE lot1 40-gourds" and the caller was told success. */
static void test_statement_with_nul_is_run_by_nobody(void **state)
{
	static const char *const statements[] = {
		"QUERY c1 WRITE lot1 40-gourds\x01of-batch\r\n",
		"QUERY c1 WRITE lot1\x01 40-gourds\r\n",
		"QUERY c1 READ lot1\x01\r\n",
		"QUERY c\x01 READ lot1\r\n",
		"QUERY c1\x01 WRITE lot1 x\r\n",
		"QUERY\x01 c1 WRITE lot1 x\r\n",
		"\x01QUERY c1 WRITE lot1 x\r\n",
		"QUERY c1 WRITE lot1 x\r\x01\r\n",
		"QUERY c1 BEGIN\x01READ\r\n",
		"QUERY c1 COMMIT\x01\r\n",
		"QUERY c1 ROLLBACK\x01\r\n",
		"QUERY c1 SET unit\x01 mm\r\n",
		"QUERY c1 SET unit m\x01m\r\n",
		"QUERY c1 PREPARE p\x01 WRITE q\r\n",
		"QUERY c1 PREPARE p WRITE q\x01\r\n",
		"QUERY c1 CLOSE s1\x01\r\n",
		"QUERY c1 EXECUTE s1 crate\x01 7\r\n",
		"QUERY c1 EXECUTE s1 crate 7\x01\r\n",
		"TERMINATE\x01\r\n",
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(statements); i++) {
		caller_t *caller = caller_create(fixture);

		ask(fixture, caller, "STARTUP orders u1\r\n");
		ask(fixture, caller, "QUERY c0 PREPARE s1 WRITE q1\r\n");
		send_with_nul(caller, statements[i]);
		assert_rejected(fixture, caller);
		caller_destroy(caller);
	}
	assert_int_equal(fixture->node->server->received->len, 0);
}

/* A key that is followed by more was accepted as the key. */
static void test_startup_with_nul_is_rejected(void **state)
{
	static const char *const startups[] = {
		"STARTUP orders\x01x u1\r\n",
		"STARTUP orders u1\x01x\r\n",
		"STARTUP orders u1 i-1\x01\r\n",
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(startups); i++) {
		caller_t *caller = caller_create(fixture);

		send_with_nul(caller, startups[i]);
		assert_rejected(fixture, caller);
		caller_destroy(caller);
	}
}

/* Nor may it stay open until its caller reads the error. */
static void test_transaction_ends_and_no_other_notices(void **state)
{
	fixture_t *fixture = *state;
	fake_line_server_t *server = fixture->node->server;
	caller_t *other = caller_create(fixture);
	caller_t *caller = caller_create(fixture);

	ask(fixture, other, "STARTUP orders u1\r\n");
	ask(fixture, caller, "STARTUP orders u1\r\n");
	ask(fixture, caller, "QUERY c1 BEGIN\r\n");
	ask(fixture, caller, "QUERY c2 WRITE a x\r\n");
	assert_string_equal(server->runs->str, "T WRITE a x\n");
	send_with_nul(caller, "QUERY c3 COMMIT\x01\r\n"
			      "QUERY c4 COMMIT\r\n");
	ask(fixture, other, "QUERY d1 BEGIN\r\n");
	assert_non_null(strstr(ask(fixture, other, "QUERY d2 WRITE b y\r\n"),
			       "COMPLETE"));
	assert_rejected(fixture, caller);
	assert_non_null(
		strstr(ask(fixture, other, "QUERY d3 COMMIT\r\n"), "COMPLETE"));
	assert_int_equal(server->sessions, 1);
	assert_string_equal(server->log->str, "BEGIN\nWRITE a x\n"
					      "BEGIN\nWRITE b y\nCOMMIT\n");
	caller_destroy(caller);
	caller_destroy(other);
}

/* A server would take such a point for one of this node. */
static void test_point_of_a_caller_is_refused(void **state)
{
	static const char *const statements[] = {
		"QUERY c1 AFTER 1.5 READ a\r\n",
		"QUERY c1 AFTER 0.5 READ a\r\n",
		"QUERY c1 AFTER - READ a\r\n",
		"QUERY c1 AFTER x READ a\r\n",
		"QUERY c1 AFTER - WRITE a x\r\n",
		"QUERY c1 AFTER - BEGIN\r\n",
	};
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);

	ask(fixture, caller, "STARTUP orders u1\r\n");
	for (size_t i = 0; i < G_N_ELEMENTS(statements); i++)
		assert_true(g_str_has_prefix(
			ask(fixture, caller, statements[i]),
			"ERROR MALFORMED unknown or incomplete statement\r\n"
			"READY I"));
	assert_int_equal(fixture->node->server->received->len, 0);
	caller_destroy(caller);
}

/* A server would take such a statement for one that this node issues. */
static void test_id_of_a_node_is_refused(void **state)
{
	static const char *const statements[] = {
		"QUERY - READ a\r\n", "QUERY - WRITE a x\r\n",
		"QUERY - BEGIN\r\n",  "QUERY - SET a b\r\n",
		"QUERY - STATUS\r\n",
	};
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);

	ask(fixture, caller, "STARTUP orders u1\r\n");
	for (size_t i = 0; i < G_N_ELEMENTS(statements); i++)
		assert_true(g_str_has_prefix(
			ask(fixture, caller, statements[i]),
			"ERROR MALFORMED unknown or incomplete statement\r\n"
			"READY I"));
	assert_int_equal(fixture->node->server->received->len, 0);
	assert_non_null(strstr(ask(fixture, caller, "QUERY -- READ a\r\n"),
			       "COMPLETE"));
	caller_destroy(caller);
}

static void test_valid_text_passes_unchanged(void **state)
{
	static const char *const texts[] = {
		"WRITE lot1 k\xc4\x81k\xc4\x81p\xc5\x8d \xf0\x9f\x8e\xbb",
		"WRITE lot1 \ttabs\tand  blanks ",
		"WRITE lot1  ",
		"WRITE lot1 lone\rCR and\nLF",
		"WRITE lot1 end\r",
		"WRITE lot1 \n",
		"READ lot1 ",
		"READ lot1\n",
		"WRITE lot1 not UTF-8 \xff\xfe\x80",
		"WRITE lot1 \"quoted\" \\ %s %n",
	};
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);
	g_autoptr(GString) wanted = g_string_new("");

	ask(fixture, caller, "STARTUP orders u1\r\n");
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *line =
			g_strdup_printf("QUERY c%zu %s\r\n", i, texts[i]);

		assert_non_null(
			strstr(ask(fixture, caller, line), "COMPLETE 1"));
		g_string_append_printf(wanted, "%s\n", texts[i]);
	}
	assert_string_equal(fixture->node->server->log->str, wanted->str);
	caller_destroy(caller);
}

static void set_row(fixture_t *fixture, const void *bytes, size_t size)
{
	g_clear_pointer(&fixture->node->server->row, g_bytes_unref);
	fixture->node->server->row = g_bytes_new(bytes, size);
}

/*
 * The read got the row up to the NUL byte. Its repetitions may not go on until
 * the timeout either: each costs a connection.
 */
static void test_row_with_nul_fails_the_read_at_once(void **state)
{
	fixture_t *fixture = *state;
	caller_t *caller = caller_create(fixture);
	uint32_t reads = 0;

	set_row(fixture, "qhz\0kw", 6);
	ask(fixture, caller, "STARTUP orders u1\r\n");
	assert_string_equal(ask(fixture, caller, "QUERY c1 READ a\r\n"),
			    "ERROR FAILED the server's answer is invalid\r\n"
			    "READY I -\r\n");
	for (const char *at = fixture->node->server->log->str;
	     (at = strstr(at, "READ a")); at++)
		reads++;
	assert_in_range(reads, 1, 3);
	set_row(fixture, "qhzkw", 5);
	assert_true(
		g_str_has_prefix(ask(fixture, caller, "QUERY c2 READ a\r\n"),
				 "DATAROW qhzkw\r\nCOMPLETE 1\r\n"));
	caller_destroy(caller);
}

/* Bytes that have a meaning somewhere, and any others. */
static guint8 random_byte(GRand *random)
{
	static const guint8 special[] = {0,   '\r', '\n', ' ',	'\t', 'R',
					 '-', '.',  0x7f, 0x80, 0xc3, 0xff};

	if (g_rand_boolean(random))
		return special[g_rand_int_range(random, 0,
						G_N_ELEMENTS(special))];
	return (guint8)g_rand_int_range(random, 0, 256);
}

/* Appends a field of 1 to 8 bytes, most of them of one letter. */
static void append_field(GByteArray *out, GRand *random)
{
	const gint32 size = g_rand_int_range(random, 1, 9);

	for (gint32 i = 0; i < size; i++) {
		const guint8 byte = g_rand_int_range(random, 0, 6) ?
					    'x' :
					    random_byte(random);

		g_byte_array_append(out, &byte, 1);
	}
}

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

/* @return a statement; each "*" of its form is random */
static GByteArray *statement_new(GRand *random)
{
	static const char *const forms[] = {"WRITE * *",
					    "READ *",
					    "SET * *",
					    "PREPARE s WRITE *",
					    "BEGIN",
					    "EXECUTE s * *",
					    "PREPARE * READ *",
					    "EXECUTE * *",
					    "COMMIT",
					    "*",
					    "CLOSE *",
					    "COMMIT*"};
	const char *form =
		forms[g_rand_int_range(random, 0, G_N_ELEMENTS(forms))];
	GByteArray *text = g_byte_array_new();

	for (; *form; form++)
		if (*form == '*')
			append_field(text, random);
		else
			g_byte_array_append(text, (const guint8 *)form, 1);
	return text;
}

/* @return where the part begins, or NULL */
static const guint8 *find_bytes(const guint8 *bytes, size_t left,
				const void *part, size_t size)
{
	for (; left >= size; bytes++, left--)
		if (!memcmp(bytes, part, size))
			return bytes;
	return NULL;
}

static bool contains(const GByteArray *bytes, const void *part, size_t size)
{
	return find_bytes(bytes->data, bytes->len, part, size);
}

/* @return whether what follows the words was sent by the caller as it is */
static bool was_sent(const GByteArray *sent, const char *words,
		     const guint8 *text, size_t size)
{
	g_autoptr(GByteArray) line = g_byte_array_new();

	append_text(line, words);
	g_byte_array_append(line, text, (guint)size);
	append_text(line, "\r\n");
	return contains(sent, line->data, line->len);
}

/* Removes a word and the blank after it. */
static void skip_word(const guint8 **text, size_t *size)
{
	const guint8 *blank = memchr(*text, ' ', *size);
	const size_t skipped = blank ? (size_t)(blank - *text) + 1 : *size;

	*text += skipped;
	*size -= skipped;
}

static bool has_prefix(const guint8 *text, size_t size, const char *prefix)
{
	return size >= strlen(prefix) && !memcmp(text, prefix, strlen(prefix));
}

/*
 * Asserts that a line to the server is a start-up, or a statement of the
 * caller, where the names of prepared statements may differ.
 */
static void assert_line_was_sent(const GByteArray *sent, const guint8 *line,
				 size_t size)
{
	const guint8 *text = line;
	size_t left = size;

	if (has_prefix(line, size, "STARTUP svc ") ||
	    has_prefix(line, size, "QUERY - RESET") ||
	    has_prefix(line, size, "QUERY - CLOSE p"))
		return;
	skip_word(&text, &left); /* QUERY */
	if (!has_prefix(text, left, "- ")) {
		if (was_sent(sent, "", line, size))
			return;
		skip_word(&text, &left); /* the id, which is part of the sent */
		assert_true(has_prefix(text, left, "EXECUTE "));
		skip_word(&text, &left);
		skip_word(&text, &left);
		assert_true(contains(sent, text, left));
		return;
	}
	skip_word(&text, &left);
	if (has_prefix(text, left, "PREPARE ")) {
		skip_word(&text, &left);
		skip_word(&text, &left);
		assert_true(was_sent(sent, "", text, left));
		return;
	}
	assert_true(has_prefix(text, left, "SET "));
	assert_true(was_sent(sent, " ", text, left));
}

static void assert_all_was_sent(const GByteArray *sent,
				const GByteArray *received)
{
	const guint8 *at = received->data;
	size_t left = received->len;

	while (left) {
		const guint8 *end = find_bytes(at, left, "\r\n", 2);

		assert_non_null(end);
		assert_line_was_sent(sent, at, (size_t)(end - at));
		left -= (size_t)(end - at) + 2;
		at = end + 2;
	}
}

/* Runs a session of random statements until it is closed or all are answered.
 */
static void run_random_session(fixture_t *fixture, GRand *random,
			       GByteArray *sent)
{
	const uint32_t count =
		(uint32_t)g_rand_int_range(random, 1, STATEMENTS_MAX + 1);
	caller_t *caller = caller_create(fixture);

	ask(fixture, caller, "STARTUP orders u1\r\n");
	for (uint32_t i = 0; i < count && !caller->closed; i++) {
		g_autoptr(GByteArray) text = statement_new(random);
		g_autofree char *head = g_strdup_printf("QUERY c%u ", i);
		const guint before = sent->len;

		append_text(sent, head);
		g_byte_array_append(sent, text->data, text->len);
		append_text(sent, "\r\n");
		send_bytes(caller, sent->data + before, sent->len - before);
		receive(fixture, caller);
	}
	caller_destroy(caller);
}

/* What a server receives is what a caller sent, or nothing. */
static void test_random_bytes_of_callers(void **state)
{
	fixture_t *fixture = *state;
	const GByteArray *received = fixture->node->server->received;
	g_autoptr(GRand) random = g_rand_new_with_seed(SEED);

	for (uint32_t round = 0; round < ROUNDS; round++) {
		g_autoptr(GByteArray) sent = g_byte_array_new();

		run_random_session(fixture, random, sent);
		assert_all_was_sent(sent, received);
		g_byte_array_set_size(fixture->node->server->received, 0);
	}
}

/* What a caller receives is the server's row, or an error. */
static void test_random_bytes_of_servers(void **state)
{
	fixture_t *fixture = *state;
	g_autoptr(GRand) random = g_rand_new_with_seed(SEED);
	caller_t *caller = caller_create(fixture);

	ask(fixture, caller, "STARTUP orders u1\r\n");
	for (uint32_t round = 0; round < ROUNDS / 10; round++) {
		g_autoptr(GByteArray) row = g_byte_array_new();
		g_autoptr(GByteArray) wanted = g_byte_array_new();
		const char *answer;

		append_field(row, random);
		append_field(row, random);
		if (contains(row, "\r\n", 2)) /* two messages, not a row */
			continue;
		set_row(fixture, row->data, row->len);
		answer = ask(fixture, caller, "QUERY c1 READ a\r\n");
		append_text(wanted, "DATAROW ");
		g_byte_array_append(wanted, row->data, row->len);
		append_text(wanted, "\r\nCOMPLETE 1\r\nREADY I 1.5\r\n");
		if (memchr(row->data, 0, row->len))
			assert_string_equal(
				answer, "ERROR FAILED the server's answer is "
					"invalid\r\nREADY I -\r\n");
		else
			assert_true(caller->answers->len == wanted->len &&
				    !memcmp(answer, wanted->data, wanted->len));
	}
	caller_destroy(caller);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_statement_with_nul_is_run_by_nobody),
		TEST(test_startup_with_nul_is_rejected),
		TEST(test_transaction_ends_and_no_other_notices),
		TEST(test_point_of_a_caller_is_refused),
		TEST(test_id_of_a_node_is_refused),
		TEST(test_valid_text_passes_unchanged),
		TEST(test_row_with_nul_fails_the_read_at_once),
		TEST(test_random_bytes_of_callers),
		TEST(test_random_bytes_of_servers),
	};

	log_open("test", LOG_LEVEL_ERROR);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

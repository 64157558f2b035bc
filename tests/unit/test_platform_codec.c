#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "platform/line_codec.h"

static relay_decoded_t decode_bytes(const char *bytes, size_t size,
				    relay_message_t *message)
{
	struct evbuffer *buffer = evbuffer_new();
	g_autoptr(GError) error = NULL;
	size_t searched_bytes = 0;
	relay_decoded_t decoded;

	evbuffer_add(buffer, bytes, size);
	decoded = line_codec.decode(buffer, &searched_bytes, message, &error);
	assert_true((decoded == RELAY_INVALID) == (error != NULL));
	evbuffer_free(buffer);
	return decoded;
}

static relay_decoded_t decode(const char *text, relay_message_t *message)
{
	return decode_bytes(text, strlen(text), message);
}

static char *encoded(struct evbuffer *buffer)
{
	const size_t size = evbuffer_get_length(buffer);
	char *text = g_malloc0(size + 1);

	evbuffer_remove(buffer, text, size);
	evbuffer_free(buffer);
	return text;
}

static void test_callers_messages(void **state)
{
	g_auto(relay_message_t) message = {0};

	assert_int_equal(decode("STARTUP lepu270 u3f1\r\n", &message),
			 RELAY_DECODED);
	assert_int_equal(message.kind, RELAY_MESSAGE_STARTUP);
	assert_string_equal(message.text, "lepu270");
	assert_null(message.id);
	relay_message_clear(&message);
	assert_int_equal(decode("QUERY 5c0e WRITE 1a4 a b  c\r\n", &message),
			 RELAY_DECODED);
	assert_string_equal(message.id, "5c0e");
	assert_string_equal(message.text, "WRITE 1a4 a b  c");
	relay_message_clear(&message);
	assert_int_equal(decode("TERMINATE\r\n", &message), RELAY_DECODED);
	assert_int_equal(message.kind, RELAY_MESSAGE_TERMINATE);
}

static void test_servers_messages(void **state)
{
	g_auto(relay_message_t) message = {0};

	assert_int_equal(decode("READY I 3.1209\r\n", &message), RELAY_DECODED);
	assert_int_equal(message.status, 'I');
	assert_int_equal(message.point.term, 3);
	assert_int_equal(message.point.position, 1209);
	relay_message_clear(&message);
	assert_int_equal(decode("ERROR READONLY i-7f\r\n", &message),
			 RELAY_DECODED);
	assert_int_equal(message.error, RELAY_ERROR_READ_ONLY);
	assert_string_equal(message.encoded, "ERROR READONLY i-7f\r\n");
	relay_message_clear(&message);
	assert_int_equal(decode("ERROR NEWWORD x\r\n", &message),
			 RELAY_DECODED);
	assert_int_equal(message.error, RELAY_ERROR_OTHER);
}

static void test_partial_messages_are_incomplete(void **state)
{
	static const char whole[] = "READY T 3.1209\r\n";

	for (size_t size = 0; size < sizeof(whole) - 1; size++) {
		g_auto(relay_message_t) message = {0};
		g_autofree char *part = g_strndup(whole, size);

		assert_int_equal(decode(part, &message), RELAY_INCOMPLETE);
	}
}

static void test_invalid_messages(void **state)
{
	static const char *const lines[] = {
		"\r\n",
		"READY\r\n",
		"READY X 3.1\r\n",
		"READY I 3\r\n",
		"READY I 3.x\r\n",
		"READY I -1.2\r\n",
		"READY I 9223372036854775808.1\r\n",
		"READY I 3.99999999999999999999999\r\n",
		"QUERY\r\n",
		"QUERY 5c0e\r\n",
		"STARTUP\r\n",
		"ERROR\r\n",
		"GET / HTTP/1.1\r\n",
		"READYI 3.1\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_auto(relay_message_t) message = {0};

		assert_int_equal(decode(lines[i], &message), RELAY_INVALID);
	}
}

static void test_largest_message(void **state)
{
	g_autofree char *data = g_strnfill(RELAY_MESSAGE_SIZE_BYTES_MAX, 'x');
	g_autofree char *line =
		g_strdup_printf("QUERY 1 WRITE a %.*s\r\n",
				(int)RELAY_MESSAGE_SIZE_BYTES_MAX - 64, data);
	g_autofree char *too_long = g_strconcat(data, data, NULL);
	g_auto(relay_message_t) message = {0};

	assert_int_equal(decode(line, &message), RELAY_DECODED);
	relay_message_clear(&message);
	assert_int_equal(decode(too_long, &message), RELAY_INVALID);
}

/*
 * The end of a message was searched from its start for each chunk of it, which
 * took the square of its size: 1 MB of line ends without LF, 1.8 s of a core.
 * See platform/line_frame.h.
 */
static void test_each_byte_is_searched_once(void **state)
{
	static const char fills[] = "\r\nx";
	enum { CHUNK_SIZE = 4096 };

	for (size_t i = 0; i < strlen(fills); i++) {
		g_autofree char *chunk = g_strnfill(CHUNK_SIZE, fills[i]);
		struct evbuffer *buffer = evbuffer_new();
		size_t searched_bytes = 0;
		size_t received = 0;
		size_t examined = 0;
		relay_decoded_t decoded = RELAY_INCOMPLETE;

		while (decoded == RELAY_INCOMPLETE) {
			g_auto(relay_message_t) message = {0};

			received += CHUNK_SIZE;
			evbuffer_add(buffer, chunk, CHUNK_SIZE);
			examined += received - searched_bytes;
			decoded = line_codec.decode(buffer, &searched_bytes,
						    &message, NULL);
			assert_true(decoded == RELAY_INVALID ||
				    searched_bytes == received);
		}
		assert_int_equal(decoded, RELAY_INVALID);
		assert_int_equal(searched_bytes, 0);
		assert_in_range(received, RELAY_MESSAGE_SIZE_BYTES_MAX,
				RELAY_MESSAGE_SIZE_BYTES_MAX + CHUNK_SIZE);
		assert_in_range(examined, received, 2 * received);
		evbuffer_free(buffer);
	}
}

/* Such a message was decoded, and passed on, up to the NUL byte. */
static void test_messages_with_nul_are_invalid(void **state)
{
	static const char *const lines[] = {
		"STARTUP huvo11a tenant i-7f3a91c2\r\n",
		"QUERY 5c0e WRITE 1a4 x y\r\n",
		"QUERY 5c0e COMMIT\r\n",
		"TERMINATE\r\n",
		"DATAROW qhzkw\r\n",
		"COMPLETE 7.1f3.c\r\n",
		"ERROR READONLY i-7f\r\n",
		"READY I 3.1209\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		const size_t size = strlen(lines[i]);

		/* The NUL byte in place of each byte, and before each. */
		for (size_t at = 0; at <= size - 2; at++) {
			g_autofree char *changed = g_strdup(lines[i]);
			g_autofree char *longer = g_malloc(size + 1);
			g_auto(relay_message_t) first = {0};
			g_auto(relay_message_t) second = {0};

			memcpy(longer, lines[i], at);
			longer[at] = '\0';
			memcpy(longer + at + 1, lines[i] + at, size - at);
			assert_int_equal(decode_bytes(longer, size + 1, &first),
					 RELAY_INVALID);
			if (at == size - 2)
				break;
			changed[at] = '\0';
			assert_int_equal(decode_bytes(changed, size, &second),
					 RELAY_INVALID);
		}
	}
}

/* Random changes of valid messages must not crash or block the decoder. */
static void test_mutated_bytes(void **state)
{
	static const char *const seeds[] = {
		"QUERY 5c0e AFTER 3.1207 READ 1a4\r\n",
		"DATAROW replica 3 3.1209 0 12 2 17\r\n", "READY I 3.1209\r\n",
		"ERROR BUSY slots\r\n",
		"STARTUP huvo11a tenant i-7f3a91c2\r\n"};
	g_autoptr(GRand) random = g_rand_new_with_seed(20261204);

	for (uint32_t round = 0; round < 20000; round++) {
		const char *seed = seeds[round % G_N_ELEMENTS(seeds)];
		g_autofree char *text = g_strdup(seed);
		const gint32 size = (gint32)strlen(text) - 2;
		g_auto(relay_message_t) message = {0};
		g_auto(command_t) command = {0};
		relay_status_t status;

		for (uint32_t i = 0; i < 1 + round % 3; i++)
			text[g_rand_int_range(random, 0, size)] =
				(char)g_rand_int_range(random, 0, 256);
		if (decode_bytes(text, (size_t)size + 2, &message) !=
			    RELAY_DECODED ||
		    !message.text)
			continue;
		line_codec.parse(message.text, &command);
		line_codec.parse_status(message.text, &status);
	}
}

static void test_statements(void **state)
{
	static const struct {
		const char *text;
		command_kind_t kind;
		const char *name;
		const char *value;
	} cases[] = {
		{"BEGIN", COMMAND_BEGIN, NULL, NULL},
		{"BEGIN READ", COMMAND_BEGIN_READ, NULL, NULL},
		{"BEGIN NOW", COMMAND_INVALID, NULL, NULL},
		{"COMMIT", COMMAND_COMMIT, NULL, NULL},
		{"ROLLBACK", COMMAND_ROLLBACK, NULL, NULL},
		{"READ 1a4", COMMAND_READ, "1a4", ""},
		{"READ", COMMAND_INVALID, NULL, NULL},
		{"WRITE 1a4 x y", COMMAND_WRITE, "1a4", "x y"},
		{"WRITE 1a4", COMMAND_INVALID, "1a4", ""},
		{"ADMIT acme 5", COMMAND_ADMIT, "acme", "5"},
		{"ADMIT acme 5 LOAN", COMMAND_LEND, "acme", "5"},
		{"SET zone a b", COMMAND_SET, "zone", "a b"},
		{"PREPARE s1 WRITE q2c", COMMAND_PREPARE, "s1", "WRITE q2c"},
		{"PREPARE s1 DROP q2c", COMMAND_INVALID, "s1", "DROP q2c"},
		{"EXECUTE s1 1a4 xk", COMMAND_EXECUTE, "s1", "1a4 xk"},
		{"CLOSE s1", COMMAND_CLOSE, "s1", ""},
		{"RESET", COMMAND_RESET, NULL, NULL},
		{"STATUS", COMMAND_INVALID, NULL, NULL},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_auto(command_t) command = {0};

		line_codec.parse(cases[i].text, &command);
		assert_int_equal(command.kind, cases[i].kind);
		assert_int_equal(g_strcmp0(command.name, cases[i].name), 0);
		if (cases[i].value)
			assert_string_equal(command.value, cases[i].value);
		assert_int_equal(command.after.term, 0);
	}
}

static void test_statement_with_after_point(void **state)
{
	g_auto(command_t) command = {0};

	line_codec.parse("AFTER 3.1207 READ 1a4", &command);
	assert_int_equal(command.kind, COMMAND_READ);
	assert_string_equal(command.text, "READ 1a4");
	assert_int_equal(command.after.position, 1207);
	command_clear(&command);
	line_codec.parse("AFTER x READ 1a4", &command);
	assert_int_equal(command.kind, COMMAND_INVALID);
}

static void test_encoding(void **state)
{
	struct evbuffer *out = evbuffer_new();
	g_autofree char *text = NULL;

	line_codec.put_startup(out, "svc", NULL, "i-1");
	line_codec.put_query(out, "5c", (log_point_t){3, 7}, "READ a");
	line_codec.put_query(out, NULL, (log_point_t){0}, "STATUS");
	line_codec.put_complete(out);
	line_codec.put_error(out, RELAY_ERROR_IN_DOUBT, "why");
	line_codec.put_ready(out, 'T', (log_point_t){3, 8});
	line_codec.put_ready(out, 'I', (log_point_t){0});
	text = encoded(out);
	assert_string_equal(text, "STARTUP svc toucanhook i-1\r\n"
				  "QUERY 5c AFTER 3.7 READ a\r\n"
				  "QUERY - STATUS\r\n"
				  "COMPLETE -\r\n"
				  "ERROR INDOUBT why\r\n"
				  "READY T 3.8\r\n"
				  "READY I -\r\n");
}

static void test_control(void **state)
{
	g_autofree char *fence =
		line_codec.text_control(RELAY_CONTROL_FENCE, 4);
	relay_status_t status;

	assert_string_equal(fence, "PAUSE 4");
	assert_true(
		line_codec.parse_status("replica 3 3.1209 4 12 2 17", &status));
	assert_int_equal(status.role, SERVER_REPLICA);
	assert_int_equal(status.term, 3);
	assert_int_equal(status.fence, 4);
	assert_int_equal(status.received.position, 1209);
	assert_false(line_codec.parse_status("replica 3 3.1209", &status));
	assert_false(line_codec.parse_status("witness 3 3.1 0", &status));
	/* The next term is counted from it. */
	assert_false(line_codec.parse_status(
		"replica 18446744073709551615 3.1209 4 12 2 17", &status));
}

static void test_every_kind_has_a_name(void **state)
{
	for (int i = 0; i < COMMAND_KIND_COUNT; i++)
		assert_non_null(command_kind_name((command_kind_t)i));
}

static void test_errors_that_prove_no_effect(void **state)
{
	assert_true(relay_error_proves_no_effect(RELAY_ERROR_OVERLOADED));
	assert_true(relay_error_proves_no_effect(RELAY_ERROR_ABORTED));
	assert_true(relay_error_proves_no_effect(RELAY_ERROR_CONNECTION_LIMIT));
	assert_false(relay_error_proves_no_effect(RELAY_ERROR_IN_DOUBT));
	assert_false(relay_error_proves_no_effect(RELAY_ERROR_TIMEOUT));
	assert_false(relay_error_proves_no_effect(RELAY_ERROR_FAILED));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_callers_messages),
		cmocka_unit_test(test_servers_messages),
		cmocka_unit_test(test_partial_messages_are_incomplete),
		cmocka_unit_test(test_invalid_messages),
		cmocka_unit_test(test_largest_message),
		cmocka_unit_test(test_each_byte_is_searched_once),
		cmocka_unit_test(test_messages_with_nul_are_invalid),
		cmocka_unit_test(test_mutated_bytes),
		cmocka_unit_test(test_statements),
		cmocka_unit_test(test_statement_with_after_point),
		cmocka_unit_test(test_encoding),
		cmocka_unit_test(test_control),
		cmocka_unit_test(test_every_kind_has_a_name),
		cmocka_unit_test(test_errors_that_prove_no_effect),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

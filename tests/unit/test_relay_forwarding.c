#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <sys/socket.h>

#include <cmocka.h>

#include "base/log.h"
#include "fake_line_node.h"
#include "relay/relay_forwarding_private.h"

/* A node that forwards, and the connection of another node to it. */
typedef struct {
	fake_line_node_t *node;
	relay_forwarding_t *forwarding;
	struct bufferevent *peer;
	GString *answers; /* what the other node received */
	bool closed;	  /* the connection, by the node that forwards */
} fixture_t;

static void on_read(struct bufferevent *bev, void *context)
{
	fixture_t *fixture = context;
	char bytes[512];
	size_t size;

	while ((size = bufferevent_read(bev, bytes, sizeof(bytes))) > 0)
		g_string_append_len(fixture->answers, bytes, (gssize)size);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	((fixture_t *)context)->closed = true;
}

static int open_fixture(void **state)
{
	static const endpoint_t any_port = {.address = "127.0.0.1"};
	evutil_socket_t ends[2];
	fixture_t *fixture;

	if (evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, ends))
		return -1;
	fixture = g_new0(fixture_t, 1);
	fixture->node = fake_line_node_create();
	fixture->forwarding = relay_forwarding_create(fixture->node->services,
						      &any_port, NULL);
	fixture->answers = g_string_new("");
	evutil_make_socket_nonblocking(ends[0]);
	evutil_make_socket_nonblocking(ends[1]);
	forwarding_session_create(fixture->forwarding, ends[0]);
	fixture->peer = bufferevent_socket_new(fixture->node->base, ends[1],
					       BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(fixture->peer, on_read, NULL, on_event, fixture);
	bufferevent_enable(fixture->peer, EV_READ | EV_WRITE);
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_forwarding_destroy(fixture->forwarding);
	bufferevent_free(fixture->peer);
	g_string_free(fixture->answers, TRUE);
	fake_line_node_destroy(fixture->node);
	g_free(fixture);
	return 0;
}

/* Sends lines and waits for as many answers. @return the answers' first words
 */
static const char *ask(fixture_t *fixture, const char *lines)
{
	uint32_t wanted = 0;
	uint32_t answered = 0;

	g_string_truncate(fixture->answers, 0);
	for (const char *c = lines; *c; c++)
		wanted += *c == '\n';
	bufferevent_write(fixture->peer, lines, strlen(lines));
	while (answered < wanted) {
		const char *at;

		event_base_loop(fixture->node->base, EVLOOP_ONCE);
		at = fixture->answers->str;
		for (answered = 0; (at = strstr(at, "READY ")); at++)
			answered++;
	}
	return fixture->answers->str;
}

/*
 * Guards against names of another node that are sent to the server as they are:
 * there they may belong to another definition.
 */
static void test_names_of_nodes_are_not_names_of_the_server(void **state)
{
	fixture_t *fixture = *state;

	ask(fixture, "STARTUP svc - i-1\r\n"
		     "QUERY - PREPARE p1 READ a\r\n"
		     "QUERY c1 EXECUTE p1 item\r\n"
		     "QUERY - PREPARE p9 READ b\r\n"
		     "QUERY c2 EXECUTE p9 item\r\n"
		     "QUERY - PREPARE p2 READ c\r\n"
		     "QUERY - CLOSE p1\r\n"
		     "QUERY - PREPARE p1 READ d\r\n"
		     "QUERY c3 EXECUTE p1 item\r\n");
	assert_string_equal(fixture->node->server->runs->str,
			    "I READ a item\nI READ b item\n"
			    "I READ d item\n");
}

/* Guards against running a name that the other node has not prepared. */
static void test_unknown_name_is_not_run(void **state)
{
	fixture_t *fixture = *state;

	ask(fixture, "STARTUP svc - i-1\r\n"
		     "QUERY - PREPARE p1 READ a\r\n"
		     "QUERY c1 EXECUTE p1 item\r\n"
		     "QUERY - RESET\r\n");
	assert_non_null(strstr(ask(fixture, "QUERY c2 EXECUTE p1 item\r\n"),
			       "ERROR TOOMANY prepared name unknown"));
	assert_string_equal(fixture->node->server->runs->str,
			    "I READ a item\n");
}

/*
 * Guards against a hub that sends a change behind a BEGIN which fails: the
 * other node pipelines both, because the hub answers the BEGIN itself.
 */
static void test_change_does_not_run_without_its_transaction(void **state)
{
	fixture_t *fixture = *state;
	fake_line_server_t *server = fixture->node->server;
	const char *answers;

	server->rejects = "BEGIN";
	server->rejects_count = 1;
	server->error = "FAILED i-1";
	answers = ask(fixture, "STARTUP svc - i-1\r\n"
			       "QUERY c0 BEGIN\r\n"
			       "QUERY c1 WRITE a x\r\n");
	assert_string_equal(answers, "READY I -\r\n"
				     "COMPLETE -\r\nREADY T -\r\n"
				     "ERROR ABORTED session not set up\r\n"
				     "READY I -\r\n");
	assert_string_equal(server->runs->str, "");
	ask(fixture, "QUERY c2 BEGIN\r\nQUERY c3 WRITE a x\r\n");
	assert_string_equal(server->runs->str, "T WRITE a x\n");
}

/* Guards against a statement of another node that is cut at a NUL byte. */
static void test_statement_with_nul_closes_the_connection(void **state)
{
	static const char line[] = "QUERY c2 WRITE a x\0y\r\n";
	fixture_t *fixture = *state;
	fake_line_server_t *server = fixture->node->server;
	const uint64_t until_ms = clock_now_ms() + FAKE_LINE_NODE_TIMEOUT_MS;

	ask(fixture, "STARTUP svc - i-1\r\n"
		     "QUERY c0 BEGIN\r\n"
		     "QUERY c1 WRITE a x\r\n");
	bufferevent_write(fixture->peer, line, sizeof(line) - 1);
	while (!fixture->closed || server->sessions) {
		assert_true(clock_now_ms() < until_ms);
		event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
	}
	assert_string_equal(server->runs->str, "T WRITE a x\n");
	assert_null(strstr(server->log->str, "COMMIT"));
}

/* Guards against a null pointer: the process ended. */
static void test_statement_with_an_invalid_point_is_passed_on(void **state)
{
	static const char *const texts[] = {
		"AFTER x READ a", "AFTER 3.x READ a", "AFTER 3 READ a",
		"AFTER",	  "AFTER ",	      "AFTER  READ a"};
	fixture_t *fixture = *state;
	g_autoptr(GString) wanted = g_string_new("");

	ask(fixture, "STARTUP svc - i-1\r\n");
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *line =
			g_strdup_printf("QUERY c%zu %s\r\n", i, texts[i]);

		ask(fixture, line);
		g_string_append_printf(wanted, "%s\n", texts[i]);
	}
	assert_string_equal(fixture->node->server->log->str, wanted->str);
}

/*
 * Guards against reads that other nodes repeat until their timeouts, because
 * they see a broken connection.
 */
static void test_row_with_nul_fails_the_read(void **state)
{
	fixture_t *fixture = *state;
	fake_line_server_t *server = fixture->node->server;

	server->row = g_bytes_new("a\0b", 3);
	ask(fixture, "STARTUP svc - i-1\r\n"
		     "QUERY - PREPARE p1 READ a\r\n");
	assert_string_equal(ask(fixture, "QUERY c1 READ x\r\n"),
			    "ERROR FAILED the server's answer is invalid\r\n"
			    "READY I -\r\n");
	assert_string_equal(ask(fixture, "QUERY c2 EXECUTE p1 x\r\n"),
			    "ERROR FAILED the server's answer is invalid\r\n"
			    "READY I -\r\n");
	assert_string_equal(server->runs->str, "I READ x\nI READ a x\n");
}

/* Appends bytes of any value, most of them of one letter. */
static void append_random(GByteArray *out, GRand *random)
{
	static const guint8 special[] = {0, '\r', '\n', ' ', '-', '.', 0xff};
	const gint32 size = g_rand_int_range(random, 1, 9);

	for (gint32 i = 0; i < size; i++) {
		guint8 byte = 'x';

		if (!g_rand_int_range(random, 0, 6))
			byte = special[g_rand_int_range(random, 0,
							G_N_ELEMENTS(special))];
		g_byte_array_append(out, &byte, 1);
	}
}

/* @return a message; each "*" of its form is random */
static GByteArray *random_message(GRand *random)
{
	static const char *const forms[] = {"QUERY * READ *",
					    "QUERY c WRITE * *",
					    "QUERY - SET * *",
					    "QUERY - PREPARE * READ *",
					    "QUERY c EXECUTE * *",
					    "QUERY c AFTER * READ *",
					    "QUERY c AFTER 1.* READ *",
					    "QUERY - AS *",
					    "QUERY - ADMIT * 5",
					    "QUERY - FOLLOW * *",
					    "QUERY c BEGIN*",
					    "QUERY c COMMIT",
					    "QUERY - CLOSE *",
					    "QUERY - RESET",
					    "QUERY - *",
					    "STARTUP svc * *",
					    "*",
					    "QUERY *"};
	const char *form =
		forms[g_rand_int_range(random, 0, G_N_ELEMENTS(forms))];
	GByteArray *message = g_byte_array_new();

	for (; *form; form++)
		if (*form == '*')
			append_random(message, random);
		else
			g_byte_array_append(message, (const guint8 *)form, 1);
	g_byte_array_append(message, (const guint8 *)"\r\n", 2);
	return message;
}

/* Connects as another node, in place of the connection before. */
static void reconnect(fixture_t *fixture)
{
	evutil_socket_t ends[2];

	assert_int_equal(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
	bufferevent_free(fixture->peer);
	evutil_make_socket_nonblocking(ends[0]);
	evutil_make_socket_nonblocking(ends[1]);
	forwarding_session_create(fixture->forwarding, ends[0]);
	fixture->peer = bufferevent_socket_new(fixture->node->base, ends[1],
					       BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(fixture->peer, on_read, NULL, on_event, fixture);
	bufferevent_enable(fixture->peer, EV_READ | EV_WRITE);
	fixture->closed = false;
	ask(fixture, "STARTUP svc - i-1\r\n");
}

static bool has_nul_line(const GByteArray *received)
{
	return received->len && memchr(received->data, 0, received->len);
}

/*
 * Whatever another node sends, this one goes on serving, and passes on no
 * message that was cut: the server sees no NUL, and each of its statements is
 * answered as before.
 */
static void test_random_bytes_of_nodes(void **state)
{
	fixture_t *fixture = *state;
	g_autoptr(GRand) random = g_rand_new_with_seed(20261206);

	for (uint32_t round = 0; round < 3000; round++) {
		g_autoptr(GByteArray) message = random_message(random);
		const bool cut = memchr(message->data, 0, message->len) != NULL;
		GByteArray *received = fixture->node->server->received;
		const uint64_t until_ms =
			clock_now_ms() + FAKE_LINE_NODE_TIMEOUT_MS;
		bool answered = false;

		if (fixture->closed || round % 5 == 0)
			reconnect(fixture);
		g_byte_array_set_size(received, 0);
		g_string_truncate(fixture->answers, 0);
		bufferevent_write(fixture->peer, message->data, message->len);
		while (!fixture->closed && !answered) {
			assert_true(clock_now_ms() < until_ms);
			event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
			answered = strstr(fixture->answers->str, "READY ");
		}
		assert_false(has_nul_line(received));
		if (cut)
			assert_true(fixture->closed);
	}
	reconnect(fixture);
	assert_non_null(strstr(ask(fixture, "QUERY c1 WRITE a x\r\n"),
			       "COMPLETE 1\r\nREADY I"));
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, open_fixture, close_fixture)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_names_of_nodes_are_not_names_of_the_server),
		TEST(test_unknown_name_is_not_run),
		TEST(test_change_does_not_run_without_its_transaction),
		TEST(test_statement_with_nul_closes_the_connection),
		TEST(test_statement_with_an_invalid_point_is_passed_on),
		TEST(test_row_with_nul_fails_the_read),
		TEST(test_random_bytes_of_nodes),
	};

	log_open("test", LOG_LEVEL_WARNING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

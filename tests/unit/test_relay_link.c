#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "base/clock.h"
#include "platform/line_codec.h"
#include "relay/relay_link.h"

/* A server that accepts every connection and sends configured answers. */
typedef struct {
	struct event_base *base;
	struct evconnlistener *listener;
	endpoint_t endpoint;
	backend_entry_t entry;
	const char *answers; /* bytes sent in reply to each statement */
	size_t answers_size; /* number of these bytes; 0 if they are a text */
	relay_link_t *link;
	bool opened;
	bool closed;
	GString *results; /* results of the statements, in order */
} fixture_t;

static void on_server_read(struct bufferevent *bev, void *context)
{
	fixture_t *fixture = context;
	struct evbuffer *input = bufferevent_get_input(bev);
	char *line;

	while ((line = evbuffer_readln(input, NULL, EVBUFFER_EOL_CRLF))) {
		const bool starts = g_str_has_prefix(line, "STARTUP");
		const char *answer =
			starts ? "READY I 1.5\r\n" : fixture->answers;

		bufferevent_write(bev, answer,
				  !starts && fixture->answers_size ?
					  fixture->answers_size :
					  strlen(answer));
		free(line);
	}
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	fixture_t *fixture = context;
	struct bufferevent *bev = bufferevent_socket_new(fixture->base, fd,
							 BEV_OPT_CLOSE_ON_FREE);

	bufferevent_setcb(bev, on_server_read, NULL, NULL, fixture);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void on_opened(void *context, relay_link_t *link, log_point_t point,
		      uint64_t asked_ms)
{
	((fixture_t *)context)->opened = true;
}

static void on_closed(void *context, relay_link_t *link, relay_error_t error,
		      bool was_open)
{
	((fixture_t *)context)->closed = true;
}

static void on_done(void *context, const relay_answer_t *answer)
{
	fixture_t *fixture = context;

	if (answer->broken)
		g_string_append(fixture->results,
				answer->error == RELAY_ERROR_MALFORMED ?
					"invalid " :
					"broken ");
	else if (answer->failed)
		g_string_append_printf(fixture->results, "%s ",
				       relay_error_name(answer->error));
	else
		g_string_append_printf(fixture->results, "%s ", answer->row);
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr =
					      htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);

	fixture->base = event_base_new();
	fixture->results = g_string_new("");
	fixture->answers = "DATAROW x\r\nCOMPLETE 1\r\nREADY I 1.6\r\n";
	fixture->listener = evconnlistener_new_bind(
		fixture->base, on_accept, fixture, LEV_OPT_CLOSE_ON_FREE, 8,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(fixture->listener),
		    (struct sockaddr *)&address, &size);
	fixture->endpoint = (endpoint_t){.address = "127.0.0.1",
					 .port = ntohs(address.sin_port)};
	fixture->entry = (backend_entry_t){
		.id = "i-1", .service = "svc", .endpoint = fixture->endpoint};
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	relay_link_destroy(fixture->link);
	evconnlistener_free(fixture->listener);
	event_base_free(fixture->base);
	g_string_free(fixture->results, TRUE);
	g_free(fixture);
	return 0;
}

static void open_link(fixture_t *fixture, const endpoint_t *via)
{
	const relay_link_handlers_t handlers = {
		.opened = on_opened,
		.closed = on_closed,
		.context = fixture,
	};

	fixture->link = relay_link_open(fixture->base, &line_codec,
					&fixture->entry, NULL, via, handlers);
	while (!fixture->opened && !fixture->closed)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	assert_true(fixture->opened);
}

static void run(fixture_t *fixture, uint32_t statements)
{
	for (uint32_t i = 0; i < statements; i++)
		relay_link_run(fixture->link, "1", (log_point_t){0}, "READ a",
			       on_done, fixture);
	while (relay_link_is_busy(fixture->link) && !fixture->closed)
		event_base_loop(fixture->base, EVLOOP_ONCE);
}

static void test_statements_are_answered_in_order(void **state)
{
	fixture_t *fixture = *state;

	open_link(fixture, NULL);
	run(fixture, 3);
	assert_string_equal(fixture->results->str, "x x x ");
	assert_true(relay_link_is_open(fixture->link));
}

/*
 * A server behind a forwarding node may restart unnoticed and lose its fence,
 * so that the age of a forwarded connection proves nothing.
 */
static void test_age_of_forwarded_connection_is_unknown(void **state)
{
	fixture_t *fixture = *state;

	open_link(fixture, &fixture->endpoint);
	assert_true(relay_link_is_forwarded(fixture->link));
	assert_true(relay_link_opened_ms(fixture->link) == UINT64_MAX);
}

static void test_age_of_direct_connection(void **state)
{
	fixture_t *fixture = *state;

	open_link(fixture, NULL);
	assert_in_range(relay_link_opened_ms(fixture->link), 1,
			clock_boot_ms());
}

static void test_errors_are_reported_by_kind(void **state)
{
	fixture_t *fixture = *state;

	fixture->answers = "ERROR LAGGING 1.2\r\nREADY I 1.2\r\n";
	open_link(fixture, NULL);
	run(fixture, 1);
	assert_string_equal(fixture->results->str, "behind ");
}

/* Bytes after the last answer would be taken for a later statement's answer. */
static void test_surplus_answer_breaks_the_connection(void **state)
{
	fixture_t *fixture = *state;

	fixture->answers = "COMPLETE 1\r\nREADY I 1.6\r\n"
			   "COMPLETE 1\r\nREADY I 1.6\r\n";
	open_link(fixture, NULL);
	run(fixture, 1);
	assert_true(fixture->closed);
	assert_string_equal(fixture->results->str, "broken ");
}

/* A part of an answer was passed on up to a NUL byte. */
static void test_answer_with_nul_is_passed_on_to_nobody(void **state)
{
	static const struct {
		const char *bytes;
		size_t size;
	} answers[] = {
#define ANSWER(text) {text, sizeof(text) - 1}
		ANSWER("DATAROW x\0y\r\nCOMPLETE 1\r\nREADY I 1.6\r\n"),
		ANSWER("DATAROW x\r\nCOMPLETE 1\0 2\r\nREADY I 1.6\r\n"),
		ANSWER("DATAROW x\r\nCOMPLETE 1\r\nREADY I 1.6\0\r\n"),
		ANSWER("ERROR BUSY\0 x\r\nREADY I 1.6\r\n"),
		ANSWER("ERROR BUSY x\0\r\nREADY I 1.6\r\n"),
#undef ANSWER
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		fixture_t *fixture = *state;

		fixture->answers = answers[i].bytes;
		fixture->answers_size = answers[i].size;
		g_string_truncate(fixture->results, 0);
		fixture->opened = false;
		fixture->closed = false;
		g_clear_pointer(&fixture->link, relay_link_destroy);
		open_link(fixture, NULL);
		run(fixture, 1);
		assert_true(fixture->closed);
		assert_string_equal(fixture->results->str, "invalid ");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_statements_are_answered_in_order, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_age_of_forwarded_connection_is_unknown,
			open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(test_age_of_direct_connection,
						open_fixture, close_fixture),
		cmocka_unit_test_setup_teardown(
			test_errors_are_reported_by_kind, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_surplus_answer_breaks_the_connection, open_fixture,
			close_fixture),
		cmocka_unit_test_setup_teardown(
			test_answer_with_nul_is_passed_on_to_nobody,
			open_fixture, close_fixture),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

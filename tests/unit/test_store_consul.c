#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "store/store.h"
#include "transport/http_client.h"

/* A server that returns the same reply to every request. */
typedef struct {
	struct event_base *base;
	struct evconnlistener *listener;
	GPtrArray *connections; /* struct bufferevent * */
	uint16_t port;
	const char *reply; /* NULL closes the connection; "" sends nothing */
	uint32_t accepted;
	uint32_t requests;
	char *last; /* text of the last request */
} fake_t;

typedef struct {
	uint32_t calls;
	store_result_t result;
	char *bytes;
	uint64_t index;
	uint32_t members_count;
	member_t members[4];
} answer_t;

static bool is_complete(const char *text)
{
	const char *body = strstr(text, "\r\n\r\n");
	const char *length = strstr(text, "Content-Length: ");

	if (!body)
		return false;
	return !length ||
	       strlen(body + 4) >=
		       strtoul(length + strlen("Content-Length: "), NULL, 10);
}

static void on_read(struct bufferevent *connection, void *context)
{
	fake_t *fake = context;
	struct evbuffer *input = bufferevent_get_input(connection);
	const size_t size_bytes = evbuffer_get_length(input);
	g_autofree char *text =
		g_strndup((char *)evbuffer_pullup(input, -1), size_bytes);

	if (!is_complete(text))
		return;
	evbuffer_drain(input, size_bytes);
	fake->requests++;
	g_free(fake->last);
	fake->last = g_steal_pointer(&text);
	if (fake->reply) {
		bufferevent_write(connection, fake->reply, strlen(fake->reply));
		return;
	}
	g_ptr_array_remove_fast(fake->connections, connection);
}

static void on_connection_event(struct bufferevent *connection, short what,
				void *context)
{
	fake_t *fake = context;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		g_ptr_array_remove_fast(fake->connections, connection);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	fake_t *fake = context;
	struct bufferevent *connection =
		bufferevent_socket_new(fake->base, fd, BEV_OPT_CLOSE_ON_FREE);

	fake->accepted++;
	g_ptr_array_add(fake->connections, connection);
	bufferevent_setcb(connection, on_read, NULL, on_connection_event, fake);
	bufferevent_enable(connection, EV_READ | EV_WRITE);
}

static fake_t *fake_create(void)
{
	fake_t *fake = g_new0(fake_t, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);

	fake->base = event_base_new();
	fake->connections = g_ptr_array_new_with_free_func(
		(GDestroyNotify)bufferevent_free);
	fake->listener = evconnlistener_new_bind(
		fake->base, on_accept, fake, LEV_OPT_CLOSE_ON_FREE, -1,
		(struct sockaddr *)&address, sizeof(address));
	assert_non_null(fake->listener);
	getsockname(evconnlistener_get_fd(fake->listener),
		    (struct sockaddr *)&address, &length);
	fake->port = ntohs(address.sin_port);
	return fake;
}

static void fake_destroy(fake_t *fake)
{
	evconnlistener_free(fake->listener);
	g_ptr_array_unref(fake->connections);
	event_base_free(fake->base);
	g_free(fake->last);
	g_free(fake);
}

static void on_value(void *context, store_result_t result, const uint8_t *bytes,
		     size_t size_bytes, uint64_t index)
{
	answer_t *answer = context;

	answer->calls++;
	answer->result = result;
	answer->index = index;
	g_free(answer->bytes);
	answer->bytes = g_strndup((const char *)bytes, size_bytes);
}

static void on_members(void *context, store_result_t result,
		       const member_t *members, uint32_t members_count,
		       uint64_t index)
{
	answer_t *answer = context;

	answer->calls++;
	answer->result = result;
	answer->index = index;
	answer->members_count = members_count;
	for (uint32_t i = 0; i < MIN(members_count, 4); i++)
		answer->members[i] = members[i];
}

static void wait_for(fake_t *fake, const answer_t *answer, uint32_t calls)
{
	while (answer->calls < calls)
		event_base_loop(fake->base, EVLOOP_ONCE);
}

static store_t *store_of(const fake_t *fake)
{
	return store_consul_create(fake->base, "127.0.0.1", fake->port);
}

#define REPLY(status, body_length, body)                        \
	"HTTP/1.1 " status                                      \
	"\r\nX-Consul-Index: 9\r\nContent-Length: " body_length \
	"\r\n\r\n" body

typedef struct {
	const char *reply;
	store_result_t expected;
} reply_t;

static void test_reads(void **state)
{
	static const reply_t replies[] = {
		{REPLY("200 OK", "42",
		       "[{\"Value\":\"aGVsbG8=\",\"ModifyIndex\":7}]    "),
		 STORE_OK},
		{REPLY("404 Not Found", "0", ""), STORE_ABSENT},
		{REPLY("403 Forbidden", "0", ""), STORE_REFUSED},
		{REPLY("500 Oops", "0", ""), STORE_UNKNOWN},
		{REPLY("200 OK", "4", "what"), STORE_UNKNOWN},
		{REPLY("200 OK", "2", "[]"), STORE_UNKNOWN},
		{REPLY("200 OK", "16", "[{\"Value\":\"aA\"}]"), STORE_UNKNOWN},
		/* Values that were taken without what is no base64. */
		{REPLY("200 OK", "44",
		       "[{\"Value\":\"aGVsbG8=\\u0000\",\"ModifyIndex\":7}]"),
		 STORE_UNKNOWN},
		{REPLY("200 OK", "44",
		       "[{\"Value\":\"aGVs*bG8=\",\"ModifyIndex\":7}]     "),
		 STORE_UNKNOWN},
		{REPLY("200 OK", "44",
		       "[{\"Value\":5,\"ModifyIndex\":7}]               "),
		 STORE_UNKNOWN},
		{REPLY("200 OK", "99999999", "["), STORE_UNKNOWN},
		{NULL, STORE_UNKNOWN},
	};
	fake_t *fake = fake_create();
	store_t *store = store_of(fake);
	answer_t answer = {0};

	for (uint32_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		fake->reply = replies[i].reply;
		store->calls->get(store->self, "toucanhook/a b", 0, 0, on_value,
				  &answer);
		assert_int_equal(answer.calls, i);
		wait_for(fake, &answer, i + 1);
		assert_int_equal(answer.result, replies[i].expected);
		if (i)
			continue;
		assert_string_equal(answer.bytes, "hello");
		assert_int_equal(answer.index, 7);
		assert_true(g_str_has_prefix(
			fake->last,
			"GET /v1/kv/toucanhook/a%20b?consistent HTTP/1.1"));
	}
	g_free(answer.bytes);
	store_destroy(store);
	fake_destroy(fake);
}

static void test_swaps(void **state)
{
	static const reply_t replies[] = {
		{REPLY("200 OK", "4", "true"), STORE_OK},
		{REPLY("200 OK", "5", "false"), STORE_CONFLICT},
		{REPLY("200 OK", "3", "tru"), STORE_UNKNOWN},
		{REPLY("200 OK", "9", "tr"), STORE_UNKNOWN},
		/* The answer was read up to its 16th byte. */
		{REPLY("200 OK", "24", "true                more"),
		 STORE_UNKNOWN},
		{REPLY("413 Too Large", "0", ""), STORE_REFUSED},
		{REPLY("500 No leader", "0", ""), STORE_UNKNOWN},
		{NULL, STORE_UNKNOWN},
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		fake_t *fake = fake_create();
		store_t *store = store_of(fake);
		answer_t answer = {0};

		fake->reply = replies[i].reply;
		store->calls->swap(store->self, "k", (const uint8_t *)"v1", 2,
				   7, on_value, &answer);
		if (i == 3) {
			/* Closes the connection in the middle of the reply. */
			while (!fake->requests)
				event_base_loop(fake->base, EVLOOP_ONCE);
			while (evbuffer_get_length(bufferevent_get_output(
				fake->connections->pdata[0])))
				event_base_loop(fake->base, EVLOOP_ONCE);
			g_ptr_array_set_size(fake->connections, 0);
		}
		wait_for(fake, &answer, 1);
		assert_int_equal(answer.result, replies[i].expected);
		assert_true(g_str_has_prefix(fake->last,
					     "PUT /v1/kv/k?cas=7 HTTP/1.1"));
		assert_true(g_str_has_suffix(fake->last, "\r\n\r\nv1"));
		/* A write must not be sent twice. */
		assert_int_equal(fake->requests, 1);
		g_free(answer.bytes);
		store_destroy(store);
		fake_destroy(fake);
	}
}

static void test_connection_is_reused(void **state)
{
	fake_t *fake = fake_create();
	store_t *store = store_of(fake);
	answer_t answer = {0};

	fake->reply = REPLY("404 Not Found", "0", "");
	for (uint32_t i = 0; i < 20; i++) {
		store->calls->get(store->self, "k", 5, 1000, on_value, &answer);
		wait_for(fake, &answer, i + 1);
	}
	assert_non_null(strstr(fake->last, "/v1/kv/k?index=5&wait=1000ms"));
	assert_int_equal(fake->accepted, 1);
	g_free(answer.bytes);
	store_destroy(store);
	fake_destroy(fake);
}

static void test_invalid_members_are_skipped(void **state)
{
	static const char body[] =
		"[{\"Node\":\"akl-1\",\"Address\":\"10.0.0.1\",\"Meta\":{"
		"\"failure_domain\":\"akl\",\"region\":\"nz\",\"peer_port\":"
		"\"7001\",\"state\":\"leaving\"}},"
		"{\"Node\":\"akl-2\",\"Address\":\"somewhere\",\"Meta\":{"
		"\"failure_domain\":\"akl\",\"region\":\"nz\",\"peer_port\":"
		"\"7001\"}},"
		"{\"Node\":\"akl-3\",\"Address\":\"10.0.0.3\",\"Meta\":{"
		"\"failure_domain\":\"akl\",\"region\":\"nz\",\"peer_port\":"
		"\"0\"}},"
		"{\"Node\":\"akl-4\",\"Address\":\"10.0.0.4\"},"
		"{\"Node\":\"akl-1\\u0000\",\"Address\":\"10.0.0.5\",\"Meta\":{"
		"\"failure_domain\":\"akl\",\"region\":\"nz\",\"peer_port\":"
		"\"7001\"}},"
		"{\"Node\":\"wlg-1\",\"Address\":\"10.0.1.1\",\"Meta\":{"
		"\"failure_domain\":\"wlg\",\"region\":\"nz\",\"peer_port\":"
		"\"7001\",\"state\":\"live\"}}]";
	fake_t *fake = fake_create();
	store_t *store = store_of(fake);
	answer_t answer = {0};
	g_autofree char *reply =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Consul-Index: 9\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				strlen(body), body);

	fake->reply = reply;
	store->calls->members(store->self, 0, 0, on_members, &answer);
	wait_for(fake, &answer, 1);
	assert_int_equal(answer.result, STORE_OK);
	assert_int_equal(answer.index, 9);
	assert_int_equal(answer.members_count, 2);
	assert_string_equal(answer.members[0].name, "akl-1");
	assert_int_equal(answer.members[0].state, MEMBER_LEAVING);
	assert_int_equal(answer.members[1].peer_port, 7001);
	assert_string_equal(answer.members[1].failure_domain, "wlg");
	store_destroy(store);
	fake_destroy(fake);
}

static void on_response(void *context, const http_response_t *response)
{
	uint32_t *statuses = context;

	statuses[response->status ? 0 : 1]++;
}

static void test_unanswered_calls_end_at_the_deadline(void **state)
{
	fake_t *fake = fake_create();
	http_client_t *client =
		http_client_create(fake->base, "127.0.0.1", fake->port);
	uint32_t statuses[2] = {0};

	fake->reply = "";
	for (uint32_t i = 0; i < 40; i++)
		http_client_send(client, HTTP_GET, "/", NULL, 0, 50,
				 on_response, statuses, NULL);
	while (statuses[0] + statuses[1] < 40)
		event_base_loop(fake->base, EVLOOP_ONCE);
	assert_int_equal(statuses[1], 40);
	fake->reply = REPLY("200 OK", "0", "");
	http_client_send(client, HTTP_GET, "/", NULL, 0, 60000, on_response,
			 statuses, NULL);
	while (!statuses[0])
		event_base_loop(fake->base, EVLOOP_ONCE);
	http_client_destroy(client);
	fake_destroy(fake);
}

static void test_destroy_drops_pending_calls(void **state)
{
	fake_t *fake = fake_create();
	store_t *store = store_of(fake);
	answer_t answer = {0};

	fake->reply = "";
	for (uint32_t i = 0; i < HTTP_CLIENT_CONNECTIONS_MAX + 4; i++)
		store->calls->get(store->self, "k", 1, 60000, on_value,
				  &answer);
	while (fake->requests < HTTP_CLIENT_CONNECTIONS_MAX)
		event_base_loop(fake->base, EVLOOP_ONCE);
	assert_int_equal(fake->accepted, HTTP_CLIENT_CONNECTIONS_MAX);
	store_destroy(store);
	event_base_loop(fake->base, EVLOOP_NONBLOCK);
	assert_int_equal(answer.calls, 0);
	fake_destroy(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reads),
		cmocka_unit_test(test_swaps),
		cmocka_unit_test(test_connection_is_reused),
		cmocka_unit_test(test_invalid_members_are_skipped),
		cmocka_unit_test(test_unanswered_calls_end_at_the_deadline),
		cmocka_unit_test(test_destroy_drops_pending_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

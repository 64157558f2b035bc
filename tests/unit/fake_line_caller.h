#ifndef UNIT_FAKE_LINE_CALLER_H
#define UNIT_FAKE_LINE_CALLER_H

#include <sys/socket.h>
#include <unistd.h>

#include "fake_line_node.h"
#include "relay/relay_session.h"

/* A node, and its settings for the sessions of callers. */
typedef struct {
	fake_line_node_t *node;
	relay_session_host_t host;
	GHashTable *ended; /* set of the sessions that ended on their own */
} fixture_t;

/* A caller with an open connection. */
typedef struct {
	relay_session_t *session;
	GHashTable *ended; /* of the fixture */
	evutil_socket_t fd;
	GByteArray *answers;
	bool closed; /* by the node */
} caller_t;

static void on_ended(void *context, relay_session_t *session)
{
	g_hash_table_add(((fixture_t *)context)->ended, session);
}

static int open_fixture(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->node = fake_line_node_create();
	fixture->ended = g_hash_table_new(NULL, NULL);
	fixture->host = (relay_session_host_t){
		.base = fixture->node->base,
		.codec = &line_codec,
		.services = fixture->node->services,
		.catalog = fixture->node->catalog,
		.metrics = fixture->node->metrics,
		.ended = on_ended,
		.context = fixture,
	};
	fixture->node->catalog->transaction_idle_ms = FAKE_LINE_NODE_TIMEOUT_MS;
	*state = fixture;
	return 0;
}

static int close_fixture(void **state)
{
	fixture_t *fixture = *state;

	fake_line_node_destroy(fixture->node);
	g_hash_table_destroy(fixture->ended);
	g_free(fixture);
	return 0;
}

static caller_t *caller_create(fixture_t *fixture)
{
	caller_t *caller = g_new0(caller_t, 1);
	evutil_socket_t ends[2];

	assert_int_equal(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
	evutil_make_socket_nonblocking(ends[0]);
	evutil_make_socket_nonblocking(ends[1]);
	caller->fd = ends[0];
	caller->answers = g_byte_array_new();
	caller->ended = fixture->ended;
	caller->session = relay_session_create(&fixture->host, ends[1]);
	g_hash_table_remove(fixture->ended, caller->session);
	return caller;
}

static void caller_destroy(caller_t *caller)
{
	if (!g_hash_table_contains(caller->ended, caller->session))
		relay_session_destroy(caller->session);
	close(caller->fd);
	g_byte_array_unref(caller->answers);
	g_free(caller);
}

static void send_bytes(const caller_t *caller, const void *bytes, size_t size)
{
	assert_int_equal(send(caller->fd, bytes, size, 0), size);
}

static void send_text(const caller_t *caller, const char *text)
{
	send_bytes(caller, text, strlen(text));
}

/* @return whether the caller has received a message that ends an answer */
static bool is_answered(const caller_t *caller)
{
	const guint8 *bytes = caller->answers->data;
	const guint length = caller->answers->len;

	if (length < 2 || memcmp(bytes + length - 2, "\r\n", 2) != 0)
		return false;
	for (guint at = length - 2; at > 0; at--)
		if (bytes[at - 1] == '\n')
			return !memcmp(bytes + at, "READY ", 6);
	return !memcmp(bytes, "READY ", 6);
}

/* Runs the node until the caller has an answer or its connection is closed. */
static const char *receive(fixture_t *fixture, caller_t *caller)
{
	const uint64_t until_ms = clock_now_ms() + FAKE_LINE_NODE_TIMEOUT_MS;

	g_byte_array_set_size(caller->answers, 0);
	while (!caller->closed && !is_answered(caller)) {
		guint8 bytes[4096];
		ssize_t size;

		assert_true(clock_now_ms() < until_ms);
		event_base_loop(fixture->node->base, EVLOOP_NONBLOCK);
		size = recv(caller->fd, bytes, sizeof(bytes), 0);
		caller->closed = !size;
		if (size > 0)
			g_byte_array_append(caller->answers, bytes,
					    (guint)size);
	}
	g_byte_array_append(caller->answers, (const guint8 *)"", 1);
	g_byte_array_set_size(caller->answers, caller->answers->len - 1);
	return (const char *)caller->answers->data;
}

/* Runs the node until the connection is closed. @return all that came */
static G_GNUC_UNUSED const char *receive_end(fixture_t *fixture,
					     caller_t *caller)
{
	GByteArray *all = g_byte_array_new();

	while (!caller->closed) {
		receive(fixture, caller);
		g_byte_array_append(all, caller->answers->data,
				    caller->answers->len);
	}
	g_byte_array_append(all, (const guint8 *)"", 1);
	g_byte_array_unref(caller->answers);
	caller->answers = all;
	return (const char *)all->data;
}

static const char *ask(fixture_t *fixture, caller_t *caller, const char *text)
{
	send_text(caller, text);
	return receive(fixture, caller);
}

#endif

#ifndef UNIT_FAKE_BACKEND_H
#define UNIT_FAKE_BACKEND_H

#include <arpa/inet.h>
#include <stdio.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "protocol/pg_frame.h"

/*
 * Fake backend server with fixed answers. Statements that it understands:
 *
 *   SET ..., BEGIN, COMMIT, ROLLBACK, INSERT ...  answered with their tag
 *   SELECT * FROM group_point()   one row: term 1, a position that grows
 *   SELECT conn                   the number of the connection
 *   SELECT rows N BYTES           N rows of BYTES bytes
 *   SELECT hang()                 no answer
 *   die ...                       the connection closes
 *   fail SQLSTATE                 an error
 */
#define FAKE_SECRET 4711u

typedef struct {
	struct evconnlistener *listener;
	uint16_t port;
	gint connections; /* accepted so far; atomic */
	gint open;	  /* open now; atomic */
	gint refuse;	  /* whether logins are refused with 53300; atomic */
	guint64 position;
	GMutex lock;
	GPtrArray *statements; /* "CONNECTION TEXT" in order of arrival */
} fake_backend_t;

typedef struct {
	fake_backend_t *backend;
	struct bufferevent *bev;
	int number;
	char status;
	bool started;
	bool skips_until_sync;
	char *parsed; /* text of the last Parse */
} fake_session_t;

static void fake_log(fake_session_t *session, const char *sql)
{
	g_mutex_lock(&session->backend->lock);
	g_ptr_array_add(session->backend->statements,
			g_strdup_printf("%d %s", session->number, sql));
	g_mutex_unlock(&session->backend->lock);
}

/* Returns the statements received so far, joined by newlines. */
static G_GNUC_UNUSED char *fake_statements(fake_backend_t *backend)
{
	GString *text = g_string_new("");
	guint i;

	g_mutex_lock(&backend->lock);
	for (i = 0; i < backend->statements->len; i++)
		g_string_append_printf(
			text, "%s\n",
			(char *)g_ptr_array_index(backend->statements, i));
	g_mutex_unlock(&backend->lock);
	return g_string_free(text, FALSE);
}

static void fake_free(fake_session_t *session)
{
	g_atomic_int_add(&session->backend->open, -1);
	bufferevent_free(session->bev);
	g_free(session->parsed);
	g_free(session);
}

static void fake_rows(GByteArray *out, const char *sql)
{
	unsigned rows = 0;
	unsigned size = 0;
	g_autofree char *value = NULL;
	const char *shown = NULL;
	unsigned i;

	sscanf(sql, "SELECT rows %u %u", &rows, &size);
	value = g_strnfill(size, 'x');
	shown = value;
	for (i = 0; i < rows; i++)
		pg_write_row(out, &shown, 1);
	pg_write_text(out, 'C', "SELECT");
}

static void fake_select(fake_session_t *session, const char *sql,
			GByteArray *out)
{
	g_autofree char *number = g_strdup_printf("%d", session->number);
	g_autofree char *position = g_strdup_printf(
		"%" G_GUINT64_FORMAT, ++session->backend->position);
	const char *const point[] = {"1", position};
	const char *const conn = number;

	if (strstr(sql, "group_point"))
		pg_write_row(out, point, 2);
	else if (strstr(sql, "conn"))
		pg_write_row(out, &conn, 1);
	pg_write_text(out, 'C', "SELECT 1");
}

static void fake_error(fake_session_t *session, const char *sqlstate,
		       GByteArray *out)
{
	pg_write_error(out, "ERROR", sqlstate, "requested error", NULL);
	if (session->status == 'T')
		session->status = 'E';
	session->skips_until_sync = true;
}

/* @return false if the statement gets no answer */
static bool fake_run(fake_session_t *session, const char *sql, GByteArray *out)
{
	const bool ends = !strcmp(sql, "COMMIT") || !strcmp(sql, "ROLLBACK");

	fake_log(session, sql);
	if (strstr(sql, "hang"))
		return false;
	if (session->status == 'E' && !ends) {
		fake_error(session, "25P02", out);
	} else if (g_str_has_prefix(sql, "fail ")) {
		fake_error(session, sql + strlen("fail "), out);
	} else if (g_str_has_prefix(sql, "SELECT rows")) {
		fake_rows(out, sql);
	} else if (g_str_has_prefix(sql, "SELECT")) {
		fake_select(session, sql, out);
	} else if (!strcmp(sql, "BEGIN")) {
		session->status = 'T';
		pg_write_text(out, 'C', "BEGIN");
	} else if (ends) {
		pg_write_text(out, 'C',
			      session->status == 'E' ? "ROLLBACK" : sql);
		session->status = 'I';
	} else {
		pg_write_text(out, 'C', "INSERT 0 1");
	}
	return true;
}

static void fake_extended(fake_session_t *session, const pg_message_t *message,
			  GByteArray *out)
{
	const char *const name = "conn";
	pg_reader_t reader = pg_reader(message);

	switch (message->type) {
	case 'P':
		pg_read_string(&reader);
		g_free(session->parsed);
		session->parsed = g_strdup(pg_read_string(&reader));
		pg_write_empty(out, '1');
		return;
	case 'B':
		pg_write_empty(out, '2');
		return;
	case 'C':
		pg_write_empty(out, '3');
		return;
	case 'D':
		if (strstr(session->parsed, "conn"))
			pg_write_columns(out, &name, 1);
		else
			pg_write_empty(out, 'n');
		return;
	case 'E':
		fake_run(session, session->parsed, out);
		return;
	default:
		return;
	}
}

static void fake_message(fake_session_t *session, const pg_message_t *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	const char *const name = "conn";
	const char *sql = (const char *)message->body;

	if (message->type == 'Q') {
		if (g_str_has_prefix(sql, "SELECT") && session->status != 'E' &&
		    !strstr(sql, "hang"))
			pg_write_columns(out, &name, 1);
		if (fake_run(session, sql, out))
			pg_write_ready(out, session->status);
		session->skips_until_sync = false;
	} else if (message->type == 'S') {
		session->skips_until_sync = false;
		pg_write_ready(out, session->status);
	} else if (!session->skips_until_sync) {
		fake_extended(session, message, out);
	}
	bufferevent_write(session->bev, out->data, out->len);
}

/* Logs a CancelRequest and closes the connection. @return whether it was one */
static bool fake_cancel(fake_session_t *session, const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);
	g_autofree char *text = NULL;

	if (pg_read_u32(&reader) != PG_CODE_CANCEL)
		return false;
	text = g_strdup_printf("cancel %u", pg_read_u32(&reader));
	if (pg_read_u32(&reader) == FAKE_SECRET)
		fake_log(session, text);
	fake_free(session);
	return true;
}

static void fake_startup(fake_session_t *session)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	size_t mark;

	session->started = true;
	if (g_atomic_int_get(&session->backend->refuse)) {
		pg_write_error(out, "FATAL", "53300", "full", NULL);
	} else {
		pg_write_authentication(out, 0, NULL, 0);
		mark = pg_write_begin(out, 'K');
		pg_write_u32(out, (uint32_t)session->number);
		pg_write_u32(out, FAKE_SECRET);
		pg_write_end(out, mark);
		pg_write_ready(out, 'I');
	}
	bufferevent_write(session->bev, out->data, out->len);
}

static void fake_on_read(struct bufferevent *bev, void *context)
{
	fake_session_t *session = context;
	struct evbuffer *input = bufferevent_get_input(bev);

	for (;;) {
		const size_t size = evbuffer_get_length(input);
		const uint8_t *bytes = evbuffer_pullup(input, -1);
		pg_message_t message = {0};
		const pg_frame_result_t result =
			session->started ?
				pg_frame_next(bytes, size, SIZE_MAX, &message) :
				pg_frame_startup(bytes, size, &message);

		if (!size || result != PG_FRAME_READY)
			return;
		if (!session->started) {
			if (fake_cancel(session, &message))
				return;
			fake_startup(session);
		} else if (message.type == 'Q' &&
			   g_str_has_prefix((const char *)message.body,
					    "die")) {
			fake_log(session, (const char *)message.body);
			fake_free(session);
			return;
		} else {
			fake_message(session, &message);
		}
		evbuffer_drain(input, message.size_bytes);
	}
}

static void fake_on_event(struct bufferevent *bev, short what, void *context)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		fake_free(context);
}

static void fake_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
			   struct sockaddr *address, int size, void *context)
{
	fake_session_t *session = g_new0(fake_session_t, 1);

	session->backend = context;
	session->number =
		g_atomic_int_add(&session->backend->connections, 1) + 1;
	g_atomic_int_inc(&session->backend->open);
	session->status = 'I';
	session->bev = bufferevent_socket_new(evconnlistener_get_base(listener),
					      fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(session->bev, fake_on_read, NULL, fake_on_event,
			  session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
}

static fake_backend_t *fake_backend_create(struct event_base *base)
{
	fake_backend_t *backend = g_new0(fake_backend_t, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);

	g_mutex_init(&backend->lock);
	backend->statements = g_ptr_array_new_with_free_func(g_free);
	backend->listener = evconnlistener_new_bind(
		base, fake_on_accept, backend, LEV_OPT_CLOSE_ON_FREE, 128,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(backend->listener),
		    (struct sockaddr *)&address, &size);
	backend->port = ntohs(address.sin_port);
	return backend;
}

static void fake_backend_destroy(fake_backend_t *backend)
{
	evconnlistener_free(backend->listener);
	g_ptr_array_unref(backend->statements);
	g_mutex_clear(&backend->lock);
	g_free(backend);
}

#endif

#include "standin/backend/session.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/clock.h"
#include "standin/backend/session_state.h"
#include "standin/backend/stream.h"

#define STARTUP_SIZE_BYTES_MAX 16384u
#define SSL_REQUEST_CODE 80877103u
#define GSS_REQUEST_CODE 80877104u
#define CANCEL_REQUEST_CODE 80877102u
#define PROTOCOL_MAJOR 3u

/* Sends a FATAL error and closes the connection once it is sent. */
static bool session_fatal(session_t *session, const char *sqlstate,
			  const char *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	wire_error(out, "FATAL", sqlstate, message);
	session_send(session, out);
	session->closing = true;
	return true;
}

static void add_parameter(GByteArray *out, const char *name, const char *value)
{
	guint start = wire_begin(out, 'S');

	wire_string(out, name);
	wire_string(out, value);
	wire_end(out, start);
}

static void session_finish_startup(session_t *session)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	guint start = wire_begin(out, 'R');

	wire_int32(out, 0);
	wire_end(out, start);
	add_parameter(out, "server_version", "15.0");
	add_parameter(out, "server_encoding", "UTF8");
	add_parameter(out, "client_encoding", "UTF8");
	add_parameter(out, "DateStyle", "ISO, MDY");
	add_parameter(out, "TimeZone", "UTC");
	add_parameter(out, "integer_datetimes", "on");
	add_parameter(out, "standard_conforming_strings", "on");
	start = wire_begin(out, 'K');
	wire_int32(out, session->pid);
	wire_int32(out, session->secret);
	wire_end(out, start);
	session_add_ready(session, out);
	session_send(session, out);
	session->started = true;
}

static void count_connection(session_t *session)
{
	server_counts_t *counts = &session->server->counts;

	session->counted = true;
	counts->connections_accepted++;
	counts->connections_open++;
	counts->connections_highest =
		MAX(counts->connections_highest, counts->connections_open);
}

static bool session_admit(session_t *session)
{
	server_t *server = session->server;

	if (server->leaving) {
		server->counts.connections_refused++;
		return session_fatal(session, "57P03",
				     "the database server is leaving");
	}
	if (server->counts.connections_open >= server->connections_max) {
		server->counts.connections_refused++;
		return session_fatal(session, "53300",
				     "too many connections already");
	}
	count_connection(session);
	if (server->open_delay_ms)
		session_wait(session, server->open_delay_ms);
	else
		session_finish_startup(session);
	return true;
}

static void cancel_other(const session_t *session, uint32_t pid,
			 uint32_t secret)
{
	const GPtrArray *sessions = session->server->sessions;

	for (guint i = 0; i < sessions->len; i++) {
		session_t *other = sessions->pdata[i];

		if (other->pid != pid || other->secret != secret)
			continue;
		other->cancelled = other->started && other->waiting;
		session_wake(other);
	}
}

/* Hands the connection of a replica over to a follower; the session ends. */
static bool session_replicate(session_t *session, const char *term_ends)
{
	struct bufferevent *bev = session->bev;
	server_t *server = session->server;

	if (!server->engine.primary)
		return session_fatal(session, "25006", "not the primary");
	session->bev = NULL;
	follower_start(server, bev, term_ends);
	return false;
}

static bool handle_startup(session_t *session, wire_reader_t *reader)
{
	uint32_t code = wire_read_int32(reader);
	const char *name;

	if (code == SSL_REQUEST_CODE || code == GSS_REQUEST_CODE) {
		bufferevent_write(session->bev, "N", 1);
		return true;
	}
	if (code == CANCEL_REQUEST_CODE) {
		uint32_t pid = wire_read_int32(reader);

		cancel_other(session, pid, wire_read_int32(reader));
		return false;
	}
	if (code >> 16 != PROTOCOL_MAJOR)
		return session_fatal(session, "08P01", "unknown protocol");
	while (*(name = wire_read_string(reader))) {
		const char *value = wire_read_string(reader);

		if (!strcmp(name, "replication"))
			return session_replicate(session, value);
	}
	if (reader->failed)
		return session_fatal(session, "08P01", "malformed start-up");
	return session_admit(session);
}

/* Runs the next statement of a Query. @return false if it waits */
static bool query_run_next(session_t *session, const sql_script_t *script,
			   GByteArray *out, bool *failed)
{
	const sql_statement_t *statement =
		script->statements->pdata[session->statement_index];
	bool last = session->statement_index + 1 == script->statements->len;
	g_autoptr(GByteArray) rows = g_byte_array_new();
	execute_answer_t answer = {.rows = rows};
	execute_result_t result;

	if (!session_run(session, statement, NULL, &answer, &result))
		return false;
	if (result == EXECUTE_DONE && last)
		result = session_commit(session, &answer);
	*failed = result == EXECUTE_ERROR;
	if (*failed) {
		session_add_answer_error(session, out, &answer);
		return true;
	}
	if (statement->columns_count)
		wire_columns(out, statement->columns, statement->columns_count);
	g_byte_array_append(out, rows->data, rows->len);
	wire_complete(out, answer.tag);
	session->statement_index++;
	return true;
}

static bool handle_query(session_t *session, wire_reader_t *reader)
{
	sql_script_t *script =
		server_script(session->server, wire_read_string(reader));
	g_autoptr(GByteArray) out = g_byte_array_new();
	uint64_t commits = session->server->counts.commits;
	bool failed = script->error || script->parameters_count;

	if (failed)
		session_add_error(session, out, "42601",
				  script->error ?: "there is no parameter");
	else if (!script->statements->len)
		wire_empty(out, 'I');
	while (!failed && !session->waiting &&
	       session->statement_index < script->statements->len)
		query_run_next(session, script, out, &failed);
	sql_script_unref(script);
	if (session_drops_answer(session, commits))
		return false;
	if (!session->waiting) {
		session->statement_index = 0;
		session_add_ready(session, out);
	}
	session_send(session, out);
	return true;
}

static bool handle_message(session_t *session, char type, wire_reader_t *reader)
{
	if (type == 'X')
		return false;
	if (type == 'S')
		return extended_handle(session, type, reader);
	if (session->skipping_to_sync || type == 'H')
		return true;
	switch (type) {
	case 'Q':
		return handle_query(session, reader);
	case 'P':
	case 'B':
	case 'D':
	case 'E':
	case 'C':
		return extended_handle(session, type, reader);
	default:
		return session_fatal(session, "08P01", "unknown message");
	}
}

/*
 * Handles the next message, if all of it has arrived. A message whose statement
 * waits stays in the input and is handled again after the wait.
 *
 * @param type_size_bytes size of the message's type byte: 1, or 0 if the
 * message is the start-up message, which has none
 * @param length_max maximum length of the message
 * @param has_more whether further messages may be handled
 * @return false if the session must end
 */
static bool session_handle_next(session_t *session, struct evbuffer *input,
				size_t type_size_bytes, size_t length_max,
				bool *has_more)
{
	size_t available_bytes = evbuffer_get_length(input);
	uint8_t header[5];
	uint32_t length;
	bool keep_open;

	*has_more = false;
	if (available_bytes < type_size_bytes + 4)
		return true;
	evbuffer_copyout(input, header, type_size_bytes + 4);
	memcpy(&length, header + type_size_bytes, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length < 4 || length > length_max)
		return session_fatal(session, "08P01", "malformed message");
	if (available_bytes < type_size_bytes + length)
		return true;
	wire_reader_t reader = {
		.bytes = evbuffer_pullup(input, (ev_ssize_t)(type_size_bytes +
							     length)) +
			 type_size_bytes + 4,
		.size_bytes = length - 4,
	};
	keep_open = session->started ?
			    handle_message(session, (char)header[0], &reader) :
			    handle_startup(session, &reader);
	*has_more = keep_open && !session->waiting;
	if (keep_open && (!session->waiting || !session->started)) {
		session->server->counts.bytes_in += type_size_bytes + length;
		evbuffer_drain(input, type_size_bytes + length);
	}
	return keep_open;
}

static bool session_process(session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);
	bool keep_open = true;
	bool has_more = true;

	while (keep_open && has_more && !session->waiting && !session->closing)
		keep_open = session_handle_next(
			session, input, session->started ? 1 : 0,
			session->started ? WIRE_MESSAGE_SIZE_BYTES_MAX :
					   STARTUP_SIZE_BYTES_MAX,
			&has_more);
	return keep_open;
}

static void on_read(struct bufferevent *bev, void *context)
{
	if (!session_process(context))
		session_destroy(context);
}

static void on_written(struct bufferevent *bev, void *context)
{
	const session_t *session = context;

	if (session->closing)
		session_destroy(context);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	session_destroy(context);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	session_t *session = context;

	session->waiting = false;
	if (!session->started && !session->closing)
		session_finish_startup(session);
	if (!session_process(session))
		session_destroy(session);
}

session_t *session_create(server_t *server, evutil_socket_t fd)
{
	session_t *session = g_new0(session_t, 1);

	session->server = server;
	session->bev =
		bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	session->timer = event_new(server->base, -1, 0, on_timer, session);
	session->pid = ++server->last_pid;
	/* A multiplicative hash, so that a seed reproduces the cancel keys. */
	session->secret = (session->pid ^ server->seed) * 2654435761u;
	session->prepared = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, extended_prepared_delete);
	session->portals = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, extended_portal_delete);
	transaction_open(&session->transaction);
	bufferevent_setcb(session->bev, on_read, on_written, on_event, session);
	bufferevent_enable(session->bev, EV_READ | EV_WRITE);
	g_ptr_array_add(server->sessions, session);
	return session;
}

void session_destroy(session_t *session)
{
	server_t *server = session->server;

	g_ptr_array_remove_fast(server->sessions, session);
	transaction_close(server, &session->transaction);
	if (session->counted)
		server->counts.connections_open--;
	event_free(session->timer);
	g_hash_table_unref(session->portals);
	g_hash_table_unref(session->prepared);
	if (session->bev)
		bufferevent_free(session->bev);
	g_free(session);
}

void session_wake(session_t *session)
{
	if (session->started && session->waiting)
		event_active(session->timer, EV_TIMEOUT, 0);
}

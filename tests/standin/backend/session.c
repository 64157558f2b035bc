#include "standin/backend/session.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/clock.h"
#include "standin/backend/execute.h"
#include "standin/backend/stream.h"
#include "standin/backend/wire.h"

#define STARTUP_SIZE_BYTES_MAX 16384u
#define SSL_REQUEST_CODE 80877103u
#define GSS_REQUEST_CODE 80877104u
#define CANCEL_REQUEST_CODE 80877102u
#define PROTOCOL_MAJOR 3u
#define WAIT_POLL_MS 5u
#define PARAMETERS_MAX 1024u

typedef struct {
	sql_script_t *script;
} prepared_t;

typedef struct {
	sql_script_t *script;
	char **parameters; /**< NULL for an SQL null */
	uint32_t parameters_count;
} portal_t;

struct session {
	server_t *server;
	struct bufferevent *bev;
	struct event *timer;
	transaction_t transaction;
	GHashTable *prepared; /**< of prepared_t by name */
	GHashTable *portals;  /**< of portal_t by name */
	uint32_t pid;
	uint32_t secret;
	uint32_t statement_index; /**< next of the Query that waits */
	bool counted;		  /**< holds one of the connections */
	bool started;
	bool waiting; /**< the timer goes on with the same message */
	bool cancelled;
	bool skipping; /**< an error drops messages until Sync */
	bool closing;  /**< once all is sent */
};

static bool session_process(session_t *session);

static void prepared_delete(void *data)
{
	prepared_t *prepared = data;

	sql_script_unref(prepared->script);
	g_free(prepared);
}

static void portal_delete(void *data)
{
	portal_t *portal = data;

	for (uint32_t i = 0; i < portal->parameters_count; i++)
		g_free(portal->parameters[i]);
	g_free(portal->parameters);
	sql_script_unref(portal->script);
	g_free(portal);
}

static void session_send(session_t *session, GByteArray *out)
{
	session->server->counts.bytes_out += out->len;
	bufferevent_write(session->bev, out->data, out->len);
}

static void session_wait(session_t *session, uint32_t delay_ms)
{
	struct timeval wait = {.tv_sec = delay_ms / 1000,
			       .tv_usec = delay_ms % 1000 * 1000};

	session->waiting = true;
	event_add(session->timer, &wait);
}

/* Refuses the connection as a whole. */
static bool session_fatal(session_t *session, const char *sqlstate,
			  const char *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	wire_error(out, "FATAL", sqlstate, message);
	session_send(session, out);
	session->closing = true;
	return true;
}

static void add_ready(const session_t *session, GByteArray *out)
{
	guint start = wire_begin(out, 'Z');

	wire_byte(out, session->transaction.status);
	wire_end(out, start);
}

/* An error ends an implicit transaction and spoils an explicit one. */
static void add_failure(session_t *session, GByteArray *out,
			const execute_answer_t *answer)
{
	wire_error(out, "ERROR", answer->sqlstate, answer->message);
	if (session->transaction.status == 'I')
		transaction_rollback(session->server, &session->transaction);
	else
		session->transaction.status = 'E';
}

static void add_refusal(session_t *session, GByteArray *out,
			const char *sqlstate, const char *message)
{
	execute_answer_t answer = {0};

	g_strlcpy(answer.sqlstate, sqlstate, sizeof(answer.sqlstate));
	g_strlcpy(answer.message, message, sizeof(answer.message));
	add_failure(session, out, &answer);
}

static void add_parameter(GByteArray *out, const char *name, const char *value)
{
	guint start = wire_begin(out, 'S');

	wire_string(out, name);
	wire_string(out, value);
	wire_end(out, start);
}

static void session_welcome(session_t *session)
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
	add_ready(session, out);
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
		session_welcome(session);
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

/* A replica asks for the log; its connection no longer is a session. */
static bool session_replicate(session_t *session, const char *outline)
{
	struct bufferevent *bev = session->bev;
	server_t *server = session->server;

	if (!server->engine.primary)
		return session_fatal(session, "25006", "not the primary");
	session->bev = NULL;
	follower_start(server, bev, outline);
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

static bool run(session_t *session, const sql_statement_t *statement,
		char *const *parameters, execute_answer_t *answer,
		execute_result_t *result)
{
	server_t *server = session->server;

	if (session->cancelled) {
		session->cancelled = false;
		g_strlcpy(answer->sqlstate, "57014", sizeof(answer->sqlstate));
		g_strlcpy(answer->message, "cancelled on user request",
			  sizeof(answer->message));
		session->transaction.sleep_until_ms = 0;
		session->transaction.lock_until_ms = 0;
		*result = EXECUTE_ERROR;
		return true;
	}
	*result = execute_statement(server, &session->transaction, statement,
				    parameters, answer);
	if (*result == EXECUTE_WAIT)
		session_wait(session, WAIT_POLL_MS);
	else
		server->counts.statements++;
	return *result != EXECUTE_WAIT;
}

/* A commit that took effect, but whose answer the test wants lost. */
static bool answer_is_lost(session_t *session, uint64_t commits_before)
{
	server_t *server = session->server;

	if (!server->drop_answers || server->counts.commits == commits_before)
		return false;
	server->drop_answers--;
	return true;
}

static execute_result_t run_last(session_t *session, execute_answer_t *answer)
{
	if (session->transaction.status != 'I')
		return EXECUTE_DONE;
	return transaction_commit(session->server, &session->transaction,
				  answer);
}

/* Runs the statement at the index. @return false when it waits */
static bool query_step(session_t *session, const sql_script_t *script,
		       GByteArray *out, bool *failed)
{
	const sql_statement_t *statement =
		script->statements->pdata[session->statement_index];
	bool last = session->statement_index + 1 == script->statements->len;
	g_autoptr(GByteArray) rows = g_byte_array_new();
	execute_answer_t answer = {.rows = rows};
	execute_result_t result;

	if (!run(session, statement, NULL, &answer, &result))
		return false;
	if (result == EXECUTE_DONE && last)
		result = run_last(session, &answer);
	*failed = result == EXECUTE_ERROR;
	if (*failed) {
		add_failure(session, out, &answer);
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
		add_refusal(session, out, "42601",
			    script->error ?: "there is no parameter");
	else if (!script->statements->len)
		wire_empty(out, 'I');
	while (!failed && !session->waiting &&
	       session->statement_index < script->statements->len)
		query_step(session, script, out, &failed);
	sql_script_unref(script);
	if (answer_is_lost(session, commits))
		return false;
	if (!session->waiting) {
		session->statement_index = 0;
		add_ready(session, out);
	}
	session_send(session, out);
	return true;
}

static void extended_failure(session_t *session, const char *sqlstate,
			     const char *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	add_refusal(session, out, sqlstate, message);
	session_send(session, out);
	session->skipping = true;
}

static void send_empty(session_t *session, char type)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	wire_empty(out, type);
	session_send(session, out);
}

static void handle_parse(session_t *session, wire_reader_t *reader)
{
	const char *name = wire_read_string(reader);
	sql_script_t *script =
		server_script(session->server, wire_read_string(reader));
	prepared_t *prepared;

	if (reader->failed || script->error || script->statements->len > 1) {
		extended_failure(session, "42601",
				 script->error ?: "one statement expected");
		sql_script_unref(script);
		return;
	}
	prepared = g_new0(prepared_t, 1);
	prepared->script = script;
	g_hash_table_replace(session->prepared, g_strdup(name), prepared);
	send_empty(session, '1');
}

static bool read_parameters(portal_t *portal, wire_reader_t *reader)
{
	uint16_t formats = wire_read_int16(reader);
	uint16_t count;

	wire_read_bytes(reader, 2 * (size_t)formats);
	count = wire_read_int16(reader);
	if (reader->failed || count > PARAMETERS_MAX)
		return false;
	portal->parameters = g_new0(char *, count + 1);
	portal->parameters_count = count;
	for (uint16_t i = 0; i < count; i++) {
		uint32_t size_bytes = wire_read_int32(reader);
		const uint8_t *bytes;

		if (size_bytes == UINT32_MAX)
			continue;
		bytes = wire_read_bytes(reader, size_bytes);
		if (!bytes)
			return false;
		portal->parameters[i] =
			g_strndup((const char *)bytes, size_bytes);
	}
	return !reader->failed;
}

static void handle_bind(session_t *session, wire_reader_t *reader)
{
	const char *name = wire_read_string(reader);
	const char *statement = wire_read_string(reader);
	const prepared_t *prepared =
		g_hash_table_lookup(session->prepared, statement);
	portal_t *portal;

	if (!prepared) {
		extended_failure(session, "26000",
				 "prepared statement does not exist");
		return;
	}
	portal = g_new0(portal_t, 1);
	portal->script = sql_script_ref(prepared->script);
	if (!read_parameters(portal, reader) ||
	    portal->parameters_count < portal->script->parameters_count) {
		portal_delete(portal);
		extended_failure(session, "08P01", "malformed Bind");
		return;
	}
	g_hash_table_replace(session->portals, g_strdup(name), portal);
	send_empty(session, '2');
}

static const sql_script_t *find_script(const session_t *session, char what,
				       const char *name)
{
	const prepared_t *prepared;
	const portal_t *portal;

	if (what == 'S') {
		prepared = g_hash_table_lookup(session->prepared, name);
		return prepared ? prepared->script : NULL;
	}
	portal = g_hash_table_lookup(session->portals, name);
	return portal ? portal->script : NULL;
}

static void handle_describe(session_t *session, wire_reader_t *reader)
{
	const uint8_t *what = wire_read_bytes(reader, 1);
	const char *name = wire_read_string(reader);
	const sql_script_t *script =
		what ? find_script(session, (char)*what, name) : NULL;
	g_autoptr(GByteArray) out = g_byte_array_new();
	const sql_statement_t *statement;

	if (!script) {
		extended_failure(session, "26000", "nothing to describe");
		return;
	}
	if (*what == 'S') {
		guint start = wire_begin(out, 't');

		wire_int16(out, (uint16_t)script->parameters_count);
		for (uint32_t i = 0; i < script->parameters_count; i++)
			wire_int32(out, 25);
		wire_end(out, start);
	}
	statement =
		script->statements->len ? script->statements->pdata[0] : NULL;
	if (statement && statement->columns_count)
		wire_columns(out, statement->columns, statement->columns_count);
	else
		wire_empty(out, 'n');
	session_send(session, out);
}

static bool handle_execute(session_t *session, wire_reader_t *reader)
{
	const char *name = wire_read_string(reader);
	const portal_t *portal = g_hash_table_lookup(session->portals, name);
	g_autoptr(GByteArray) rows = g_byte_array_new();
	execute_answer_t answer = {.rows = rows};
	execute_result_t result;
	uint64_t commits = session->server->counts.commits;

	if (!portal) {
		extended_failure(session, "34000", "portal does not exist");
		return true;
	}
	if (!portal->script->statements->len) {
		send_empty(session, 'I');
		return true;
	}
	if (!run(session, portal->script->statements->pdata[0],
		 portal->parameters, &answer, &result))
		return true;
	if (answer_is_lost(session, commits))
		return false;
	if (result == EXECUTE_ERROR) {
		extended_failure(session, answer.sqlstate, answer.message);
		return true;
	}
	wire_complete(rows, answer.tag);
	session_send(session, rows);
	return true;
}

static void handle_close(session_t *session, wire_reader_t *reader)
{
	const uint8_t *what = wire_read_bytes(reader, 1);
	const char *name = wire_read_string(reader);

	if (what && *what == 'S')
		g_hash_table_remove(session->prepared, name);
	else
		g_hash_table_remove(session->portals, name);
	send_empty(session, '3');
}

static bool handle_sync(session_t *session)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	execute_answer_t answer = {0};
	uint64_t commits = session->server->counts.commits;

	session->skipping = false;
	g_hash_table_remove_all(session->portals);
	if (run_last(session, &answer) != EXECUTE_DONE)
		add_failure(session, out, &answer);
	if (answer_is_lost(session, commits))
		return false;
	add_ready(session, out);
	session_send(session, out);
	return true;
}

static bool handle_message(session_t *session, char type, wire_reader_t *reader)
{
	if (type == 'X')
		return false;
	if (type == 'S')
		return handle_sync(session);
	if (session->skipping)
		return true;
	switch (type) {
	case 'Q':
		return handle_query(session, reader);
	case 'P':
		handle_parse(session, reader);
		return true;
	case 'B':
		handle_bind(session, reader);
		return true;
	case 'D':
		handle_describe(session, reader);
		return true;
	case 'E':
		return handle_execute(session, reader);
	case 'C':
		handle_close(session, reader);
		return true;
	case 'H':
		return true;
	default:
		return session_fatal(session, "08P01", "unknown message");
	}
}

/* Handles one whole message. @return false when the session shall end */
static bool session_step(session_t *session, struct evbuffer *input,
			 size_t head_bytes, size_t limit_bytes, bool *more)
{
	size_t held_bytes = evbuffer_get_length(input);
	uint8_t head[5];
	uint32_t length;
	bool alive;

	*more = false;
	if (held_bytes < head_bytes + 4)
		return true;
	evbuffer_copyout(input, head, head_bytes + 4);
	memcpy(&length, head + head_bytes, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length < 4 || length > limit_bytes)
		return session_fatal(session, "08P01", "malformed message");
	if (held_bytes < head_bytes + length)
		return true;
	wire_reader_t reader = {
		.bytes = evbuffer_pullup(input,
					 (ev_ssize_t)(head_bytes + length)) +
			 head_bytes + 4,
		.size_bytes = length - 4,
	};
	alive = session->started ?
			handle_message(session, (char)head[0], &reader) :
			handle_startup(session, &reader);
	*more = alive && !session->waiting;
	if (alive && (!session->waiting || !session->started)) {
		session->server->counts.bytes_in += head_bytes + length;
		evbuffer_drain(input, head_bytes + length);
	}
	return alive;
}

static bool session_process(session_t *session)
{
	struct evbuffer *input = bufferevent_get_input(session->bev);
	bool alive = true;
	bool more = true;

	while (alive && more && !session->waiting && !session->closing)
		alive = session_step(session, input, session->started ? 1 : 0,
				     session->started ?
					     WIRE_MESSAGE_SIZE_BYTES_MAX :
					     STARTUP_SIZE_BYTES_MAX,
				     &more);
	return alive;
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
		session_welcome(session);
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
	session->pid = ++server->next_session;
	session->secret = (session->pid ^ server->seed) * 2654435761u;
	session->prepared = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, prepared_delete);
	session->portals = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, portal_delete);
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

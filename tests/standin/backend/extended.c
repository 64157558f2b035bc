#include "standin/backend/session_state.h"

#include <string.h>

#define PARAMETERS_MAX 1024u

void extended_prepared_delete(void *data)
{
	prepared_t *prepared = data;

	sql_script_unref(prepared->script);
	g_free(prepared);
}

void extended_portal_delete(void *data)
{
	portal_t *portal = data;

	for (uint32_t i = 0; i < portal->parameters_count; i++)
		g_free(portal->parameters[i]);
	g_free(portal->parameters);
	sql_script_unref(portal->script);
	g_free(portal);
}

/* Sends an error and ignores the messages up to the next Sync. */
static void extended_send_error(session_t *session, const char *sqlstate,
				const char *message)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	session_add_error(session, out, sqlstate, message);
	session_send(session, out);
	session->skipping_to_sync = true;
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
		extended_send_error(session, "42601",
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
		extended_send_error(session, "26000",
				    "prepared statement does not exist");
		return;
	}
	portal = g_new0(portal_t, 1);
	portal->script = sql_script_ref(prepared->script);
	if (!read_parameters(portal, reader) ||
	    portal->parameters_count < portal->script->parameters_count) {
		extended_portal_delete(portal);
		extended_send_error(session, "08P01", "malformed Bind");
		return;
	}
	g_hash_table_replace(session->portals, g_strdup(name), portal);
	send_empty(session, '2');
}

static const sql_script_t *find_script(const session_t *session,
				       char target_kind, const char *name)
{
	const prepared_t *prepared;
	const portal_t *portal;

	if (target_kind == 'S') {
		prepared = g_hash_table_lookup(session->prepared, name);
		return prepared ? prepared->script : NULL;
	}
	portal = g_hash_table_lookup(session->portals, name);
	return portal ? portal->script : NULL;
}

static void handle_describe(session_t *session, wire_reader_t *reader)
{
	const uint8_t *target_kind = wire_read_bytes(reader, 1);
	const char *name = wire_read_string(reader);
	const sql_script_t *script =
		target_kind ? find_script(session, (char)*target_kind, name) :
			      NULL;
	g_autoptr(GByteArray) out = g_byte_array_new();
	const sql_statement_t *statement;

	if (!script) {
		extended_send_error(session, "26000", "nothing to describe");
		return;
	}
	if (*target_kind == 'S') {
		guint start = wire_begin(out, 't');

		wire_int16(out, (uint16_t)script->parameters_count);
		for (uint32_t i = 0; i < script->parameters_count; i++)
			wire_int32(out, 25); /* the object id of text */
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
		extended_send_error(session, "34000", "portal does not exist");
		return true;
	}
	if (!portal->script->statements->len) {
		send_empty(session, 'I');
		return true;
	}
	if (!session_run(session, portal->script->statements->pdata[0],
			 portal->parameters, &answer, &result))
		return true;
	if (session_drops_answer(session, commits))
		return false;
	if (result == EXECUTE_ERROR) {
		extended_send_error(session, answer.sqlstate, answer.message);
		return true;
	}
	wire_complete(rows, answer.tag);
	session_send(session, rows);
	return true;
}

static void handle_close(session_t *session, wire_reader_t *reader)
{
	const uint8_t *target_kind = wire_read_bytes(reader, 1);
	const char *name = wire_read_string(reader);

	if (target_kind && *target_kind == 'S')
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

	session->skipping_to_sync = false;
	g_hash_table_remove_all(session->portals);
	if (session_commit(session, &answer) != EXECUTE_DONE)
		session_add_answer_error(session, out, &answer);
	if (session_drops_answer(session, commits))
		return false;
	session_add_ready(session, out);
	session_send(session, out);
	return true;
}

bool extended_handle(session_t *session, char type, wire_reader_t *reader)
{
	switch (type) {
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
	default:
		return handle_sync(session);
	}
}

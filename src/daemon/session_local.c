#include "daemon/session_local.h"

#include <string.h>

#include "daemon/session_request.h"
#include "protocol/pg_frame.h"

#define TYPE_BIND_COMPLETE '2'
#define TYPE_CLOSE_COMPLETE '3'
#define TYPE_NO_DATA 'n'
#define TYPE_PARSE_COMPLETE '1'

static void write_command_complete(GByteArray *out, const char *tag)
{
	pg_write_text(out, 'C', tag);
}

static bool write_error(session_t *session, GByteArray *out,
			const GError *error)
{
	pg_write_error(out, "ERROR", session_settings_sqlstate(error),
		       error->message, NULL);
	return false;
}

static void report_token(session_t *session, GByteArray *out)
{
	g_autofree char *token = session_token_format(session->settings->token);

	pg_write_parameter(out, SESSION_SETTINGS_TOKEN, token);
}

static bool is_token(const statement_t *statement)
{
	return statement->name &&
	       !strcmp(statement->name, SESSION_SETTINGS_TOKEN);
}

static bool execute_set(session_t *session, const statement_t *statement,
			GByteArray *out)
{
	g_autoptr(GError) error = NULL;

	if (!session_settings_set(session->settings, statement->name,
				  statement->value, &error))
		return write_error(session, out, error);
	if (is_token(statement))
		report_token(session, out);
	write_command_complete(out, "SET");
	return true;
}

static bool execute_reset(session_t *session, const statement_t *statement,
			  GByteArray *out)
{
	g_autoptr(GError) error = NULL;

	if (!session_settings_reset(session->settings, statement->name, &error))
		return write_error(session, out, error);
	if (is_token(statement))
		report_token(session, out);
	write_command_complete(out, "RESET");
	return true;
}

static bool execute_show(session_t *session, const statement_t *statement,
			 bool describe, GByteArray *out)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *value = session_settings_show(session->settings,
						       statement->name, &error);
	const char *const name = statement->name;
	const char *const shown = value;

	if (!value)
		return write_error(session, out, error);
	if (describe)
		pg_write_columns(out, &name, 1);
	pg_write_row(out, &shown, 1);
	write_command_complete(out, "SHOW");
	return true;
}

bool session_local_execute(session_t *session, const statement_t *statement,
			   bool describe, GByteArray *out)
{
	if (statement->statement_class == STATEMENT_SET)
		return execute_set(session, statement, out);
	if (statement->statement_class == STATEMENT_RESET)
		return execute_reset(session, statement, out);
	return execute_show(session, statement, describe, out);
}

static void describe(const batch_step_t *step, GByteArray *out)
{
	const statement_t *statement = step->statement;
	size_t mark;

	if (step->target == 'S') {
		mark = pg_write_begin(out, 't');
		pg_write_u16(out, 0);
		pg_write_end(out, mark);
	}
	if (statement && statement->statement_class == STATEMENT_SHOW) {
		const char *const name = statement->name;

		pg_write_columns(out, &name, 1);
		return;
	}
	pg_write_empty(out, TYPE_NO_DATA);
}

typedef bool (*execute_t)(session_t *session, const statement_t *statement,
			  GByteArray *out);

static void answer_batch(session_t *session, execute_t execute)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	const batch_step_t *steps = NULL;
	uint32_t steps_count = 0;
	uint32_t i;
	bool succeeded = true;

	steps = batch_steps(session->batch, &steps_count);
	for (i = 0; i < steps_count && succeeded; i++) {
		switch (steps[i].type) {
		case 'P':
			pg_write_empty(out, TYPE_PARSE_COMPLETE);
			break;
		case 'B':
			pg_write_empty(out, TYPE_BIND_COMPLETE);
			break;
		case 'C':
			pg_write_empty(out, TYPE_CLOSE_COMPLETE);
			break;
		case 'D':
			describe(&steps[i], out);
			break;
		default:
			succeeded = execute(session, steps[i].statement, out);
		}
	}
	session_write(session, out);
}

static bool execute_statement(session_t *session, const statement_t *statement,
			      GByteArray *out)
{
	return session_local_execute(session, statement, false, out);
}

void session_local_batch(session_t *session)
{
	answer_batch(session, execute_statement);
}

void session_local_rollback(session_t *session, GByteArray *out)
{
	session->status = 'I';
	g_clear_pointer(&session->settings->request_key, g_free);
	write_command_complete(out, "ROLLBACK");
}

static bool execute_rollback(session_t *session, const statement_t *statement,
			     GByteArray *out)
{
	session_local_rollback(session, out);
	return true;
}

void session_local_rollback_batch(session_t *session)
{
	answer_batch(session, execute_rollback);
}

/* Statements that the node answers itself. */
#include "relay/relay_session_private.h"

#include "base/clock.h"
#include "base/log.h"

/* Rejects a statement that no server has seen; an open transaction fails. */
void relay_session_refuse(relay_session_t *session, relay_error_t error,
			  const char *text)
{
	log_event(LOG_LEVEL_INFO, "statement_invalid",
		  "id=%s database=%s kind=%s outcome=%s reason=\"%s\"",
		  session->message.id, session->database_name,
		  command_kind_name(session->command.kind),
		  relay_error_name(error), text);
	if (session->transaction != TRANSACTION_NONE)
		session->transaction = TRANSACTION_FAILED;
	relay_session_answer_error(session, error, text);
}

static void begin(relay_session_t *session)
{
	session->transaction = TRANSACTION_BEGUN;
	session->began_ms = clock_boot_ms();
	session->read_only = session->command.kind == COMMAND_BEGIN_READ;
	session->begin_id = g_strdup(session->message.id);
	session->begin_text = g_strdup(session->message.text);
	relay_session_answer_complete(session);
}

static void set_value(relay_session_t *session)
{
	if (!session->values)
		session->values = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free);
	g_hash_table_insert(session->values, g_strdup(session->command.name),
			    g_strdup(session->command.value));
	relay_session_answer_complete(session);
}

static void prepared_free(gpointer data)
{
	relay_session_prepared_t *prepared = data;

	g_free(prepared->definition);
	g_free(prepared);
}

static void prepare(relay_session_t *session)
{
	relay_session_prepared_t *prepared =
		g_new0(relay_session_prepared_t, 1);

	if (!session->prepared)
		session->prepared = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, prepared_free);
	prepared->definition = g_strdup(session->command.value);
	prepared->writes = session->command.writes;
	g_hash_table_insert(session->prepared, g_strdup(session->command.name),
			    prepared);
	relay_session_answer_complete(session);
}

static void close_prepared(relay_session_t *session)
{
	if (session->prepared &&
	    g_hash_table_remove(session->prepared, session->command.name))
		relay_session_answer_complete(session);
	else
		relay_session_refuse(session, RELAY_ERROR_UNKNOWN_NAME,
				     "no such prepared statement");
}

/* Ends a failed transaction: both COMMIT and ROLLBACK roll it back. */
static void end_failed(relay_session_t *session)
{
	const bool commit = session->command.kind == COMMAND_COMMIT;

	relay_session_clear_transaction(session);
	if (commit)
		relay_session_answer_error(session, RELAY_ERROR_ABORTED,
					   "transaction failed, rolled back");
	else
		relay_session_answer_complete(session);
}

void relay_session_dispatch_failed(relay_session_t *session)
{
	switch (session->command.kind) {
	case COMMAND_COMMIT:
	case COMMAND_ROLLBACK:
		end_failed(session);
		break;
	default:
		relay_session_refuse(session, RELAY_ERROR_MALFORMED,
				     "transaction has failed, "
				     "statements are rejected until it ends");
	}
	relay_session_statement_done(session);
}

void relay_session_dispatch_local(relay_session_t *session)
{
	const bool in_transaction = session->transaction != TRANSACTION_NONE;

	switch (session->command.kind) {
	case COMMAND_BEGIN:
	case COMMAND_BEGIN_READ:
		if (in_transaction)
			relay_session_refuse(session, RELAY_ERROR_MALFORMED,
					     "transaction already open");
		else
			begin(session);
		break;
	case COMMAND_SET:
		set_value(session);
		break;
	case COMMAND_PREPARE:
		prepare(session);
		break;
	case COMMAND_CLOSE:
		close_prepared(session);
		break;
	case COMMAND_ROLLBACK:
		if (in_transaction) {
			relay_session_clear_transaction(session);
			relay_session_answer_complete(session);
		} else {
			relay_session_refuse(session, RELAY_ERROR_MALFORMED,
					     "no transaction is open");
		}
		break;
	default:
		relay_session_refuse(session, RELAY_ERROR_MALFORMED,
				     "unknown or incomplete statement");
	}
	relay_session_statement_done(session);
}

/* Statements that the node answers itself. */
#include "relay/relay_session_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Memory of a hash table's entry with its three allocations, about. */
#define ENTRY_OVERHEAD_BYTES 128

#define REFUSED_METRIC "toucanhook_session_memory_refused_total"

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

/* Memory that one name and its value take up, with the table's entry. */
static uint64_t entry_bytes(const char *name, const char *value)
{
	return value ? strlen(name) + strlen(value) + ENTRY_OVERHEAD_BYTES : 0;
}

/*
 * Asks the node's budget for the room that the command's value needs in place
 * of @p old, which may be NULL. Without it the statement is refused.
 */
static bool may_keep(relay_session_t *session, const char *old)
{
	const relay_session_host_t *host = session->host;
	const command_t *command = &session->command;
	g_autofree char *text = NULL;

	if (!host->memory ||
	    memory_budget_resize(host->memory, &session->kept_bytes,
				 entry_bytes(command->name, old),
				 entry_bytes(command->name, command->value)))
		return true;
	if (host->metrics)
		metric_add(metrics_counter(host->metrics, REFUSED_METRIC, ""),
			   1);
	text = g_strdup_printf(
		"not run: the session keeps %" PRIu64 " bytes, and %" PRIu64
		" more are left to it",
		session->kept_bytes,
		memory_budget_room(host->memory, session->kept_bytes));
	relay_session_refuse(session,
			     session->transaction == TRANSACTION_NONE ?
				     RELAY_ERROR_OVERLOADED :
				     RELAY_ERROR_ABORTED,
			     text);
	return false;
}

static void give_back(relay_session_t *session, const char *old)
{
	if (session->host->memory)
		memory_budget_resize(
			session->host->memory, &session->kept_bytes,
			entry_bytes(session->command.name, old), 0);
}

static void set_value(relay_session_t *session)
{
	const char *old = session->values ?
				  g_hash_table_lookup(session->values,
						      session->command.name) :
				  NULL;

	if (!may_keep(session, old))
		return;
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

static const char *definition_of(const relay_session_t *session)
{
	const relay_session_prepared_t *prepared =
		session->prepared ? g_hash_table_lookup(session->prepared,
							session->command.name) :
				    NULL;

	return prepared ? prepared->definition : NULL;
}

static void prepare(relay_session_t *session)
{
	relay_session_prepared_t *prepared;

	if (!may_keep(session, definition_of(session)))
		return;
	prepared = g_new0(relay_session_prepared_t, 1);
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
	const char *definition = definition_of(session);

	if (!definition) {
		relay_session_refuse(session, RELAY_ERROR_UNKNOWN_NAME,
				     "no such prepared statement");
		return;
	}
	give_back(session, definition);
	g_hash_table_remove(session->prepared, session->command.name);
	relay_session_answer_complete(session);
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

#include "standin/backend/session_state.h"

#include <event2/bufferevent.h>

/** Interval at which a waiting statement is tried again. */
#define WAIT_POLL_MS 5u

void session_send(session_t *session, GByteArray *out)
{
	session->server->counts.bytes_out += out->len;
	bufferevent_write(session->bev, out->data, out->len);
}

void session_wait(session_t *session, uint32_t delay_ms)
{
	struct timeval wait = {.tv_sec = delay_ms / 1000,
			       .tv_usec = delay_ms % 1000 * 1000};

	session->waiting = true;
	event_add(session->timer, &wait);
}

void session_add_ready(const session_t *session, GByteArray *out)
{
	guint start = wire_begin(out, 'Z');

	wire_byte(out, session->transaction.status);
	wire_end(out, start);
}

void session_add_answer_error(session_t *session, GByteArray *out,
			      const execute_answer_t *answer)
{
	wire_error(out, "ERROR", answer->sqlstate, answer->message);
	if (session->transaction.status == 'I')
		transaction_rollback(session->server, &session->transaction);
	else
		session->transaction.status = 'E';
}

void session_add_error(session_t *session, GByteArray *out,
		       const char *sqlstate, const char *message)
{
	execute_answer_t answer = {0};

	g_strlcpy(answer.sqlstate, sqlstate, sizeof(answer.sqlstate));
	g_strlcpy(answer.message, message, sizeof(answer.message));
	session_add_answer_error(session, out, &answer);
}

bool session_run(session_t *session, const sql_statement_t *statement,
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

bool session_drops_answer(session_t *session, uint64_t commits_before)
{
	server_t *server = session->server;

	if (!server->drop_answers || server->counts.commits == commits_before)
		return false;
	server->drop_answers--;
	return true;
}

execute_result_t session_commit(session_t *session, execute_answer_t *answer)
{
	if (session->transaction.status != 'I')
		return EXECUTE_DONE;
	return transaction_commit(session->server, &session->transaction,
				  answer);
}

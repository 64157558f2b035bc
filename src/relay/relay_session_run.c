/* Statements that a server runs, and the tokens that they need. */
#include "relay/relay_session_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "relay/relay_pin.h"

/* @return whether a server must run the statement */
bool relay_session_is_remote(const relay_session_t *session)
{
	switch (session->command.kind) {
	case COMMAND_READ:
	case COMMAND_WRITE:
	case COMMAND_EXECUTE:
		return true;
	case COMMAND_COMMIT:
		return session->transaction != TRANSACTION_NONE;
	case COMMAND_ROLLBACK:
		return session->pin;
	default:
		return false;
	}
}

/* Keeps the token of an operation of which no server has seen anything. */
void relay_session_keep_token(relay_session_t *session, bool unsent)
{
	if (session->admitted && unsent)
		relay_quota_keep(session->host->quota,
				 session->caller.customer->name);
	session->admitted = false;
}

static void apply_result(relay_session_t *session, const relay_result_t *result)
{
	session->pin = result->pin;
	if (!result->failed && result->term && result->point.term) {
		session->own_point = result->point;
		session->own_term = result->term;
	}
	switch (result->status) {
	case 'I':
		relay_session_clear_transaction(session);
		break;
	case 'T':
		session->transaction = TRANSACTION_OPEN;
		break;
	default:
		session->transaction = TRANSACTION_FAILED;
	}
	if (result->body)
		evbuffer_add(relay_session_output(session), result->body->data,
			     result->body->len);
	else
		session->host->codec->put_error(relay_session_output(session),
						result->error, result->text);
	relay_session_answer_ready(session, result->point);
}

static void on_result(void *context, const relay_result_t *result)
{
	relay_session_t *session = context;

	session->job = NULL;
	relay_session_keep_token(session, result->unsent);
	session->answered = true;
	session->just_answered = true;
	apply_result(session, result);
	relay_session_statement_done(session);
	relay_session_process(session);
}

static bool writes(const relay_session_t *session,
		   const relay_session_prepared_t *prepared)
{
	return session->command.kind == COMMAND_WRITE ||
	       (prepared && prepared->writes);
}

/* @return whether the statement begins an operation that needs a token */
static bool needs_token(const relay_session_t *session)
{
	const catalog_customer_t *customer = session->caller.customer;

	return session->host->quota && customer && customer->has_quota &&
	       !session->pin && !session->admitted;
}

/* Rejects an operation beyond the quota; no server has seen any of it. */
static void refuse_by_quota(relay_session_t *session, uint32_t retry_after_ms)
{
	const bool begun = session->transaction == TRANSACTION_BEGUN;
	g_autofree char *text = g_strdup_printf(
		"not run, quota, retry after %" PRIu32 " ms", retry_after_ms);

	if (begun && session->command.kind == COMMAND_COMMIT)
		relay_session_clear_transaction(session);
	else if (begun)
		session->transaction = TRANSACTION_FAILED;
	session->answered = true;
	session->just_answered = true;
	relay_session_answer_error(
		session, begun ? RELAY_ERROR_ABORTED : RELAY_ERROR_OVERLOADED,
		text);
	relay_session_statement_done(session);
}

static void on_token(void *context, bool admitted, uint32_t retry_after_ms)
{
	relay_session_t *session = context;

	session->ticket = NULL;
	session->admitted = admitted;
	if (admitted)
		relay_session_run(session);
	else
		refuse_by_quota(session, retry_after_ms);
	relay_session_process(session);
}

/* @return whether the statement has to wait for a token */
static bool wait_for_token(relay_session_t *session)
{
	if (!needs_token(session))
		return false;
	session->received_ms = clock_boot_ms();
	evtimer_del(session->idle);
	session->ticket = relay_quota_acquire(
		session->host->quota, session->caller.customer->name,
		session->message.id, on_token, session);
	session->admitted = !session->ticket;
	return session->ticket;
}

void relay_session_run(relay_session_t *session)
{
	const command_t *command = &session->command;
	const relay_session_prepared_t *prepared = NULL;
	relay_request_t request = {
		.id = session->message.id,
		.text = session->message.text,
		.kind = command->kind,
		.database = session->database,
		.customer = session->caller.customer,
		.values = session->values,
		.own_point = session->own_point,
		.own_term = session->own_term,
		.latest_ms = drain_plan_latest_ms(&session->host->drain),
	};

	if (command->kind == COMMAND_EXECUTE) {
		prepared = session->prepared ?
				   g_hash_table_lookup(session->prepared,
						       command->name) :
				   NULL;
		if (!prepared) {
			relay_session_refuse(session, RELAY_ERROR_UNKNOWN_NAME,
					     "no such prepared statement");
			relay_session_statement_done(session);
			return;
		}
		request.definition = prepared->definition;
		request.arguments = command->value;
	}
	if (wait_for_token(session))
		return;
	/* The wait for a token is a part of the statement's time. */
	request.received_ms =
		session->admitted ? session->received_ms : clock_boot_ms();
	request.writes = writes(session, prepared);
	evtimer_del(session->idle);
	if (session->transaction == TRANSACTION_BEGUN) {
		request.begin_id = session->begin_id;
		request.begin_text = session->begin_text;
		request.read_only = session->read_only;
	}
	if (session->pin)
		session->job =
			relay_job_continue(g_steal_pointer(&session->pin),
					   &request, on_result, session);
	else
		session->job = relay_job_start(session->host->services,
					       &request, on_result, session);
}

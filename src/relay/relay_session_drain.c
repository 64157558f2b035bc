/* What a draining node does with a session; see coordination/drain_plan.h. */
#include "relay/relay_session_private.h"

#include "base/clock.h"
#include "base/log.h"

/* Idle time after which a draining node closes a session. */
#define DRAIN_IDLE_MS 250

/* Idle time after which a draining node closes a session without statements. */
#define DRAIN_UNUSED_MS 1000

/* Rejects a statement that may not end before the node leaves; it is not run.
 */
void relay_session_refuse_leaving(relay_session_t *session)
{
	const bool open = session->transaction != TRANSACTION_NONE;

	log_event(LOG_LEVEL_INFO, "statement_refused",
		  "id=%s database=%s reason=leaving transaction=%d",
		  session->message.id, session->database_name, open);
	relay_session_clear_transaction(session);
	session->answered = true;
	session->just_answered = true;
	if (open)
		relay_session_answer_error(session, RELAY_ERROR_ABORTED,
					   "the node is leaving, rolled back");
	else
		relay_session_answer_error(session, RELAY_ERROR_OVERLOADED,
					   "not run, the node is leaving, "
					   "retry after 0 ms");
	relay_session_statement_done(session);
}

/* @return whether the statement may not end before a draining node leaves */
bool relay_session_is_too_late(const relay_session_t *session)
{
	const drain_plan_t *drain = &session->host->drain;
	const command_kind_t kind = session->command.kind;
	const uint64_t now_ms = clock_boot_ms();
	const uint32_t timeout_ms = session->database->timeout_ms;

	if (!drain_plan_is_begun(drain) || kind == COMMAND_ROLLBACK)
		return false;
	if (session->transaction == TRANSACTION_FAILED)
		return session->ended_by_drain;
	if (session->transaction == TRANSACTION_NONE &&
	    (kind == COMMAND_BEGIN || kind == COMMAND_BEGIN_READ))
		return !drain_plan_may_begin_transaction(drain, now_ms,
							 timeout_ms);
	if (session->transaction == TRANSACTION_NONE || kind == COMMAND_COMMIT)
		return relay_session_is_remote(session) &&
		       !drain_plan_may_begin(drain, now_ms, timeout_ms);
	return drain_plan_ends_transaction(drain, session->began_ms, now_ms);
}

/*
 * Closes a draining session after an answer and before the caller's next
 * statement, when nothing of the session is lost: callers set variables and
 * prepared statements right before the statement that uses them. At the end of
 * the drain it is closed in any case, once what it has sent is answered.
 */
void relay_session_drain_answered(relay_session_t *session)
{
	if (session->finishing) {
		relay_session_clear_transaction(session);
		relay_session_close_soon(session);
		return;
	}
	if (drain_plan_is_begun(&session->host->drain) && session->answered &&
	    session->just_answered && !relay_session_is_busy(session))
		relay_session_close_soon(session);
	session->just_answered = false;
}

/* Rolls back a resting transaction; its caller is told when it comes back. */
static void drain_transaction(relay_session_t *session)
{
	if (relay_session_is_running(session) ||
	    (session->transaction != TRANSACTION_BEGUN &&
	     session->transaction != TRANSACTION_OPEN) ||
	    !drain_plan_ends_transaction(&session->host->drain,
					 session->began_ms, clock_boot_ms()))
		return;
	relay_session_end_transaction(session);
	session->ended_by_drain = true;
}

static void finish_running(relay_session_t *session, relay_cut_t *cut)
{
	if (session->ticket) {
		relay_quota_cancel(g_steal_pointer(&session->ticket));
		cut->unsent++;
		relay_session_refuse_leaving(session);
		relay_session_process(session);
		return;
	}
	cut->unsent += relay_job_is_unsent(session->job);
	cut->sent += !relay_job_is_unsent(session->job);
	relay_job_expire(session->job);
}

void relay_session_finish(relay_session_t *session, relay_cut_t *cut)
{
	if (session->closing)
		return;
	session->finishing = true;
	if (session->waiting) {
		relay_session_refuse_without_catalog(session);
	} else if (relay_session_is_running(session)) {
		finish_running(session, cut);
	} else {
		cut->transactions += session->transaction != TRANSACTION_NONE;
		relay_session_process(session);
	}
}

void relay_session_drain(relay_session_t *session)
{
	const uint64_t idle_ms =
		session->answered ? DRAIN_IDLE_MS : DRAIN_UNUSED_MS;

	drain_transaction(session);
	if (relay_session_is_busy(session) || session->closing)
		return;
	if (evbuffer_get_length(bufferevent_get_input(session->bev)))
		return;
	if (clock_boot_ms() >= session->active_ms + idle_ms)
		relay_session_close_soon(session);
}

#include "daemon/session_request.h"

#include <string.h>

#include <event2/buffer.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/session_local.h"
#include "daemon/session_outcome.h"
#include "protocol/outcome_report.h"

#define TIMEOUT_MS_DEFAULT 30000

#define FAILED_TRANSACTION_MESSAGE                                       \
	"current transaction is aborted, commands ignored until end of " \
	"transaction block"

void session_request_ready(session_t *session)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	pg_write_ready(out, session->status);
	session_write(session, out);
	if (drain_plan_is_begun(&session->host->drain))
		session_drain(session);
}

void session_request_refuse(session_t *session, const char *sqlstate,
			    const char *message, const char *hint)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	pg_write_error(out, "ERROR", sqlstate, message, hint);
	session_write(session, out);
	if (session->status == 'I')
		return;
	session_release(session);
	session->barrier_required = true;
	session->status = 'E';
}

/* @return whether the open transaction has lost its server connection */
static bool has_lost_connection(const session_t *session)
{
	return session->status == 'E' && !session->lease_id;
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	session_t *session = context;

	if (session->state != SESSION_BUSY ||
	    session->run.request_id != request_id)
		return;
	session_outcome_chunk(session, bytes);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	session_t *session = context;

	if (session->run.request_id != request_id)
		return;
	session->run.request_id = 0;
	if (session->state == SESSION_BUSY)
		session_outcome_end(session, answer);
	else if (answer->lease_id)
		session->lease_id = answer->lease_id; /* released later */
}

uint32_t session_request_timeout_ms(const session_t *session)
{
	if (session->settings->timeout_ms)
		return session->settings->timeout_ms;
	return session->class_timeout_ms ? session->class_timeout_ms :
					   TIMEOUT_MS_DEFAULT;
}

static request_t *create_request(session_t *session, GBytes *bytes,
				 const session_request_traits_t *traits)
{
	const session_settings_t *settings = session->settings;
	request_t *request = request_new();

	request->session_id = session->session_id;
	request->lease_id = session->lease_id;
	request->database = g_strdup(session->database);
	request->tenant = g_strdup(session->tenant);
	request->class_index = session->class_index;
	request->kind = traits->kind;
	request->timeout_ms = session_request_timeout_ms(session);
	if (settings->consistency == CONSISTENCY_AGE &&
	    traits->kind == REQUEST_READ)
		request->max_age_ms = settings->max_age_ms ?
					      settings->max_age_ms :
					      session->class_max_age_ms;
	if (!request->max_age_ms)
		request->at_least =
			session_token_point(settings->token, session->database);
	if (session->run.carries_key)
		request->request_key = g_strdup(settings->request_key);
	request->bytes = g_bytes_ref(bytes);
	return request;
}

static void submit(session_t *session, request_t *request)
{
	session_host_t *host = session->host;
	const answer_sink_t sink = {on_chunk, on_end, session};
	const uint64_t elapsed_ms =
		(clock_now_us() - session->run.started_us) / 1000;

	if (elapsed_ms >= request->timeout_ms) {
		session_outcome_fail(session, OUTCOME_NOT_RUN, REASON_DEADLINE);
		return;
	}
	request->timeout_ms -= (uint32_t)elapsed_ms;
	request->request_id = ++host->next_request_id;
	session->run.request_id = request->request_id;
	host->dispatch.submit(host->dispatch.context, request, sink);
}

static void on_barrier(void *context, log_point_t point)
{
	session_barrier_t *barrier = context;
	session_t *session = barrier->session;
	request_t *request = NULL;

	g_free(barrier);
	if (!session)
		return;
	session->run.barrier = NULL;
	request = g_steal_pointer(&session->run.request);
	if (!point.term) {
		session_outcome_fail(session, OUTCOME_NOT_RUN,
				     REASON_NO_PRIMARY);
	} else {
		session->barrier_required = false;
		session_token_raise(session->settings->token, session->database,
				    point);
		request->at_least = session_token_point(
			session->settings->token, session->database);
		submit(session, request);
	}
	request_delete(request);
}

/*
 * A barrier runs before every strong read, before a session's first read, and
 * before the read after a change of unknown outcome or a transaction that ended
 * without a point, since the caller may read to find out the outcome.
 */
static bool needs_barrier(const session_t *session, const request_t *request)
{
	if (request->kind != REQUEST_READ)
		return false;
	if (session->barrier_required)
		return true;
	return !request->max_age_ms &&
	       (session->settings->consistency == CONSISTENCY_STRONG ||
		!request->at_least.term);
}

static void start_barrier(session_t *session, request_t *request)
{
	const callers_dispatch_t *dispatch = &session->host->dispatch;
	session_barrier_t *barrier = g_new0(session_barrier_t, 1);

	barrier->session = session;
	session->run.barrier = barrier;
	session->run.request = request;
	dispatch->barrier(dispatch->context, session->database,
			  request->timeout_ms, on_barrier, barrier);
}

void session_request_run(session_t *session, GBytes *bytes,
			 const session_request_traits_t *traits)
{
	request_t *request = NULL;

	if (!session_refresh(session)) {
		session_fatal(session, "3D000",
			      "database or caller is no longer configured");
		return;
	}
	session->state = SESSION_BUSY;
	session->run = (session_run_t){
		.traits = *traits,
		.started_us = clock_now_us(),
		.carries_key =
			session->settings->request_key &&
			(traits->kind == REQUEST_WRITE || traits->commits),
	};
	request = create_request(session, bytes, traits);
	if (needs_barrier(session, request)) {
		start_barrier(session, request);
		return;
	}
	submit(session, request);
	request_delete(request);
}

/* Cancels the running request; later answers and barriers are ignored. */
static void cancel_run(session_t *session)
{
	session_host_t *host = session->host;

	if (session->run.barrier)
		session->run.barrier->session = NULL;
	session->run.barrier = NULL;
	g_clear_pointer(&session->run.request, request_delete);
	if (session->run.request_id)
		host->dispatch.cancel(host->dispatch.context,
				      session->run.request_id, session);
	session->run.request_id = 0;
}

void session_request_abandon(session_t *session)
{
	cancel_run(session);
	session_release(session);
}

void session_request_end(session_t *session, reason_t reason)
{
	const session_request_traits_t *traits = &session->run.traits;
	const bool unknown = session->run.request_id &&
			     (traits->kind == REQUEST_WRITE || traits->commits);

	cancel_run(session);
	session_outcome_fail(
		session, unknown ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, reason);
}

/* Answers a statement that needs no server. @return whether it did */
static bool answer_locally(session_t *session, const statement_t *statement,
			   GByteArray *out)
{
	const statement_class_t class = statement->statement_class;

	if (has_lost_connection(session) && class != STATEMENT_EMPTY) {
		if (class == STATEMENT_COMMIT || class == STATEMENT_ROLLBACK)
			session_local_rollback(session, out);
		else
			pg_write_error(out, "ERROR", "25P02",
				       FAILED_TRANSACTION_MESSAGE, NULL);
		return true;
	}
	switch (class) {
	case STATEMENT_EMPTY:
		pg_write_empty(out, 'I');
		return true;
	case STATEMENT_SET:
	case STATEMENT_RESET:
	case STATEMENT_SHOW:
		if (!session_local_execute(session, statement, true, out) &&
		    session->status != 'I') {
			session_release(session);
			session->status = 'E';
		}
		if (class == STATEMENT_RESET && !statement->name)
			batch_forget_prepared(session->batch);
		return true;
	default:
		return false;
	}
}

static GBytes *query_bytes(const pg_message_t *message)
{
	return g_bytes_new(message->body - PG_HEADER_SIZE_BYTES,
			   message->size_bytes);
}

static request_kind_t request_kind(const session_t *session, bool control,
				   bool writes)
{
	if (session->lease_id || control)
		return REQUEST_TRANSACTION;
	return writes ? REQUEST_WRITE : REQUEST_READ;
}

static void refuse_statement(session_t *session, const char *reason)
{
	g_autofree char *message = g_strdup_printf(
		"%s is not supported: server connections are shared", reason);

	session_request_refuse(session, "0A000", message, NULL);
}

/* Reports OUTCOME_NOT_RUN, so that the caller knows it may retry. */
static void refuse_leaving(session_t *session)
{
	const outcome_report_t report =
		outcome_report(OUTCOME_NOT_RUN, REASON_LEAVING);

	session_request_refuse(session, report.sqlstate, report.message,
			       "Connect again; this entry VM is leaving.");
}

static void handle_query(session_t *session, const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);
	const char *sql = pg_read_string(&reader);
	g_autoptr(statement_t) statement = NULL;
	g_autoptr(GByteArray) out = g_byte_array_new();
	g_autoptr(GBytes) bytes = NULL;
	session_request_traits_t traits = {0};

	if (!sql || reader.left_bytes) {
		session_fatal(session, "08P01", "invalid message format");
		return;
	}
	batch_clear(session->batch);
	if (session_refuses_statements(session)) {
		refuse_leaving(session);
		session_request_ready(session);
		return;
	}
	statement = statement_cache_parse(session->host->statements, sql);
	if (answer_locally(session, statement, out)) {
		session_write(session, out);
		session_request_ready(session);
		return;
	}
	if (statement->statement_class == STATEMENT_REFUSED) {
		refuse_statement(session, statement->reason);
		session_request_ready(session);
		return;
	}
	traits.begins = statement->statement_class == STATEMENT_BEGIN;
	traits.commits = statement->statement_class == STATEMENT_COMMIT;
	traits.rolls_back = statement->statement_class == STATEMENT_ROLLBACK;
	traits.kind =
		request_kind(session, traits.begins,
			     statement->statement_class != STATEMENT_READ);
	if (session->status == 'I' && (traits.commits || traits.rolls_back))
		traits.kind = REQUEST_READ;
	bytes = query_bytes(message);
	session_request_run(session, bytes, &traits);
}

/* Writes an error and ignores the rest of the batch. */
static void refuse_batch(session_t *session, const char *sqlstate,
			 const char *message)
{
	session_request_refuse(session, sqlstate, message, NULL);
	session->skips_until_sync = true;
}

/* @return whether the batch was refused */
static bool check_batch(session_t *session, const batch_summary_t *summary)
{
	if (has_lost_connection(session))
		refuse_batch(session, "25P02", FAILED_TRANSACTION_MESSAGE);
	else if (summary->refused) {
		refuse_statement(session, summary->refused);
		session->skips_until_sync = true;
	} else if (summary->mixes_settings)
		refuse_batch(session, "0A000",
			     "session settings together with other statements "
			     "in one batch are not supported");
	else if (summary->commits && summary->executed > 1 &&
		 session->settings->request_key)
		refuse_batch(session, "0A000",
			     "COMMIT with other statements in one batch "
			     "cannot carry a request key");
	else
		return false;
	return true;
}

/* @return whether the batch was answered without a server */
static bool answer_batch(session_t *session, const batch_summary_t *summary)
{
	const bool ends = summary->commits || summary->rolls_back;

	if (!summary->steps)
		return true;
	if (session_refuses_statements(session)) {
		refuse_leaving(session);
		session->skips_until_sync = true;
		return true;
	}
	if (has_lost_connection(session) && ends && summary->executed == 1) {
		session_local_rollback_batch(session);
		return true;
	}
	if (check_batch(session, summary))
		return true;
	if (summary->settings_only)
		session_local_batch(session);
	return summary->settings_only;
}

static void run_batch(session_t *session, bool ends_with_flush)
{
	const batch_summary_t summary = batch_summarize(session->batch);
	const bool control = summary.begins || summary.commits;
	const session_request_traits_t traits = {
		.kind = request_kind(session, control,
				     summary.writes || summary.rolls_back),
		.begins = summary.begins,
		.commits = summary.commits,
		.rolls_back = summary.rolls_back && summary.executed == 1,
		.extended = true,
		.ends_with_flush = ends_with_flush,
	};
	g_autoptr(GBytes) bytes = NULL;

	if (!answer_batch(session, &summary)) {
		bytes = batch_bytes(session->batch);
		session_request_run(session, bytes, &traits);
		return;
	}
	batch_clear(session->batch);
	if (ends_with_flush)
		return;
	session->skips_until_sync = false;
	session_request_ready(session);
}

static void handle_sync(session_t *session)
{
	if (!session->skips_until_sync) {
		run_batch(session, false);
		return;
	}
	session->skips_until_sync = false;
	batch_clear(session->batch);
	session_request_ready(session);
}

/*
 * Flush requests the answers before Sync. A batch that only prepares can run at
 * once, since its statements are parsed again later. Any other batch would lose
 * its portals and its implicit transaction, so it is refused.
 */
static void handle_flush(session_t *session)
{
	const batch_summary_t summary = batch_summarize(session->batch);

	if (session->skips_until_sync || !summary.steps)
		return;
	if (!batch_only_prepares(session->batch)) {
		batch_clear(session->batch);
		refuse_batch(session, "0A000",
			     "Flush between Bind and Sync is not supported");
		return;
	}
	run_batch(session, true);
}

static void handle_extended(session_t *session, const pg_message_t *message)
{
	batch_error_t error = {0};

	if (session->skips_until_sync ||
	    batch_add(session->batch, message, &error))
		return;
	batch_clear(session->batch);
	refuse_batch(session, error.sqlstate, error.message);
}

/* @return whether the message has a body that its type does not have */
static bool has_surplus(const pg_message_t *message)
{
	return message->body_size_bytes && strchr("HSX", message->type);
}

void session_request_message(session_t *session, const pg_message_t *message)
{
	if (has_surplus(message)) {
		session_fatal(session, "08P01", "invalid message format");
		return;
	}
	switch (message->type) {
	case 'Q':
		handle_query(session, message);
		return;
	case 'P':
	case 'B':
	case 'D':
	case 'E':
	case 'C':
		handle_extended(session, message);
		return;
	case 'H':
		handle_flush(session);
		return;
	case 'S':
		handle_sync(session);
		return;
	case 'X':
		session_end_later(session);
		return;
	case 'F':
		session_request_refuse(session, "0A000",
				       "function calls are not supported",
				       NULL);
		session_request_ready(session);
		return;
	case 'd':
	case 'c':
	case 'f':
		/* Ignored, as by a server after a failed COPY. */
		return;
	default:
		session_fatal(session, "08P01", "unknown message type");
	}
}

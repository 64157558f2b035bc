#include "daemon/session_outcome.h"

#include <string.h>

#include <event2/buffer.h>

#include "base/clock.h"
#include "base/log.h"
#include "daemon/session_local.h"
#include "daemon/session_request.h"
#include "protocol/outcome_report.h"

#define LABELS_SIZE 512

void session_release(session_t *session)
{
	const callers_dispatch_t *dispatch = &session->host->dispatch;
	const uint64_t lease_id = session->lease_id;

	session->lease_id = 0;
	if (lease_id)
		dispatch->release(dispatch->context, lease_id);
}

/*
 * Records whether the answer contains an error. After an error in a batch that
 * ends with Flush, messages are ignored up to the next Sync.
 */
static void scan_for_errors(session_t *session, GBytes *bytes)
{
	gsize size_bytes = 0;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	pg_message_t message = {0};
	size_t used = 0;

	while (pg_frame_next(data + used, size_bytes - used, SIZE_MAX,
			     &message) == PG_FRAME_READY) {
		used += message.size_bytes;
		session->run.failed |= message.type == 'E';
	}
}

static void release_bytes(const void *data, size_t size_bytes, void *context)
{
	g_bytes_unref(context);
}

static void write_chunk(session_t *session, GBytes *bytes)
{
	struct evbuffer *output = bufferevent_get_output(session->bev);
	gsize size_bytes = 0;
	const uint8_t *data = g_bytes_get_data(bytes, &size_bytes);
	g_autoptr(GByteArray) filtered = NULL;

	if (!batch_has_hidden_answers(session->batch)) {
		evbuffer_add_reference(output, data, size_bytes, release_bytes,
				       g_bytes_ref(bytes));
		return;
	}
	filtered = g_byte_array_new();
	batch_filter(session->batch, data, size_bytes, filtered);
	session_write(session, filtered);
}

void session_outcome_chunk(session_t *session, GBytes *bytes)
{
	const struct evbuffer *output = bufferevent_get_output(session->bev);

	if (session->run.traits.ends_with_flush)
		scan_for_errors(session, bytes);
	if (evbuffer_get_length(output) + g_bytes_get_size(bytes) >
	    SESSION_OUTPUT_SIZE_BYTES_MAX) {
		log_event(LOG_LEVEL_WARNING, "caller_too_slow", "process_id=%u",
			  session->process_id);
		session_end_later(session);
		return;
	}
	write_chunk(session, bytes);
}

static void count_request(session_t *session, const answer_t *answer)
{
	const request_kind_t kind = session->run.traits.kind;
	char labels[LABELS_SIZE];
	metric_t *counter = NULL;

	g_snprintf(labels, sizeof(labels),
		   "tenant=\"%s\",class=\"%s\",kind=\"%s\",outcome=\"%s\","
		   "reason=\"%s\"",
		   session->tenant, session->class_name,
		   request_kind_name(kind), outcome_name(answer->outcome),
		   reason_name(answer->reason));
	counter = g_hash_table_lookup(session->counters, labels);
	if (!counter) {
		counter = metrics_counter(session->host->metrics,
					  "toucanhook_requests_total", labels);
		g_hash_table_insert(session->counters, g_strdup(labels),
				    counter);
	}
	metric_add(counter, 1);
	g_snprintf(labels, sizeof(labels),
		   "tenant=\"%s\",class=\"%s\",kind=\"%s\"", session->tenant,
		   session->class_name, request_kind_name(kind));
	if (!session->delay[kind])
		session->delay[kind] = metrics_histogram(
			session->host->metrics, "toucanhook_request_delay_us",
			labels);
	metric_histogram_record(session->delay[kind],
				clock_now_us() - session->run.started_us);
}

/* Raises the token; only a change reports the new token to the caller. */
static void raise_token(session_t *session, log_point_t point)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	g_autofree char *text = NULL;

	if (!point.term ||
	    !session_token_raise(session->settings->token, session->database,
				 point) ||
	    session->run.traits.kind == REQUEST_READ)
		return;
	text = session_token_format(session->settings->token);
	pg_write_parameter(out, SESSION_SETTINGS_TOKEN, text);
	session_write(session, out);
}

static void handle_done(session_t *session, const answer_t *answer)
{
	const session_run_t *run = &session->run;

	session->lease_id = answer->lease_id;
	session->status = answer->transaction_status == 'T' ||
					  answer->transaction_status == 'E' ?
				  answer->transaction_status :
				  'I';
	if (session->status != 'I' && !session->lease_id)
		session->status = 'E';
	if (session->status == 'I')
		session_release(session);
	if (run->traits.kind == REQUEST_TRANSACTION && session->status == 'I' &&
	    !answer->point.term)
		session->barrier_required = true;
	if (run->traits.kind != REQUEST_READ ||
	    session->settings->consistency != CONSISTENCY_AGE)
		raise_token(session, answer->point);
}

/*
 * If a transaction lost its server connection, the server has rolled it back.
 * The session reports an error and leaves the transaction failed until the
 * caller ends it.
 */
static void handle_failure(session_t *session, const answer_t *answer)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	const session_request_traits_t *traits = &session->run.traits;
	const bool in_transaction = session->lease_id && !traits->commits;
	const outcome_t outcome =
		in_transaction ? OUTCOME_NOT_RUN : answer->outcome;
	const outcome_report_t report = outcome_report(outcome, answer->reason);

	session_release(session);
	if (traits->kind != REQUEST_READ)
		session->barrier_required = true;
	if (in_transaction && traits->rolls_back) {
		if (traits->extended)
			session_local_rollback_batch(session);
		else
			session_local_rollback(session, out);
		session_write(session, out);
		session->status = 'I';
		return;
	}
	session->status = in_transaction ? 'E' : 'I';
	pg_write_error(out, "ERROR", report.sqlstate, report.message,
		       in_transaction ?
			       "The transaction was rolled back and may be "
			       "retried as a whole." :
			       report.hint);
	session_write(session, out);
	session->run.failed = true;
}

/*
 * Clears the request key once its change has ended. A key belongs to one
 * change: the next change with the same key would be treated as a repetition.
 * The key is kept if the change was not run, so that a retry carries it.
 */
static void clear_ended_key(session_t *session, outcome_t outcome)
{
	const session_run_t *run = &session->run;
	const bool ended = run->traits.kind == REQUEST_TRANSACTION &&
			   session->status == 'I';

	if (outcome == OUTCOME_NOT_RUN &&
	    (run->traits.begins || run->traits.kind == REQUEST_WRITE))
		return;
	if (run->carries_key || ended)
		g_clear_pointer(&session->settings->request_key, g_free);
}

void session_outcome_end(session_t *session, const answer_t *answer)
{
	const session_request_traits_t traits = session->run.traits;

	count_request(session, answer);
	session->state = SESSION_READY;
	if (answer->outcome == OUTCOME_DONE)
		handle_done(session, answer);
	else
		handle_failure(session, answer);
	clear_ended_key(session, answer->outcome);
	batch_clear(session->batch);
	if (traits.ends_with_flush)
		session->skips_until_sync = session->run.failed;
	else
		session_request_ready(session);
	session_process(session);
}

void session_outcome_fail(session_t *session, outcome_t outcome,
			  reason_t reason)
{
	const answer_t answer = {
		.outcome = outcome,
		.reason = reason,
		.transaction_status = 'I',
	};

	session_outcome_end(session, &answer);
}

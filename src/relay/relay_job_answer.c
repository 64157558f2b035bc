#include "relay/relay_job_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_pin.h"

/* Retry delay after a replica has reported that it lacks the log point. */
#define BEHIND_RETRY_MS 30

/* Number of times that a failed read is retried. */
#define READ_FAILURES_MAX 2

/*
 * Ways to a replica that a read tries before it goes to another one. A hub that
 * has no connection says nothing of the server; two hubs do. Without this,
 * reads were sent 4 to 6 times to a dark replica until their timeout, over one
 * hub after the other, while two replicas had room.
 */
#define PATH_FAILURES_MAX 2

static relay_pin_t *pin_new(const relay_job_t *job, relay_server_t *server,
			    relay_link_t *link)
{
	relay_pin_t *pin = g_new0(relay_pin_t, 1);

	pin->service = job->service;
	pin->server = server;
	pin->link = link;
	pin->term = job->term;
	pin->started_ms = job->attempt_started_ms;
	pin->running_ms = clock_boot_ms() - job->attempt_started_ms;
	pin->statements = 1;
	pin->wrote = job->request.writes;
	return pin;
}

/* Pins the connection to the open transaction, or releases it. */
static void pin_or_release_link(relay_job_t *job, relay_attempt_t *attempt,
				relay_result_t *result)
{
	relay_server_t *server = relay_attempt_server(attempt);

	if (job->pin) {
		job->pin->statements++;
		job->pin->running_ms +=
			clock_boot_ms() - job->attempt_started_ms;
	}
	if (result->status == 'I') {
		relay_attempt_finish(attempt);
		if (job->pin)
			relay_pin_log_end(job->pin, "ended");
		g_clear_pointer(&job->pin, g_free);
		return;
	}
	if (job->pin) {
		relay_attempt_detach_link(attempt);
		job->pin->wrote |= job->request.writes;
		result->pin = g_steal_pointer(&job->pin);
		return;
	}
	result->pin = pin_new(job, server, relay_attempt_detach_link(attempt));
}

static bool changed_data(const relay_job_t *job, const relay_result_t *result)
{
	if (result->failed || result->status != 'I' || !job->term)
		return false;
	if (job->request.kind == COMMAND_COMMIT)
		return !job->pin || job->pin->wrote;
	return job->request.writes;
}

static void deliver(relay_job_t *job, relay_attempt_t *attempt,
		    const relay_answer_t *answer)
{
	relay_result_t result = {
		.failed = answer->failed,
		.error = answer->error,
		.text = answer->error_text,
		.body = answer->body,
		.status = answer->status,
		.point = answer->point,
		.term = job->term,
	};
	const bool needs_proof =
		changed_data(job, &result) && !job_may_acknowledge(job);

	job_attempt_remove(job, attempt);
	pin_or_release_link(job, attempt, &result);
	if (!needs_proof) {
		job_finish(job, &result);
		return;
	}
	job_hold(job, &result);
}

/* Handles the loss of the answer to a statement that was sent. */
static void on_answer_lost(relay_job_t *job)
{
	if (job->request.kind == COMMAND_COMMIT) {
		job_finish_failed(job, RELAY_ERROR_IN_DOUBT,
				  "connection lost while committing");
		return;
	}
	if (job->pin) {
		job_finish_failed(job, RELAY_ERROR_ABORTED,
				  "connection lost, rolled back");
		return;
	}
	/*
	 * A transaction that the attempt opened was rolled back with the
	 * connection, so that the attempt had no effect.
	 */
	if (job->request.writes && !job->request.begin_id) {
		job_finish_failed(job, RELAY_ERROR_IN_DOUBT,
				  "connection lost while writing");
		return;
	}
	if (!job->attempts_count)
		job_retry_now(job);
}

/* @return whether the statement has no effect if its connection is closed */
static bool is_undone_by_close(const relay_job_t *job)
{
	return job->request.kind != COMMAND_COMMIT && !job->pin &&
	       (!job->request.writes || job->request.begin_id);
}

/*
 * Handles an answer that cannot be passed on. The next one may be the same, so
 * it is not asked for until the timeout.
 */
static void on_answer_unreadable(relay_job_t *job, const relay_server_t *server)
{
	if (!is_undone_by_close(job)) {
		on_answer_lost(job);
		return;
	}
	if (job->attempts_count)
		return;
	if (job->failures++ < READ_FAILURES_MAX) {
		relay_placement_note_tried(&job->placement, server);
		job_retry_now(job);
		return;
	}
	job_finish_failed(job,
			  job->request.begin_id ? RELAY_ERROR_ABORTED :
						  RELAY_ERROR_FAILED,
			  "the server's answer is invalid");
}

/* @return whether a read should no longer try to reach this replica */
static bool gives_up_replica(relay_job_t *job, relay_error_t error)
{
	if (job->term || (error != RELAY_ERROR_CONNECTION_LIMIT &&
			  error != RELAY_ERROR_OTHER))
		return false;
	job->path_failures = (job->path_failures + 1) % PATH_FAILURES_MAX;
	return !job->path_failures;
}

/*
 * Retries a statement that did not run: later, on another server, or on the
 * next primary.
 */
static void on_not_run(relay_job_t *job, const relay_server_t *server,
		       relay_error_t error)
{
	if (job->attempts_count)
		return;
	switch (error) {
	case RELAY_ERROR_BEHIND:
		if (job->catch_ups < CATCH_UPS_MAX &&
		    relay_server_lag_ms(server, clock_boot_ms()) <=
			    CATCH_UP_MS_MAX) {
			job->catch_ups++;
			job->retry_at_ms = clock_boot_ms() + BEHIND_RETRY_MS;
			job_schedule_timer(job);
			return;
		}
		relay_placement_note_tried(&job->placement, server);
		job_retry_now(job);
		return;
	case RELAY_ERROR_READ_ONLY:
	case RELAY_ERROR_OVERLOADED:
	case RELAY_ERROR_OTHER_SERVER:
	case RELAY_ERROR_FAILED: /* the session could not be set up */
		if (!job_needs_primary(job))
			relay_placement_note_tried(&job->placement, server);
		job_retry_later(job);
		return;
	default:
		if (!gives_up_replica(job, error)) {
			job_retry_later(job);
			return;
		}
		relay_placement_note_tried(&job->placement, server);
		job_retry_now(job);
		return;
	}
}

/* @return whether the error proves that a single statement did not run */
static bool proves_not_run(relay_error_t error)
{
	return error == RELAY_ERROR_OVERLOADED ||
	       error == RELAY_ERROR_ABORTED || error == RELAY_ERROR_BEHIND ||
	       error == RELAY_ERROR_READ_ONLY ||
	       error == RELAY_ERROR_UNKNOWN_NAME ||
	       error == RELAY_ERROR_OTHER_SERVER ||
	       error == RELAY_ERROR_CONNECTION_LIMIT;
}

static void on_refused_by_server(relay_job_t *job, relay_attempt_t *attempt,
				 relay_error_t error)
{
	relay_server_t *server = relay_attempt_server(attempt);

	log_event(LOG_LEVEL_INFO, "statement_not_run",
		  "id=%s server=%s reason=%s sent=%d term=%" PRIu64
		  " after=%" PRIu64 ".%" PRIu64,
		  job->request.id, relay_server_entry(server)->id,
		  relay_error_name(error), relay_attempt_is_sent(attempt),
		  job->term, job->after.term, job->after.position);
	job_attempt_remove(job, attempt);
	if (error == RELAY_ERROR_CONNECTION_LIMIT)
		relay_server_forwarding_refused(
			server,
			clock_boot_ms() - relay_attempt_started_ms(attempt));
	if (error == RELAY_ERROR_UNKNOWN_NAME ||
	    error == RELAY_ERROR_CONNECTION_LIMIT)
		relay_attempt_discard(attempt);
	else
		relay_attempt_finish(attempt);
	on_not_run(job, server, error);
}

/* Handles the server's rejection of a statement that sets up the session. */
static void on_setup_rejected(relay_job_t *job, relay_attempt_t *attempt,
			      relay_error_t error)
{
	if (job->pin) {
		job_attempt_remove(job, attempt);
		relay_attempt_detach_link(attempt);
		job_finish_failed(job, RELAY_ERROR_ABORTED,
				  "session not set up, rolled back");
		return;
	}
	if (error != RELAY_ERROR_MALFORMED) {
		on_refused_by_server(job, attempt, error);
		return;
	}
	/* A variable of the caller that no server accepts. */
	job_attempt_remove(job, attempt);
	relay_attempt_finish(attempt);
	job_finish_failed(job, error, "session variable rejected");
}

/* Retries a failed read on another server, where it may succeed. */
static void on_failed_read(relay_job_t *job, relay_attempt_t *attempt)
{
	const relay_server_t *server = relay_attempt_server(attempt);

	job->failures++;
	log_event(LOG_LEVEL_INFO, "read_failed",
		  "id=%s server=%s term=%" PRIu64, job->request.id,
		  relay_server_entry(server)->id, job->term);
	job_attempt_remove(job, attempt);
	relay_attempt_finish(attempt);
	if (job->attempts_count)
		return;
	relay_placement_note_tried(&job->placement, server);
	job_retry_now(job);
}

/* Updates the server's statistics from an answer. */
static void record_answer(const relay_job_t *job,
			  const relay_attempt_t *attempt,
			  const relay_answer_t *answer)
{
	relay_server_t *server = relay_attempt_server(attempt);
	const uint64_t now_ms = clock_boot_ms();
	const uint64_t age_ms = point_samples_age_ms(
		relay_service_samples(job->service), job->after, now_ms);
	const bool overloaded =
		answer->failed && answer->error == RELAY_ERROR_OVERLOADED;

	relay_server_record_run_time(server, now_ms - answer->sent_ms);
	relay_placement_record_answer(&job->placement, server, answer, now_ms);
	if (!relay_error_proves_no_effect(answer->error) || !answer->failed)
		outlier_answered(relay_server_outlier(server),
				 answer->failed &&
					 answer->error == RELAY_ERROR_FAILED,
				 now_ms);
	/* A forwarding node rejects a statement with an error of its own. */
	if (!answer->failed || answer->error != RELAY_ERROR_CONNECTION_LIMIT)
		send_budget_answered(relay_server_budget(server), !overloaded,
				     now_ms);
	if (!job->after.term)
		return;
	if (!answer->failed)
		replica_lag_record_present(relay_server_lag(server), age_ms);
	else if (answer->error == RELAY_ERROR_BEHIND)
		replica_lag_record_missing(relay_server_lag(server), age_ms,
					   now_ms);
}

void job_on_attempt_done(void *context, relay_attempt_t *attempt,
			 relay_attempt_end_t end, const relay_answer_t *answer)
{
	relay_job_t *job = context;
	relay_server_t *server = relay_attempt_server(attempt);

	job->hedge_at_ms = 0;
	if (!answer) {
		job_attempt_remove(job, attempt);
		if (job->pin) {
			relay_attempt_detach_link(attempt);
			on_answer_lost(job);
			return;
		}
		relay_attempt_discard(attempt);
		if (end == RELAY_ATTEMPT_LOST)
			on_answer_lost(job);
		else if (end == RELAY_ATTEMPT_UNREADABLE)
			on_answer_unreadable(job, server);
		else
			on_not_run(job, server, RELAY_ERROR_OTHER);
		return;
	}
	record_answer(job, attempt, answer);
	if (end == RELAY_ATTEMPT_NOT_RUN) {
		on_setup_rejected(job, attempt, answer->error);
		return;
	}
	if (job->pin && answer->failed && answer->status == 'T' &&
	    answer->error == RELAY_ERROR_OVERLOADED) {
		job_attempt_remove(job, attempt);
		relay_attempt_detach_link(attempt);
		job_retry_later(job);
		return;
	}
	if (answer->failed && !job->pin && proves_not_run(answer->error)) {
		on_refused_by_server(job, attempt, answer->error);
		return;
	}
	if (answer->failed && answer->error == RELAY_ERROR_FAILED &&
	    job_is_repeatable(job) && job->failures < READ_FAILURES_MAX) {
		on_failed_read(job, attempt);
		return;
	}
	deliver(job, attempt, answer);
}

#include "relay/relay_job.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_attempt.h"
#include "relay/relay_pin.h"
#include "relay/relay_placement.h"

/* Concurrent attempts of one statement; the second is a hedge of a slow one. */
#define ATTEMPTS_MAX 2

/*
 * Delay after which an unanswered read is also sent to another server, as a
 * multiple of the server's mean run time, and its bounds.
 */
#define HEDGE_FACTOR 4
#define HEDGE_DELAY_MS_MIN 150
#define HEDGE_DELAY_MS_MAX 450

/* Initial and maximum delay before a statement that did not run is retried. */
#define RETRY_DELAY_MS 20
#define RETRY_DELAY_MS_MAX 160

/* Interval of checking whether a change may be acknowledged. */
#define LEASE_POLL_MS 20

/* Maximum time to wait for the proof that a change may be acknowledged. */
#define ACKNOWLEDGE_MS_MAX 1500

/*
 * Minimum and maximum time to wait for a replica to reach the required log
 * point, and the number of such waits per statement.
 */
#define CATCH_UP_MS_MIN 5
#define CATCH_UP_MS_MAX 120
#define CATCH_UPS_MAX 3

/* Retry delay after a replica has reported that it lacks the log point. */
#define BEHIND_RETRY_MS 30

/* Number of times that a failed read is retried. */
#define READ_FAILURES_MAX 2

/* Retry delay that the error message recommends to rejected callers. */
#define RETRY_HINT_MS 300

struct relay_job {
	relay_service_t *service;
	relay_request_t request;
	relay_job_done_t done;
	void *context;
	struct event *timer;
	uint64_t deadline_ms;
	uint64_t retry_at_ms;	 /* time of the next retry, or 0 */
	uint64_t hedge_at_ms;	 /* time of the hedged attempt, or 0 */
	uint32_t retry_delay_ms; /* delay of the next retry */
	relay_waiter_t waiter;
	relay_server_t *waiting_at; /* server that has the waiter, or NULL */
	relay_parked_t parked;	    /* entry in the queue for a primary */
	relay_attempt_t *attempts[ATTEMPTS_MAX];
	uint32_t attempts_count;
	uint32_t attempts_started;   /* total number, including retries */
	uint64_t attempt_started_ms; /* last attempt, on the boot clock */
	char server[64];	     /* id of the last attempt's server */
	uint64_t term;	   /* term of the chosen primary; 0 for a replica */
	log_point_t after; /* point that the server must have, or zero */
	relay_placement_t placement;
	bool only_primary;  /* no replica could serve the read */
	uint32_t failures;  /* attempts of the read that ran and failed */
	uint32_t catch_ups; /* waits for a replica to catch up */
	relay_pin_t *pin;   /* pinned connection of the transaction, or NULL */
	/* While set, the job ends with this error from the timer event. */
	bool ending;
	relay_error_t error;
	const char *error_text;
	/* Result of a change that must be proved before it is acknowledged. */
	relay_result_t unproved;
	uint64_t proof_deadline_ms; /* end of the wait, on the boot clock */
};

static void place(relay_job_t *job);

static bool needs_primary(const relay_job_t *job)
{
	const relay_request_t *request = &job->request;

	if (request->writes || job->only_primary)
		return true;
	if (request->begin_id && !request->read_only)
		return true;
	return request->database->reads == READS_AT_PRIMARY;
}

/* @return whether the statement can be run twice without a side effect */
static bool is_repeatable(const relay_job_t *job)
{
	return !job->request.writes && !job->request.begin_id && !job->pin;
}

/* Sets the timer to the earliest time at which the job must act. */
static void schedule_timer(relay_job_t *job)
{
	const uint64_t now_ms = clock_boot_ms();
	uint64_t due_ms = job->deadline_ms;
	struct timeval delay;

	if (job->retry_at_ms)
		due_ms = MIN(due_ms, job->retry_at_ms);
	if (job->hedge_at_ms)
		due_ms = MIN(due_ms, job->hedge_at_ms);
	if (job->ending || job->unproved.body)
		due_ms = job->ending ? now_ms : now_ms + LEASE_POLL_MS;
	delay = clock_timeval(due_ms > now_ms ? due_ms - now_ms : 0);
	event_add(job->timer, &delay);
}

static void stop_waiting(relay_job_t *job)
{
	if (job->waiting_at)
		relay_server_cancel_wait(job->waiting_at, &job->waiter);
	job->waiting_at = NULL;
	relay_service_unpark(job->service, &job->parked);
	job->retry_at_ms = 0;
}

/*
 * Abandons the attempts of a read, whose connections are reused if the answers
 * still arrive. Closes the connections of changes and transactions.
 */
static void abandon_attempts(relay_job_t *job)
{
	for (uint32_t i = 0; i < job->attempts_count; i++)
		if (job->request.writes || job->request.begin_id)
			relay_attempt_discard(job->attempts[i]);
		else
			relay_attempt_abandon(job->attempts[i]);
	job->attempts_count = 0;
}

static void job_free(relay_job_t *job)
{
	stop_waiting(job);
	abandon_attempts(job);
	if (job->unproved.body)
		g_byte_array_unref(job->unproved.body);
	event_free(job->timer);
	g_free(job);
}

static void log_end(const relay_job_t *job, const relay_result_t *result)
{
	const uint64_t now_ms = clock_boot_ms();

	log_event(LOG_LEVEL_INFO,
		  result->failed ? "statement_failed" : "statement_done",
		  "id=%s service=%s kind=%s outcome=%s server=%s tries=%u "
		  "queued_ms=%" PRIu64 " delay_ms=%" PRIu64 " term=%" PRIu64
		  " after=%" PRIu64 ".%" PRIu64 " point=%" PRIu64 ".%" PRIu64,
		  job->request.id, relay_service_name(job->service),
		  command_kind_name(job->request.kind),
		  result->failed ? relay_error_name(result->error) : "done",
		  job->server, job->attempts_started,
		  job->attempt_started_ms ?
			  job->attempt_started_ms - job->request.received_ms :
			  0,
		  now_ms - job->request.received_ms, job->term, job->after.term,
		  job->after.position, result->point.term,
		  result->point.position);
}

static void count_end(const relay_job_t *job, const relay_result_t *result)
{
	metrics_t *metrics =
		relay_services_settings(relay_service_services(job->service))
			->metrics;
	const char *database = job->request.database->name;
	const char *outcome =
		result->failed ? relay_error_name(result->error) : "done";
	g_autofree char *labels =
		metrics_labels("database", database, "outcome", outcome, NULL);
	g_autofree char *class_labels =
		metrics_labels("database", database, NULL);

	metric_add(
		metrics_counter(metrics, "toucanhook_statements_total", labels),
		1);
	metric_histogram_record(
		metrics_histogram(metrics, "toucanhook_statement_microseconds",
				  class_labels),
		1000 * (clock_boot_ms() - job->request.received_ms));
}

static void finish(relay_job_t *job, const relay_result_t *result)
{
	const relay_job_done_t done = job->done;
	void *const context = job->context;

	log_end(job, result);
	count_end(job, result);
	job_free(job);
	done(context, result);
}

static void close_pin(relay_job_t *job)
{
	if (!job->pin)
		return;
	if (job->attempts_count)
		relay_attempt_detach_link(job->attempts[0]);
	job->attempts_count = 0;
	relay_pin_close(job->pin);
	job->pin = NULL;
}

/*
 * Ends the job with an error from the timer event, because the callback must
 * not be called during the call that starts the job.
 */
static void fail(relay_job_t *job, relay_error_t error, const char *text)
{
	stop_waiting(job);
	job->ending = true;
	job->error = error;
	job->error_text = text;
	schedule_timer(job);
}

static void finish_failed(relay_job_t *job, relay_error_t error,
			  const char *text)
{
	const bool in_transaction = (job->pin || job->request.begin_id) &&
				    job->request.kind != COMMAND_COMMIT;
	const relay_result_t result = {
		.failed = true,
		.error = error,
		.text = text,
		.status = in_transaction ? 'E' : 'I',
		.unsent = relay_job_is_unsent(job),
	};

	close_pin(job);
	finish(job, &result);
}

static void refuse(relay_job_t *job, const char *reason)
{
	log_event(LOG_LEVEL_INFO, "statement_refused",
		  "id=%s service=%s reason=%s waited_ms=%" PRIu64
		  " parked=%u lease_ms=%" PRId64,
		  job->request.id, relay_service_name(job->service), reason,
		  clock_boot_ms() - job->request.received_ms,
		  relay_service_parked_count(job->service),
		  (int64_t)(primary_lease_until_ms(
				    relay_service_lease(job->service),
				    relay_services_lease(relay_service_services(
					    job->service))) -
			    clock_boot_ms()));
	fail(job,
	     job->pin || job->request.begin_id ? RELAY_ERROR_ABORTED :
						 RELAY_ERROR_OVERLOADED,
	     "not run, retry after " G_STRINGIFY(RETRY_HINT_MS) " ms");
}

static void retry_later(relay_job_t *job)
{
	job->retry_at_ms = clock_boot_ms() + job->retry_delay_ms;
	job->retry_delay_ms = MIN(2 * job->retry_delay_ms, RETRY_DELAY_MS_MAX);
	schedule_timer(job);
}

static void retry_now(relay_job_t *job)
{
	job->retry_at_ms = clock_boot_ms();
	schedule_timer(job);
}

static void attempt_remove(relay_job_t *job, const relay_attempt_t *attempt)
{
	for (uint32_t i = 0; i < job->attempts_count; i++)
		if (job->attempts[i] == attempt)
			job->attempts[i] = job->attempts[--job->attempts_count];
}

/* @return whether the primary that ran the change is proved to be current */
static bool may_acknowledge(const relay_job_t *job)
{
	const primary_lease_t *lease = relay_service_lease(job->service);

	return relay_service_primary_valid(job->service) &&
	       lease->term == job->term;
}

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
		changed_data(job, &result) && !may_acknowledge(job);

	attempt_remove(job, attempt);
	pin_or_release_link(job, attempt, &result);
	if (!needs_proof) {
		finish(job, &result);
		return;
	}
	log_event(LOG_LEVEL_WARNING, "acknowledgement_held",
		  "id=%s service=%s term=%" PRIu64, job->request.id,
		  relay_service_name(job->service), job->term);
	abandon_attempts(job);
	job->unproved = result;
	job->unproved.body = g_byte_array_ref(answer->body);
	job->unproved.text = NULL;
	job->proof_deadline_ms = clock_boot_ms() + ACKNOWLEDGE_MS_MAX;
	schedule_timer(job);
}

/*
 * Acknowledges the change once the primary is proved to be current; fails with
 * RELAY_ERROR_IN_DOUBT if that is not proved in time.
 */
static void check_proof(relay_job_t *job)
{
	const primary_lease_t *lease = relay_service_lease(job->service);
	g_autoptr(GByteArray) body = job->unproved.body;
	relay_result_t result = job->unproved;

	if (may_acknowledge(job)) {
		job->unproved.body = NULL;
		finish(job, &result);
		return;
	}
	if (lease->term == job->term &&
	    clock_boot_ms() < job->proof_deadline_ms) {
		g_steal_pointer(&body);
		schedule_timer(job);
		return;
	}
	job->unproved.body = NULL;
	finish_failed(job, RELAY_ERROR_IN_DOUBT,
		      "the primary may have been replaced");
}

/* Handles the loss of the answer to a statement that was sent. */
static void on_answer_lost(relay_job_t *job)
{
	if (job->request.kind == COMMAND_COMMIT) {
		finish_failed(job, RELAY_ERROR_IN_DOUBT,
			      "connection lost while committing");
		return;
	}
	if (job->pin) {
		finish_failed(job, RELAY_ERROR_ABORTED,
			      "connection lost, rolled back");
		return;
	}
	/*
	 * A transaction that the attempt opened was rolled back with the
	 * connection, so that the attempt had no effect.
	 */
	if (job->request.writes && !job->request.begin_id) {
		finish_failed(job, RELAY_ERROR_IN_DOUBT,
			      "connection lost while writing");
		return;
	}
	if (!job->attempts_count)
		retry_now(job);
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
			schedule_timer(job);
			return;
		}
		relay_placement_note_tried(&job->placement, server);
		retry_now(job);
		return;
	case RELAY_ERROR_READ_ONLY:
	case RELAY_ERROR_OVERLOADED:
	case RELAY_ERROR_OTHER_SERVER:
		if (!needs_primary(job))
			relay_placement_note_tried(&job->placement, server);
		retry_later(job);
		return;
	default:
		retry_later(job);
		return;
	}
}

/* @return whether the error proves that a single statement did not run */
static bool proves_not_run(relay_error_t error)
{
	return error == RELAY_ERROR_OVERLOADED || error == RELAY_ERROR_BEHIND ||
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
		  "id=%s server=%s reason=%s term=%" PRIu64 " after=%" PRIu64
		  ".%" PRIu64,
		  job->request.id, relay_server_entry(server)->id,
		  relay_error_name(error), job->term, job->after.term,
		  job->after.position);
	attempt_remove(job, attempt);
	if (error == RELAY_ERROR_CONNECTION_LIMIT)
		relay_server_forwarding_refused(server);
	if (error == RELAY_ERROR_UNKNOWN_NAME ||
	    error == RELAY_ERROR_CONNECTION_LIMIT)
		relay_attempt_discard(attempt);
	else
		relay_attempt_finish(attempt);
	on_not_run(job, server, error);
}

/* Retries a failed read on another server, where it may succeed. */
static void on_failed_read(relay_job_t *job, relay_attempt_t *attempt)
{
	const relay_server_t *server = relay_attempt_server(attempt);

	job->failures++;
	log_event(LOG_LEVEL_INFO, "read_failed",
		  "id=%s server=%s term=%" PRIu64, job->request.id,
		  relay_server_entry(server)->id, job->term);
	attempt_remove(job, attempt);
	relay_attempt_finish(attempt);
	if (job->attempts_count)
		return;
	relay_placement_note_tried(&job->placement, server);
	retry_now(job);
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

static void on_attempt_done(void *context, relay_attempt_t *attempt,
			    relay_attempt_end_t end,
			    const relay_answer_t *answer)
{
	relay_job_t *job = context;
	relay_server_t *server = relay_attempt_server(attempt);

	job->hedge_at_ms = 0;
	if (!answer) {
		attempt_remove(job, attempt);
		if (job->pin) {
			relay_attempt_detach_link(attempt);
			on_answer_lost(job);
			return;
		}
		relay_attempt_discard(attempt);
		if (end == RELAY_ATTEMPT_LOST)
			on_answer_lost(job);
		else
			on_not_run(job, server, RELAY_ERROR_OTHER);
		return;
	}
	record_answer(job, attempt, answer);
	if (job->pin && answer->failed && answer->status == 'T' &&
	    answer->error == RELAY_ERROR_OVERLOADED) {
		attempt_remove(job, attempt);
		relay_attempt_detach_link(attempt);
		retry_later(job);
		return;
	}
	if (answer->failed && !job->pin && proves_not_run(answer->error)) {
		on_refused_by_server(job, attempt, answer->error);
		return;
	}
	if (answer->failed && answer->error == RELAY_ERROR_FAILED &&
	    is_repeatable(job) && job->failures < READ_FAILURES_MAX) {
		on_failed_read(job, attempt);
		return;
	}
	deliver(job, attempt, answer);
}

static void run_on(relay_job_t *job, relay_server_t *server, relay_link_t *link)
{
	job->attempts_started++;
	job->attempt_started_ms = clock_boot_ms();
	outlier_record_sent(relay_server_outlier(server),
			    job->attempt_started_ms);
	g_strlcpy(job->server, relay_server_entry(server)->id,
		  sizeof(job->server));
	job->attempts[job->attempts_count++] =
		relay_attempt_start(job->service, server, link, &job->request,
				    job->after, on_attempt_done, job);
	if (is_repeatable(job) && job->attempts_count < ATTEMPTS_MAX &&
	    send_budget_is_free(relay_server_budget(server), clock_boot_ms()))
		job->hedge_at_ms =
			clock_boot_ms() +
			CLAMP(HEDGE_FACTOR * relay_server_mean_run_ms(server),
			      HEDGE_DELAY_MS_MIN, HEDGE_DELAY_MS_MAX);
	schedule_timer(job);
}

static void on_granted(void *context, relay_server_t *server,
		       relay_link_t *link)
{
	relay_job_t *job = context;

	job->waiting_at = NULL;
	if (job->request.writes &&
	    clock_boot_ms() + relay_server_mean_run_ms(server) >=
		    job->deadline_ms) {
		/*
		 * The change would probably end after the deadline with an
		 * unknown outcome. A rejected change has certainly not run.
		 */
		relay_server_release(server, link, 0);
		refuse(job, "late");
		return;
	}
	run_on(job, server, link);
}

static void on_refused(void *context, relay_server_t *server)
{
	relay_job_t *job = context;

	job->waiting_at = NULL;
	if (!needs_primary(job))
		relay_placement_note_tried(&job->placement, server);
	if (!job->attempts_count)
		retry_later(job);
}

static void wait_for_link(relay_job_t *job, relay_server_t *server)
{
	const bool allowed = relay_placement_allows(&job->placement, server);

	send_budget_offered(relay_server_budget(server),
			    relay_placement_rank(&job->placement), allowed,
			    clock_boot_ms());
	if (!allowed) {
		if (!job->attempts_count)
			refuse(job, "budget");
		return;
	}
	if (!relay_server_can_serve(server, &job->waiter, clock_boot_ms())) {
		if (!job->attempts_count)
			refuse(job, "queue");
		return;
	}
	job->waiting_at = server;
	relay_server_acquire(server, &job->waiter);
	if (job->waiting_at)
		schedule_timer(job);
}

static void place_at_primary(relay_job_t *job)
{
	relay_server_t *primary = relay_service_primary(job->service);

	job->after = (log_point_t){0};
	if (!primary) {
		relay_service_park(job->service, &job->parked);
		schedule_timer(job);
		return;
	}
	job->term = relay_service_lease(job->service)->term;
	wait_for_link(job, primary);
}

/* Waits for a replica that is expected to reach the point soon. */
static bool wait_for_replica(relay_job_t *job, const relay_server_t *server)
{
	const uint64_t wait_ms =
		relay_placement_behind_ms(&job->placement, server, job->after);

	if (job->catch_ups >= CATCH_UPS_MAX || wait_ms < CATCH_UP_MS_MIN ||
	    wait_ms > CATCH_UP_MS_MAX)
		return false;
	job->catch_ups++;
	job->retry_at_ms = clock_boot_ms() + wait_ms;
	schedule_timer(job);
	return true;
}

static void place_read(relay_job_t *job)
{
	log_point_t point;
	relay_server_t *server;

	if (!relay_placement_point(&job->placement, &point)) {
		place_at_primary(job);
		return;
	}
	server = relay_placement_choose(&job->placement, point);
	if (!server) {
		if (job->attempts_count)
			return;
		job->placement.tried_count = 0;
		if (relay_service_primary(job->service))
			place_at_primary(job);
		else
			retry_later(job);
		return;
	}
	job->after = point;
	job->term = 0;
	if (wait_for_replica(job, server))
		return;
	wait_for_link(job, server);
}

static void place(relay_job_t *job)
{
	stop_waiting(job);
	if (job->pin)
		run_on(job, job->pin->server, job->pin->link);
	else if (needs_primary(job))
		place_at_primary(job);
	else
		place_read(job);
}

static void on_wake(void *context)
{
	place(context);
}

/* Sends a read whose attempt is slow to another server as well. */
static void hedge(relay_job_t *job)
{
	relay_server_t *server = relay_attempt_server(job->attempts[0]);

	job->hedge_at_ms = 0;
	if (job->attempts_count >= ATTEMPTS_MAX || job->waiting_at) {
		schedule_timer(job);
		return;
	}
	relay_server_record_timeout(server);
	if (!needs_primary(job))
		relay_placement_note_tried(&job->placement, server);
	place(job);
	schedule_timer(job);
}

static void on_deadline(relay_job_t *job)
{
	bool sent = false;

	for (uint32_t i = 0; i < job->attempts_count; i++) {
		sent |= relay_attempt_is_sent(job->attempts[i]);
		relay_server_record_timeout(
			relay_attempt_server(job->attempts[i]));
	}
	if (!sent) {
		refuse(job, "deadline");
		return;
	}
	if (job->request.kind == COMMAND_COMMIT ||
	    (job->request.writes && !job->pin && !job->request.begin_id))
		finish_failed(job, RELAY_ERROR_IN_DOUBT, "no answer in time");
	else if (job->pin || job->request.begin_id)
		finish_failed(job, RELAY_ERROR_ABORTED,
			      "no answer in time, rolled back");
	else
		finish_failed(job, RELAY_ERROR_TIMEOUT, "no answer in time");
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_job_t *job = context;
	const uint64_t now_ms = clock_boot_ms();

	if (job->ending)
		finish_failed(job, job->error, job->error_text);
	else if (job->unproved.body)
		check_proof(job);
	else if (now_ms >= job->deadline_ms)
		on_deadline(job);
	else if (job->retry_at_ms && now_ms >= job->retry_at_ms) {
		job->retry_at_ms = 0;
		place(job);
	} else if (job->hedge_at_ms && now_ms >= job->hedge_at_ms)
		hedge(job);
	else
		schedule_timer(job);
}

static relay_job_t *job_new(relay_services_t *services,
			    relay_service_t *service,
			    const relay_request_t *request,
			    relay_job_done_t done, void *context)
{
	const catalog_database_t *database = request->database;
	relay_job_t *job = g_new0(relay_job_t, 1);

	job->service = service;
	job->request = *request;
	job->done = done;
	job->context = context;
	job->retry_delay_ms = RETRY_DELAY_MS;
	job->deadline_ms = request->received_ms + database->timeout_ms;
	job->placement = (relay_placement_t){.service = service,
					     .request = &job->request,
					     .deadline_ms = job->deadline_ms};
	job->timer = evtimer_new(relay_services_settings(services)->base,
				 on_timer, job);
	job->waiter = (relay_waiter_t){
		.entry = {.priority = database->priority,
			  .target_ms = request->received_ms +
				       database->target_latency_ms,
			  .deadline_ms = job->deadline_ms},
		.values = request->values,
		.granted = on_granted,
		.refused = on_refused,
		.context = job,
	};
	job->parked.wake = on_wake;
	job->parked.context = job;
	return job;
}

relay_job_t *relay_job_start(relay_services_t *services,
			     const relay_request_t *request,
			     relay_job_done_t done, void *context)
{
	relay_service_t *service =
		relay_services_find(services, request->database->service);
	relay_job_t *job = job_new(services, service, request, done, context);

	if (service)
		place(job);
	else
		fail(job, RELAY_ERROR_OVERLOADED, "unknown service");
	return job;
}

relay_job_t *relay_job_continue(relay_pin_t *pin,
				const relay_request_t *request,
				relay_job_done_t done, void *context)
{
	relay_job_t *job = job_new(relay_service_services(pin->service),
				   pin->service, request, done, context);
	const bool needs_lease =
		pin->term && (request->writes ||
			      (request->kind == COMMAND_COMMIT && pin->wrote));

	job->pin = pin;
	job->term = pin->term;
	if (!relay_link_is_open(pin->link))
		fail(job, RELAY_ERROR_ABORTED, "connection lost, rolled back");
	else if (needs_lease && !may_acknowledge(job))
		fail(job, RELAY_ERROR_ABORTED,
		     "the primary may have been replaced, rolled back");
	else
		run_on(job, pin->server, pin->link);
	return job;
}

bool relay_job_is_unsent(const relay_job_t *job)
{
	return !job->attempts_started;
}

void relay_job_cancel(relay_job_t *job)
{
	close_pin(job);
	job_free(job);
}

#include "relay/relay_job_private.h"

#include "base/clock.h"
#include "coordination/owner.h"
#include "coordination/wait_estimate.h"
#include "relay/relay_pin.h"

/* Initial and maximum delay before a statement that did not run is retried. */
#define RETRY_DELAY_MS 20
#define RETRY_DELAY_MS_MAX 160

/* Interval of checking whether a change may be acknowledged. */
#define LEASE_POLL_MS 20

bool job_needs_primary(const relay_job_t *job)
{
	const relay_request_t *request = &job->request;

	if (request->writes || job->only_primary)
		return true;
	if (request->begin_id && !request->read_only)
		return true;
	return request->database->reads == READS_AT_PRIMARY;
}

bool job_is_repeatable(const relay_job_t *job)
{
	return !job->request.writes && !job->request.begin_id && !job->pin;
}

void job_schedule_timer(relay_job_t *job)
{
	const uint64_t now_ms = clock_boot_ms();
	uint64_t due_ms = job->deadline_ms;
	struct timeval delay;

	if (job->retry_at_ms)
		due_ms = MIN(due_ms, job->retry_at_ms);
	if (job->hedge_at_ms)
		due_ms = MIN(due_ms, job->hedge_at_ms);
	if (job->parked.queue_link || job->waiting_at)
		due_ms = MIN(due_ms, now_ms + WAIT_ESTIMATE_CHECK_MS);
	if (job->ending || job->unproved.body)
		due_ms = job->ending ? now_ms : now_ms + LEASE_POLL_MS;
	delay = clock_timeval(due_ms > now_ms ? due_ms - now_ms : 0);
	event_add(job->timer, &delay);
}

void job_stop_waiting(relay_job_t *job)
{
	if (job->waiting_at)
		relay_server_cancel_wait(job->waiting_at, &job->waiter);
	job->waiting_at = NULL;
	relay_service_unpark(job->service, &job->parked);
	job->retry_at_ms = 0;
}

void job_abandon_attempts(relay_job_t *job)
{
	for (uint32_t i = 0; i < job->attempts_count; i++)
		if (job->request.writes || job->request.begin_id)
			relay_attempt_discard(job->attempts[i]);
		else
			relay_attempt_abandon(job->attempts[i]);
	job->attempts_count = 0;
}

void job_free(relay_job_t *job)
{
	job_stop_waiting(job);
	job_abandon_attempts(job);
	if (job->unproved.body)
		g_byte_array_unref(job->unproved.body);
	event_free(job->timer);
	g_free(job);
}

void job_retry_later(relay_job_t *job)
{
	job->retry_at_ms = clock_boot_ms() + job->retry_delay_ms;
	job->retry_delay_ms = MIN(2 * job->retry_delay_ms, RETRY_DELAY_MS_MAX);
	job_schedule_timer(job);
}

void job_retry_now(relay_job_t *job)
{
	job->retry_at_ms = clock_boot_ms();
	job_schedule_timer(job);
}

void job_attempt_remove(relay_job_t *job, const relay_attempt_t *attempt)
{
	for (uint32_t i = 0; i < job->attempts_count; i++)
		if (job->attempts[i] == attempt)
			job->attempts[i] = job->attempts[--job->attempts_count];
}

static void on_wake(void *context)
{
	job_place(context);
}

/* Sends a read whose attempt is slow to another server as well. */
static void hedge(relay_job_t *job)
{
	relay_server_t *server = relay_attempt_server(job->attempts[0]);

	job->hedge_at_ms = 0;
	if (job->attempts_count >= ATTEMPTS_MAX || job->waiting_at) {
		job_schedule_timer(job);
		return;
	}
	relay_server_record_timeout(server);
	if (!job_needs_primary(job))
		relay_placement_note_tried(&job->placement, server);
	job_place(job);
	job_schedule_timer(job);
}

static void on_deadline(relay_job_t *job)
{
	bool sent = false;

	for (uint32_t i = 0; i < job->attempts_count; i++) {
		sent |= relay_attempt_is_sent(job->attempts[i]);
		/* The caller will be told that the statement is not run. */
		relay_attempt_withdraw(job->attempts[i]);
		relay_server_record_timeout(
			relay_attempt_server(job->attempts[i]));
	}
	if (!sent) {
		job_refuse(job, "deadline", job_takeover_left_ms(job));
		return;
	}
	if (job->request.kind == COMMAND_COMMIT ||
	    (job->request.writes && !job->pin && !job->request.begin_id))
		job_finish_failed(job, RELAY_ERROR_IN_DOUBT,
				  "no answer in time");
	else if (job->pin || job->request.begin_id)
		job_finish_failed(job, RELAY_ERROR_ABORTED,
				  "no answer in time, rolled back");
	else
		job_finish_failed(job, RELAY_ERROR_TIMEOUT,
				  "no answer in time");
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_job_t *job = context;
	const uint64_t now_ms = clock_boot_ms();

	if (job->ending)
		job_finish_failed(job, job->error, job->error_text);
	else if (job->unproved.body)
		job_check_proof(job);
	else if (now_ms >= job->deadline_ms)
		on_deadline(job);
	else if (job->retry_at_ms && now_ms >= job->retry_at_ms) {
		job->retry_at_ms = 0;
		job_place(job);
	} else if (job->hedge_at_ms && now_ms >= job->hedge_at_ms)
		hedge(job);
	else if (!job_check_wait(job))
		job_schedule_timer(job);
}

static relay_job_t *job_new(relay_services_t *services,
			    relay_service_t *service,
			    const relay_request_t *request,
			    relay_job_done_t done, void *context)
{
	const catalog_database_t *database = request->database;
	const char *customer =
		request->customer ? request->customer->name : NULL;
	relay_job_t *job = g_new0(relay_job_t, 1);

	job->service = service;
	job->request = *request;
	job->done = done;
	job->context = context;
	job->retry_delay_ms = RETRY_DELAY_MS;
	job->deadline_ms = request->received_ms + database->timeout_ms;
	if (request->latest_ms)
		job->deadline_ms = MIN(job->deadline_ms, request->latest_ms);
	job->placement = (relay_placement_t){.service = service,
					     .request = &job->request,
					     .deadline_ms = job->deadline_ms};
	job->timer = evtimer_new(relay_services_settings(services)->base,
				 on_timer, job);
	job->waiter = (relay_waiter_t){
		.entry = {.priority = database->priority,
			  .target_ms = request->received_ms +
				       database->target_latency_ms,
			  .deadline_ms = job->deadline_ms,
			  .customer = customer},
		.values = request->values,
		.customer = customer,
		.granted = job_on_granted,
		.refused = job_on_refused,
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

	if (!service) {
		job_fail(job, RELAY_ERROR_OVERLOADED, "unknown service");
		return job;
	}
	service_interest_used(relay_services_interest(services),
			      owner_key(request->database->service),
			      clock_boot_ms());
	job_place(job);
	return job;
}

/* The key of a caller may move to another customer during a transaction. */
static bool serves_customer(const relay_job_t *job)
{
	return !g_strcmp0(relay_link_state(job->pin->link)->customer,
			  job->waiter.customer);
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
		job_fail(job, RELAY_ERROR_ABORTED,
			 "connection lost, rolled back");
	else if (!serves_customer(job))
		job_fail(job, RELAY_ERROR_ABORTED,
			 "customer changed, rolled back");
	else if (needs_lease && !job_may_acknowledge(job))
		job_fail(job, RELAY_ERROR_ABORTED,
			 "the primary may have been replaced, rolled back");
	else
		job_run_on(job, pin->server, pin->link);
	return job;
}

bool relay_job_is_unsent(const relay_job_t *job)
{
	return !job->attempts_started;
}

void relay_job_expire(relay_job_t *job)
{
	if (job->ending) {
		job_finish_failed(job, job->error, job->error_text);
	} else if (job->unproved.body) {
		job->proof_deadline_ms = 0;
		job_check_proof(job);
	} else {
		on_deadline(job);
	}
}

void relay_job_cancel(relay_job_t *job)
{
	job_close_pin(job);
	job_free(job);
}

#include "relay/relay_job_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/wait_estimate.h"
#include "relay/relay_pin.h"

/* Maximum time to wait for the proof that a change may be acknowledged. */
#define ACKNOWLEDGE_MS_MAX 1500

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

void job_finish(relay_job_t *job, const relay_result_t *result)
{
	const relay_job_done_t done = job->done;
	void *const context = job->context;

	log_end(job, result);
	count_end(job, result);
	job_free(job);
	done(context, result);
}

void job_close_pin(relay_job_t *job)
{
	if (!job->pin)
		return;
	if (job->attempts_count)
		relay_attempt_detach_link(job->attempts[0]);
	job->attempts_count = 0;
	relay_pin_close(job->pin);
	job->pin = NULL;
}

void job_fail(relay_job_t *job, relay_error_t error, const char *text)
{
	job_stop_waiting(job);
	job->ending = true;
	job->error = error;
	g_strlcpy(job->error_text, text, sizeof(job->error_text));
	job_schedule_timer(job);
}

void job_finish_failed(relay_job_t *job, relay_error_t error, const char *text)
{
	const bool in_transaction = (job->pin || job->request.begin_id) &&
				    job->request.kind != COMMAND_COMMIT;
	/* The text may be the job's own, which is freed before it is used. */
	g_autofree char *copy = g_strdup(text);
	const relay_result_t result = {
		.failed = true,
		.error = error,
		.text = copy,
		.status = in_transaction ? 'E' : 'I',
		.unsent = relay_job_is_unsent(job),
	};

	job_close_pin(job);
	job_finish(job, &result);
}

static void count_refusal(const relay_job_t *job, const char *reason)
{
	const relay_services_settings_t *settings =
		relay_services_settings(relay_service_services(job->service));
	g_autofree char *labels =
		metrics_labels("service", relay_service_name(job->service),
			       "reason", reason, NULL);

	metric_add(metrics_counter(settings->metrics,
				   "toucanhook_statements_refused_total",
				   labels),
		   1);
}

static int64_t lease_left_ms(const relay_job_t *job)
{
	node_lease_t *node =
		relay_services_lease(relay_service_services(job->service));

	return (int64_t)(primary_lease_until_ms(
				 relay_service_lease(job->service), node) -
			 clock_boot_ms());
}

uint64_t job_takeover_left_ms(const relay_job_t *job)
{
	const uint64_t now_ms = clock_boot_ms();
	takeover_end_t end;

	if (!relay_service_takeover_end(job->service, &end) ||
	    end.latest_ms <= now_ms)
		return 0;
	return end.latest_ms - now_ms;
}

void job_refuse(relay_job_t *job, const char *reason, uint64_t ready_ms)
{
	const uint32_t retry_ms = wait_estimate_retry_ms(
		ready_ms,
		relay_services_random(relay_service_services(job->service)));
	g_autofree char *text =
		g_strdup_printf("not run, retry after %u ms", retry_ms);

	log_event(LOG_LEVEL_INFO, "statement_refused",
		  "id=%s service=%s reason=%s waited_ms=%" PRIu64
		  " parked=%u lease_ms=%" PRId64 " takeover_ms=%" PRIu64
		  " retry_ms=%u",
		  job->request.id, relay_service_name(job->service), reason,
		  clock_boot_ms() - job->request.received_ms,
		  relay_service_parked_count(job->service), lease_left_ms(job),
		  job_takeover_left_ms(job), retry_ms);
	count_refusal(job, reason);
	job_fail(job,
		 job->pin || job->request.begin_id ? RELAY_ERROR_ABORTED :
						     RELAY_ERROR_OVERLOADED,
		 text);
}

bool job_may_acknowledge(const relay_job_t *job)
{
	const primary_lease_t *lease = relay_service_lease(job->service);

	return relay_service_primary_valid(job->service) &&
	       lease->term == job->term;
}

void job_hold(relay_job_t *job, const relay_result_t *result)
{
	log_event(LOG_LEVEL_WARNING, "acknowledgement_held",
		  "id=%s service=%s term=%" PRIu64, job->request.id,
		  relay_service_name(job->service), job->term);
	job_abandon_attempts(job);
	job->unproved = *result;
	job->unproved.body = g_byte_array_ref(result->body);
	job->unproved.text = NULL;
	job->proof_deadline_ms = clock_boot_ms() + ACKNOWLEDGE_MS_MAX;
	job_schedule_timer(job);
}

void job_check_proof(relay_job_t *job)
{
	const primary_lease_t *lease = relay_service_lease(job->service);
	g_autoptr(GByteArray) body = job->unproved.body;
	relay_result_t result = job->unproved;

	if (job_may_acknowledge(job)) {
		job->unproved.body = NULL;
		job_finish(job, &result);
		return;
	}
	if (lease->term == job->term &&
	    clock_boot_ms() < job->proof_deadline_ms) {
		g_steal_pointer(&body);
		job_schedule_timer(job);
		return;
	}
	job->unproved.body = NULL;
	job_finish_failed(job, RELAY_ERROR_IN_DOUBT,
			  "the primary may have been replaced");
}

#include "relay/relay_job_private.h"

#include "base/clock.h"
#include "coordination/wait_estimate.h"
#include "relay/relay_pin.h"

/*
 * Delay after which an unanswered read is also sent to another server, as a
 * multiple of the server's mean run time, and its bounds.
 */
#define HEDGE_FACTOR 4
#define HEDGE_DELAY_MS_MIN 150
#define HEDGE_DELAY_MS_MAX 450

/*
 * Time after which a server that was sent too much is tried again, where
 * nothing better is known; its budget grows again within that time.
 */
#define READY_MS_DEFAULT 250

void job_run_on(relay_job_t *job, relay_server_t *server, relay_link_t *link)
{
	job->attempts_started++;
	job->attempt_started_ms = clock_boot_ms();
	outlier_record_sent(relay_server_outlier(server),
			    job->attempt_started_ms);
	g_strlcpy(job->server, relay_server_entry(server)->id,
		  sizeof(job->server));
	job->attempts[job->attempts_count++] =
		relay_attempt_start(job->service, server, link, &job->request,
				    job->after, job_on_attempt_done, job);
	if (job_is_repeatable(job) && job->attempts_count < ATTEMPTS_MAX &&
	    send_budget_is_free(relay_server_budget(server), clock_boot_ms()))
		job->hedge_at_ms =
			clock_boot_ms() +
			CLAMP(HEDGE_FACTOR * relay_server_mean_run_ms(server),
			      HEDGE_DELAY_MS_MIN, HEDGE_DELAY_MS_MAX);
	job_schedule_timer(job);
}

void job_on_granted(void *context, relay_server_t *server, relay_link_t *link)
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
		job_refuse(job, "late", relay_server_wait_ms(server));
		return;
	}
	job_run_on(job, server, link);
}

void job_on_refused(void *context, relay_server_t *server)
{
	relay_job_t *job = context;

	job->waiting_at = NULL;
	if (!job_needs_primary(job))
		relay_placement_note_tried(&job->placement, server);
	if (!job->attempts_count)
		job_retry_later(job);
}

static void wait_for_link(relay_job_t *job, relay_server_t *server)
{
	const bool allowed = relay_placement_allows(&job->placement, server);

	send_budget_offered(relay_server_budget(server),
			    relay_placement_rank(&job->placement), allowed,
			    clock_boot_ms());
	if (!allowed) {
		if (!job->attempts_count)
			job_refuse(job, "budget", READY_MS_DEFAULT);
		return;
	}
	if (!relay_server_can_serve(server, &job->waiter, clock_boot_ms())) {
		if (!job->attempts_count)
			job_refuse(job, "queue", relay_server_wait_ms(server));
		return;
	}
	job->waiting_at = server;
	job->waiting_since_ms = clock_boot_ms();
	relay_server_acquire(server, &job->waiter);
	if (job->waiting_at)
		job_schedule_timer(job);
}

/* @return whether a takeover will probably end too late for the statement */
static bool waits_in_vain(const relay_job_t *job)
{
	wait_for_primary_t wait = {.now_ms = clock_boot_ms(),
				   .deadline_ms = job->deadline_ms};
	const relay_server_t *any = NULL;

	if (job->attempts_count ||
	    !relay_service_takeover_end(job->service, &wait.end))
		return false;
	if (relay_service_servers(job->service)->len)
		any = relay_service_servers(job->service)->pdata[0];
	wait.run_ms = any ? relay_server_mean_run_ms(any) : 0;
	return !wait_estimate_primary(&wait);
}

/* @return whether a read should look for another server than it waits at */
static bool should_move(const relay_job_t *job)
{
	const relay_server_t *server = job->waiting_at;
	const uint64_t now_ms = clock_boot_ms();
	wait_for_connection_t wait = {
		.waited_ms = now_ms - job->waiting_since_ms,
		.left_ms = job->deadline_ms - MIN(now_ms, job->deadline_ms),
	};

	if (!server || job->attempts_count || job->term)
		return false;
	wait.answers = relay_server_open_count(server) &&
		       relay_server_is_usable(server, now_ms);
	return wait_estimate_moves(&wait);
}

/*
 * @return whether the job waits for a connection to a server that may no longer
 *         be used as the primary
 */
static bool waits_at_former_primary(const relay_job_t *job)
{
	return job->waiting_at && !job->attempts_count && job->term &&
	       relay_service_primary(job->service) != job->waiting_at;
}

bool job_check_wait(relay_job_t *job)
{
	if (waits_at_former_primary(job)) {
		job_place(job);
		return true;
	}
	if (job->parked.queue_link && waits_in_vain(job)) {
		job_refuse(job, "takeover", job_takeover_left_ms(job));
		return true;
	}
	if (!should_move(job))
		return false;
	relay_placement_note_tried(&job->placement, job->waiting_at);
	job_place(job);
	return true;
}

static void place_at_primary(relay_job_t *job)
{
	relay_server_t *primary = relay_service_primary(job->service);

	job->after = (log_point_t){0};
	if (!primary && waits_in_vain(job)) {
		job_refuse(job, "takeover", job_takeover_left_ms(job));
		return;
	}
	if (!primary) {
		relay_service_park(job->service, &job->parked);
		job_schedule_timer(job);
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
	job_schedule_timer(job);
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
			job_retry_later(job);
		return;
	}
	job->after = point;
	job->term = 0;
	if (wait_for_replica(job, server))
		return;
	wait_for_link(job, server);
}

void job_place(relay_job_t *job)
{
	job_stop_waiting(job);
	if (job->pin)
		job_run_on(job, job->pin->server, job->pin->link);
	else if (job_needs_primary(job))
		place_at_primary(job);
	else
		place_read(job);
}

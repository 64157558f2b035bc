#include "daemon/group_private.h"

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"

/** Poll interval while a waiter waits for a point. */
#define WATCH_FAST_POLL_MS 2

/** Maximum poll interval while the server does not answer. */
#define WATCH_FAILED_POLL_MS 100

typedef struct {
	group_wait_t kind;
	log_point_t point;
	uint64_t since_ms;
	uint64_t sequence; /**< number of the last poll before the wait */
	uint64_t deadline_ms;
	group_operation_done_t done;
	void *context;
} watch_waiter_t;

typedef struct {
	group_watch_t *watch;
	bool refused; /**< the operation was refused; queries the status now */
	group_operation_done_t done;
	void *context;
} watch_run_t;

struct group_watch {
	group_server_t *server;
	backend_control_t *control;
	struct event *timer;
	GQueue *waiters;
	uint32_t poll_ms;
	uint32_t failures;
	bool polling;
	uint64_t sequence; /**< number of polls started */
	uint64_t polled_at_ms;
};

static void watch_poll(group_watch_t *watch);

static bool waiter_reached(const watch_waiter_t *waiter,
			   const server_status_t *status)
{
	const log_point_t reached = waiter->kind == GROUP_WAIT_HELD ?
					    status->last :
					    status->replayed;

	return log_point_covers(reached, waiter->point);
}

/* Ends the waiters that the last poll satisfies or that have timed out. */
static void watch_end_waiters(group_watch_t *watch, server_result_t result,
			      const server_status_t *status)
{
	const uint64_t now_ms = clock_now_ms();
	GQueue waiting = *watch->waiters;
	watch_waiter_t *waiter;

	g_queue_init(watch->waiters);
	while ((waiter = g_queue_pop_head(&waiting))) {
		const bool is_newer = waiter->sequence < watch->sequence;
		const bool reached =
			is_newer && status && waiter_reached(waiter, status);
		const bool failed = is_newer && !status && result != SERVER_OK;

		if (!reached && !failed && now_ms < waiter->deadline_ms) {
			g_queue_push_tail(watch->waiters, waiter);
			continue;
		}
		if (is_newer && status)
			waiter->done(waiter->context, SERVER_OK, status);
		else
			waiter->done(waiter->context, SERVER_UNREACHABLE, NULL);
		g_free(waiter);
	}
}

static void watch_schedule(group_watch_t *watch)
{
	uint32_t wait_ms = watch->poll_ms;
	struct timeval wait;

	if (watch->failures)
		wait_ms = MIN(wait_ms, WATCH_FAILED_POLL_MS);
	else if (!g_queue_is_empty(watch->waiters))
		wait_ms = WATCH_FAST_POLL_MS;
	wait = clock_timeval(wait_ms);
	event_add(watch->timer, &wait);
}

static void on_status(void *context, server_result_t result,
		      const server_status_t *status, uint64_t sent_at_ms)
{
	group_watch_t *watch = context;

	watch->polling = false;
	if (status) {
		watch->failures = 0;
		group_server_record_status(watch->server, status, sent_at_ms);
	} else {
		watch->failures++;
		group_database_wake(watch->server->database);
	}
	group_failover_record_poll(watch->server, status, watch->failures);
	watch_end_waiters(watch, result, status);
	watch_schedule(watch);
}

static void watch_poll(group_watch_t *watch)
{
	const backend_control_request_t request = {.operation = SERVER_STATUS};

	if (watch->polling)
		return;
	watch->polling = true;
	watch->sequence++;
	watch->polled_at_ms = clock_now_ms();
	backend_control_submit(watch->control, &request, on_status, watch);
}

static void on_timer(evutil_socket_t fd, short events, void *context)
{
	watch_poll(context);
}

static void on_control_failure(void *context)
{
	group_watch_poll_now(context);
}

group_watch_t *group_watch_create(group_server_t *server)
{
	group_watch_t *watch = g_new0(group_watch_t, 1);
	const group_database_t *database = server->database;
	struct event_base *base = database->task->base;
	const backend_control_params_t params = {
		.address = server->address,
		.port = server->port,
		.database = database->name,
		.user = database->user,
		.timeout_ms = GROUP_SERVER_TIMEOUT_MS,
		.on_connection_failure = on_control_failure,
		.context = watch,
	};

	watch->server = server;
	watch->poll_ms = MAX(database->limits.poll_ms, 1);
	watch->waiters = g_queue_new();
	watch->control = backend_control_create(base, &params);
	watch->timer = evtimer_new(base, on_timer, watch);
	watch_poll(watch);
	return watch;
}

void group_watch_destroy(group_watch_t *watch)
{
	watch_waiter_t *waiter;

	if (!watch)
		return;
	backend_control_destroy(watch->control);
	event_free(watch->timer);
	while ((waiter = g_queue_pop_head(watch->waiters))) {
		waiter->done(waiter->context, SERVER_UNREACHABLE, NULL);
		g_free(waiter);
	}
	g_queue_free(watch->waiters);
	g_free(watch);
}

static void on_run(void *context, server_result_t result,
		   const server_status_t *status, uint64_t sent_at_ms)
{
	const backend_control_request_t request = {.operation = SERVER_STATUS};
	watch_run_t *run = context;

	if (status)
		group_server_record_status(run->watch->server, status,
					   sent_at_ms);
	if (result == SERVER_REFUSED && !run->refused) {
		run->refused = true;
		backend_control_submit(run->watch->control, &request, on_run,
				       run);
		return;
	}
	run->done(run->context, run->refused ? SERVER_REFUSED : result, status);
	g_free(run);
}

void group_watch_run(group_watch_t *watch,
		     const backend_control_request_t *request,
		     group_operation_done_t done, void *context)
{
	watch_run_t *run = g_new0(watch_run_t, 1);

	run->watch = watch;
	run->done = done;
	run->context = context;
	backend_control_submit(watch->control, request, on_run, run);
}

void group_watch_wait(group_watch_t *watch, group_wait_t kind,
		      log_point_t point, uint32_t timeout_ms,
		      group_operation_done_t done, void *context)
{
	watch_waiter_t *waiter = g_new0(watch_waiter_t, 1);

	waiter->kind = kind;
	waiter->point = point;
	waiter->sequence = watch->sequence;
	waiter->deadline_ms = clock_now_ms() + timeout_ms;
	waiter->done = done;
	waiter->context = context;
	g_queue_push_tail(watch->waiters, waiter);
	if (!watch->polling)
		event_active(watch->timer, 0, 0);
}

void group_watch_poll_now(group_watch_t *watch)
{
	if (!watch->polling)
		event_active(watch->timer, 0, 0);
}

uint32_t group_watch_failures(const group_watch_t *watch)
{
	return watch->failures;
}

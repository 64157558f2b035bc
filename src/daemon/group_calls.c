#include "daemon/group_private.h"

#include "base/clock.h"
#include "base/log.h"

typedef struct {
	group_database_t *database;
	log_point_t point;
	group_done_t done;
	void *context;
} group_confirm_t;

typedef struct {
	group_task_t *task;
	log_point_t point;
	group_done_t done;
	void *context;
} group_replay_wait_t;

group_server_t *group_task_server(group_task_t *group, const char *database,
				  const char *server)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);

	return found ? group_database_server(found, server) : NULL;
}

static void on_confirmed(void *context, bool proven, log_point_t point,
			 uint64_t age_ms)
{
	group_confirm_t *confirm = context;
	const group_task_t *task = confirm->database->task;

	if (proven)
		metric_histogram_record(task->evidence_age, age_ms * 1000);
	else
		metric_add(task->confirms_late, 1);
	if (!proven)
		log_event(LOG_LEVEL_WARNING, "evidence_short",
			  "database=%s term=%" G_GUINT64_FORMAT
			  " position=%" G_GUINT64_FORMAT,
			  confirm->database->name, confirm->point.term,
			  confirm->point.position);
	if (!task->ending)
		confirm->done(confirm->context, proven);
	g_free(confirm);
}

static void on_failed_call(evutil_socket_t fd, short events, void *context)
{
	group_confirm_t *confirm = context;

	confirm->done(confirm->context, false);
	g_free(confirm);
}

/* Reports a call that cannot start as failed, from the event loop. */
static void fail_later(group_task_t *group, group_done_t done, void *context)
{
	const struct timeval now = {0};
	group_confirm_t *failed = g_new0(group_confirm_t, 1);

	failed->done = done;
	failed->context = context;
	event_base_once(group->base, -1, EV_TIMEOUT, on_failed_call, failed,
			&now);
}

void group_task_confirm(group_task_t *group, const char *database,
			log_point_t point, uint32_t timeout_ms,
			group_done_t done, void *done_context)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);
	group_confirm_t *confirm;

	if (!found) {
		fail_later(group, done, done_context);
		return;
	}
	confirm = g_new0(group_confirm_t, 1);
	confirm->database = found;
	confirm->point = point;
	confirm->done = done;
	confirm->context = done_context;
	evidence_commit(found->evidence, point, clock_now_ms() + timeout_ms,
			on_confirmed, confirm);
	group_database_wake(found);
}

static void on_replayed(void *context, server_result_t result,
			const server_status_t *status)
{
	group_replay_wait_t *replay = context;

	if (!replay->task->ending)
		replay->done(replay->context,
			     status && log_point_covers(status->replayed,
							replay->point));
	g_free(replay);
}

void group_task_wait_replayed(group_task_t *group, const char *database,
			      const char *server, log_point_t point,
			      uint32_t timeout_ms, group_done_t done,
			      void *done_context)
{
	const group_server_t *found =
		group_task_server(group, database, server);
	group_replay_wait_t *replay;

	if (!found || !found->watch) {
		fail_later(group, done, done_context);
		return;
	}
	replay = g_new0(group_replay_wait_t, 1);
	replay->task = group;
	replay->point = point;
	replay->done = done;
	replay->context = done_context;
	group_watch_wait(found->watch, GROUP_WAIT_REPLAYED, point, timeout_ms,
			 on_replayed, replay);
}

/* A barrier of an unknown database, which fails. */
typedef struct {
	group_barrier_done_t done;
	void *context;
} group_failed_barrier_t;

static void on_failed_barrier(void *context, bool confirmed)
{
	group_failed_barrier_t *failed = context;

	failed->done(failed->context, (log_point_t){0});
	g_free(failed);
}

void group_task_barrier(group_task_t *group, const char *database,
			uint32_t timeout_ms, group_barrier_done_t done,
			void *done_context)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);
	group_failed_barrier_t *failed;

	if (found) {
		group_rounds_barrier(found, timeout_ms, done, done_context);
		return;
	}
	failed = g_new0(group_failed_barrier_t, 1);
	failed->done = done;
	failed->context = done_context;
	fail_later(group, on_failed_barrier, failed);
}

bool group_task_is_fresh(group_task_t *group, const char *database,
			 const char *server, uint32_t max_age_ms)
{
	group_server_t *found = group_task_server(group, database, server);

	return found && found->watch &&
	       group_freshness_is_within(found, max_age_ms);
}

log_point_t group_task_replayed(group_task_t *group, const char *database,
				const char *server)
{
	const group_server_t *found =
		group_task_server(group, database, server);

	if (!found || !found->known)
		return (log_point_t){0};
	return found->status.replayed;
}

void group_task_server_failed(group_task_t *group, const char *database,
			      const char *server)
{
	const group_server_t *found =
		group_task_server(group, database, server);

	if (found && found->watch)
		group_watch_poll_now(found->watch);
}

void group_task_promote(group_task_t *group, const char *database,
			const char *server)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);

	if (found)
		group_failover_order(found, server);
}

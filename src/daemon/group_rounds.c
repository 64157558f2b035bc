#include "daemon/group_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"

/** Timeout of one status request of an evidence round. */
#define ROUND_REQUEST_TIMEOUT_MS 700

/** Time to wait for a barrier at one node before trying the next node. */
#define BARRIER_RETRY_MS 150

/** Delay before trying the next node when one could not prove the barrier. */
#define BARRIER_PAUSE_MS 20

/** Maximum number of barriers of one database that wait for another node. */
#define BARRIER_WAITER_LIMIT 8192

/** Maximum number of nodes to try. */
#define BARRIER_NODE_LIMIT 32

/** Maximum timeout that a peer may request. */
#define BARRIER_TIMEOUT_MS_MAX 5000

typedef struct {
	group_database_t *database;
	uint32_t server;
	uint64_t round;
} round_request_t;

typedef struct {
	group_database_t *database;
	uint64_t deadline_ms;
	group_barrier_done_t done;
	void *context;
} barrier_waiter_t;

typedef struct {
	group_database_t *database;
	char *from;
	uint64_t id;
} barrier_served_t;

static void on_round_answer(void *context, server_result_t result,
			    const server_status_t *status)
{
	round_request_t *request = context;
	group_database_t *database = request->database;

	if (!database->task->ending) {
		evidence_answer(database->evidence, clock_now_ms(),
				request->server, request->round, status);
		group_database_wake(database);
	}
	g_free(request);
}

static void on_round_request(void *context, uint32_t server, uint64_t round,
			     log_point_t wanted, uint32_t wait_ms)
{
	group_database_t *database = context;
	const group_operation_t operation = {
		.operation = SERVER_STATUS,
		.point = wanted,
		.wait_ms = wait_ms,
		.timeout_ms = ROUND_REQUEST_TIMEOUT_MS,
	};
	round_request_t *request = g_new0(round_request_t, 1);

	request->database = database;
	request->server = server;
	request->round = round;
	group_requests_start(database->task->requests,
			     &database->servers[server], &operation,
			     on_round_answer, request);
}

void group_rounds_open(group_database_t *database)
{
	const evidence_rule_t rule = {
		.servers = database->servers_count,
		.replicas = database->replicas,
		.valid_ms = database->limits.evidence_valid_ms,
		.guards = EVIDENCE_GUARD_ALL,
	};
	const evidence_handlers_t handlers = {
		.send_request = on_round_request,
		.context = database,
	};

	database->evidence = evidence_create(rule, handlers);
	database->barriers.in_flight = g_queue_new();
	database->barriers.waiting = g_queue_new();
}

static void barrier_end(barrier_waiter_t *waiter, log_point_t point)
{
	if (!waiter->database->task->ending)
		waiter->done(waiter->context, point);
	g_free(waiter);
}

static void barriers_expire(GQueue *waiters, uint64_t now_ms)
{
	GQueue waiting = *waiters;
	barrier_waiter_t *waiter;

	g_queue_init(waiters);
	while ((waiter = g_queue_pop_head(&waiting))) {
		if (now_ms < waiter->deadline_ms)
			g_queue_push_tail(waiters, waiter);
		else
			barrier_end(waiter, (log_point_t){0});
	}
}

void group_rounds_close(group_database_t *database)
{
	evidence_abandon(database->evidence);
	barriers_expire(database->barriers.in_flight, UINT64_MAX);
	barriers_expire(database->barriers.waiting, UINT64_MAX);
	group_requests_forget(database->task->requests, database);
	evidence_destroy(database->evidence);
	g_queue_free(database->barriers.in_flight);
	g_queue_free(database->barriers.waiting);
}

void group_rounds_update_view(group_database_t *database,
			      const group_view_t *view)
{
	evidence_replaced(database->evidence, view->term);
	database->barriers.next_try_ms = 0;
	database->barriers.tries = 0;
}

static bool primary_is_owned(const group_database_t *database,
			     const group_view_t *view)
{
	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!strcmp(database->servers[i].name, view->primary))
			return database->servers[i].watch != NULL;
	return false;
}

static void on_proven(void *context, bool proven, log_point_t point,
		      uint64_t age_ms)
{
	barrier_waiter_t *waiter = context;

	barrier_end(waiter, proven ? point : (log_point_t){0});
}

void group_rounds_barrier(group_database_t *database, uint32_t timeout_ms,
			  group_barrier_done_t done, void *context)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	group_barriers_t *barriers = &database->barriers;
	barrier_waiter_t *waiter = g_new0(barrier_waiter_t, 1);

	waiter->database = database;
	waiter->deadline_ms = clock_now_ms() + timeout_ms;
	waiter->done = done;
	waiter->context = context;
	group_database_wake(database);
	if (primary_is_owned(database, &view)) {
		evidence_barrier(database->evidence, waiter->deadline_ms,
				 on_proven, waiter);
		return;
	}
	if (g_queue_get_length(barriers->waiting) >= BARRIER_WAITER_LIMIT)
		waiter->deadline_ms = 0;
	g_queue_push_tail(barriers->waiting, waiter);
}

/*
 * Lists the owners of the primary first. Owners of the replicas follow because
 * this node may have missed a change of primary, which they then announce.
 */
static uint32_t barrier_nodes(const group_database_t *database,
			      const group_view_t *view, const char **nodes)
{
	const group_handlers_t *handlers = &database->task->handlers;
	uint32_t count =
		handlers->owners(handlers->context, database->name,
				 view->primary, nodes, BARRIER_NODE_LIMIT);

	for (uint32_t i = 0; i < database->servers_count; i++)
		if (strcmp(database->servers[i].name, view->primary))
			count += handlers->owners(
				handlers->context, database->name,
				database->servers[i].name, nodes + count,
				BARRIER_NODE_LIMIT - count);
	return count;
}

static void barriers_send(group_database_t *database, uint64_t now_ms)
{
	group_task_t *task = database->task;
	group_barriers_t *barriers = &database->barriers;
	const group_view_t view = group_table_view(task->table, database->name);
	const char *nodes[BARRIER_NODE_LIMIT];
	const uint32_t count = barrier_nodes(database, &view, nodes);
	group_note_t note = {
		.kind = GROUP_NOTE_BARRIER,
		.id = barriers->id,
		.term = view.term,
		.timeout_ms = BARRIER_TIMEOUT_MS_MAX,
	};

	barriers->next_try_ms = now_ms + BARRIER_RETRY_MS;
	if (!count)
		return;
	for (GList *link = barriers->in_flight->head; link; link = link->next) {
		const barrier_waiter_t *waiter = link->data;

		if (link == barriers->in_flight->head)
			note.timeout_ms = 1;
		note.timeout_ms = MAX(note.timeout_ms,
				      (uint32_t)(waiter->deadline_ms - now_ms));
	}
	g_strlcpy(note.database, database->name, sizeof(note.database));
	group_task_send(task, nodes[barriers->tries++ % count], &note);
}

/* One barrier is in flight at a time; later waiters join the next barrier. */
static uint64_t barriers_step(group_database_t *database, uint64_t now_ms)
{
	group_barriers_t *barriers = &database->barriers;
	GQueue *empty_queue;

	barriers_expire(barriers->in_flight, now_ms);
	barriers_expire(barriers->waiting, now_ms);
	if (g_queue_is_empty(barriers->in_flight)) {
		if (g_queue_is_empty(barriers->waiting))
			return UINT64_MAX;
		empty_queue = barriers->in_flight;
		barriers->in_flight = barriers->waiting;
		barriers->waiting = empty_queue;
		barriers->id = database->task->next_id++;
		barriers->tries = 0;
		barriers->next_try_ms = now_ms;
	}
	if (now_ms >= barriers->next_try_ms)
		barriers_send(database, now_ms);
	return barriers->next_try_ms;
}

uint64_t group_rounds_step(group_database_t *database, uint64_t now_ms)
{
	const uint64_t barriers_due_ms = barriers_step(database, now_ms);

	const uint64_t rounds = evidence_rounds(database->evidence);

	evidence_step(database->evidence, now_ms);
	metric_add(database->task->rounds,
		   evidence_rounds(database->evidence) - rounds);
	return MIN(evidence_due_ms(database->evidence), barriers_due_ms);
}

static void on_served(void *context, bool proven, log_point_t point,
		      uint64_t age_ms)
{
	barrier_served_t *served = context;
	group_note_t note = {
		.kind = GROUP_NOTE_BARRIER_ANSWER,
		.id = served->id,
	};

	if (proven)
		note.point = point;
	g_strlcpy(note.database, served->database->name, sizeof(note.database));
	if (!served->database->task->ending)
		group_task_send(served->database->task, served->from, &note);
	g_free(served->from);
	g_free(served);
}

void group_rounds_serve(group_database_t *database, const char *from,
			const group_note_t *note)
{
	const uint32_t timeout_ms =
		MIN(note->timeout_ms, BARRIER_TIMEOUT_MS_MAX);
	barrier_served_t *served = g_new0(barrier_served_t, 1);

	served->database = database;
	served->from = g_strdup(from);
	served->id = note->id;
	evidence_barrier(database->evidence, clock_now_ms() + timeout_ms,
			 on_served, served);
	group_database_wake(database);
}

void group_rounds_handle_answer(group_database_t *database,
				const group_note_t *note)
{
	group_barriers_t *barriers = &database->barriers;
	GQueue in_flight;
	barrier_waiter_t *waiter;

	if (note->id != barriers->id || g_queue_is_empty(barriers->in_flight))
		return;
	group_database_wake(database);
	if (!note->point.term) {
		barriers->next_try_ms = clock_now_ms() + BARRIER_PAUSE_MS;
		return;
	}
	in_flight = *barriers->in_flight;
	g_queue_init(barriers->in_flight);
	while ((waiter = g_queue_pop_head(&in_flight)))
		barrier_end(waiter, note->point);
}

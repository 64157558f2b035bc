#include "daemon/dispatch_task.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/owner.h"
#include "coordination/retry.h"
#include "coordination/route.h"

/* How often a database that has waiting requests is asked for a primary. */
#define PROBE_INTERVAL_MS 100u
#define PROBE_TIMEOUT_MS 1000u
/* A waiting read asks the replicas again this often: one may catch up. */
#define READ_AGAIN_MS 100u
/* Time in which an answer of a replaced primary may still arrive. */
#define REPLACED_GRACE_MS 200u
/* Waiting requests of one database; more are refused. */
#define WAITING_MAX 10000u

/* A transaction's server connection, as this node numbers it. */
typedef struct {
	char *node;
	char *server;
	uint64_t lease_id; /* as the owner numbers it */
} dispatch_lease_t;

/* What waits for a primary of one database. */
typedef struct {
	dispatch_task_t *dispatch;
	char *database;
	GQueue entries; /* dispatch_entry_t, not owned */
	struct event *probe;
	bool probing;
} dispatch_waiting_t;

typedef struct {
	dispatch_task_t *dispatch;
	uint64_t id;
	request_t *request; /* as the caller asked */
	answer_sink_t sink;
	uint64_t started_ms;
	uint64_t attempt_ms;
	uint64_t deadline_ms;
	uint32_t attempts;
	uint32_t tried;
	char *node; /* that runs the attempt, or NULL */
	char *server;
	uint64_t term; /* that the attempt was sent for */
	bool answer_begun;
	bool at_primary;
	bool awaits_replay; /* the attempt may wait for a replica */
	dispatch_waiting_t *waiting;
	struct event *timer; /* deadline while it waits, or a delay */
} dispatch_entry_t;

struct dispatch_task {
	struct event_base *base;
	metrics_t *metrics;
	char *node;
	group_table_t *table;
	dispatch_handlers_t handlers;
	const config_t *config;
	route_t *route;
	GHashTable *entries; /* id -> dispatch_entry_t */
	GHashTable *leases;  /* id -> dispatch_lease_t */
	GHashTable *waiting; /* database -> dispatch_waiting_t */
	GHashTable *budgets; /* tenant -> retry_budget_t */
	uint64_t next_id;
	uint64_t next_lease;
};

static void entry_try(dispatch_entry_t *entry);
static void on_end(void *context, uint64_t request_id, const answer_t *answer);
static void entry_wait(dispatch_entry_t *entry);

static void lease_free(gpointer data)
{
	dispatch_lease_t *lease = data;

	g_free(lease->node);
	g_free(lease->server);
	g_free(lease);
}

static void entry_free(gpointer data)
{
	dispatch_entry_t *entry = data;

	if (entry->waiting)
		g_queue_remove(&entry->waiting->entries, entry);
	if (entry->timer)
		event_free(entry->timer);
	request_delete(entry->request);
	g_free(entry->node);
	g_free(entry->server);
	g_free(entry);
}

static void waiting_free(gpointer data)
{
	dispatch_waiting_t *waiting = data;

	event_free(waiting->probe);
	g_queue_clear(&waiting->entries);
	g_free(waiting->database);
	g_free(waiting);
}

dispatch_task_t *dispatch_task_create(struct event_base *base,
				      metrics_t *metrics, const char *node,
				      const char *failure_domain,
				      group_table_t *table,
				      dispatch_handlers_t handlers)
{
	dispatch_task_t *dispatch = g_new0(dispatch_task_t, 1);

	dispatch->base = base;
	dispatch->metrics = metrics;
	dispatch->node = g_strdup(node);
	dispatch->table = table;
	dispatch->handlers = handlers;
	dispatch->route = route_create(failure_domain);
	dispatch->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, entry_free);
	dispatch->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, lease_free);
	dispatch->waiting = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  waiting_free);
	dispatch->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return dispatch;
}

void dispatch_task_destroy(dispatch_task_t *dispatch)
{
	if (!dispatch)
		return;
	g_hash_table_destroy(dispatch->entries);
	g_hash_table_destroy(dispatch->waiting);
	g_hash_table_destroy(dispatch->leases);
	g_hash_table_destroy(dispatch->budgets);
	route_destroy(dispatch->route);
	g_free(dispatch->node);
	g_free(dispatch);
}

void dispatch_task_configure(dispatch_task_t *dispatch, const config_t *config)
{
	dispatch->config = config;
	route_configure(dispatch->route, config);
}

uint32_t dispatch_task_busy(const dispatch_task_t *dispatch)
{
	return g_hash_table_size(dispatch->entries);
}

static retry_budget_t *budget_get(dispatch_task_t *dispatch, const char *tenant)
{
	retry_budget_t *budget = g_hash_table_lookup(dispatch->budgets, tenant);

	if (budget)
		return budget;
	budget = g_new(retry_budget_t, 1);
	*budget = retry_budget_new();
	g_hash_table_insert(dispatch->budgets, g_strdup(tenant), budget);
	return budget;
}

static void count_event(dispatch_task_t *dispatch, const char *name,
			const char *tenant, const char *what)
{
	g_autofree char *labels =
		g_strdup_printf("tenant=\"%s\",%s", tenant, what);

	metric_add(metrics_counter(dispatch->metrics, name, labels), 1);
}

static void count_read(const dispatch_entry_t *entry)
{
	const request_t *request = entry->request;

	if (request->kind == REQUEST_READ)
		count_event(entry->dispatch, "toucanhook_reads_total",
			    request->tenant,
			    entry->at_primary ? "server=\"primary\"" :
						"server=\"replica\"");
}

/* Ends an entry; the sink may submit again from here. */
static void entry_end(dispatch_entry_t *entry, const answer_t *answer)
{
	const answer_sink_t sink = entry->sink;
	const uint64_t request_id = entry->request->request_id;

	if (answer->outcome == OUTCOME_DONE)
		count_read(entry);
	g_hash_table_remove(entry->dispatch->entries, &entry->id);
	sink.end(sink.context, request_id, answer);
}

static void entry_refuse(dispatch_entry_t *entry, reason_t reason)
{
	const answer_t answer = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = reason,
		.transaction_status = 'I',
	};

	entry_end(entry, &answer);
}

static void entry_leave_waiting(dispatch_entry_t *entry)
{
	if (!entry->waiting)
		return;
	g_queue_remove(&entry->waiting->entries, entry);
	entry->waiting = NULL;
	entry->tried = 0;
}

/*
 * The server of the attempt was replaced and may never answer: it can be
 * frozen, or cut off together with its owners.
 */
static void entry_abandon(dispatch_entry_t *entry)
{
	dispatch_handlers_t *handlers = &entry->dispatch->handlers;
	const bool read = entry->request->kind == REQUEST_READ;
	const answer_t answer = {
		.outcome = read ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
		.reason = read ? REASON_UNREACHABLE : REASON_LOST_ANSWER,
		.transaction_status = 'I',
	};

	handlers->cancel(handlers->context, entry->node, entry->id, entry);
	on_end(entry, entry->id, &answer);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	dispatch_entry_t *entry = context;

	if (entry->node) {
		entry_abandon(entry);
		return;
	}
	if (entry->waiting && clock_now_ms() >= entry->deadline_ms) {
		entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry_leave_waiting(entry);
	entry_try(entry);
}

static void entry_set_timer(dispatch_entry_t *entry, uint64_t delay_ms)
{
	const struct timeval delay = {
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000 * 1000),
	};

	if (!entry->timer)
		entry->timer =
			evtimer_new(entry->dispatch->base, on_timer, entry);
	event_add(entry->timer, &delay);
}

/* Numbers the lease as this node's own and remembers where it is held. */
static uint64_t lease_remember(dispatch_entry_t *entry, uint64_t lease_id)
{
	dispatch_task_t *dispatch = entry->dispatch;
	dispatch_lease_t *lease = g_new0(dispatch_lease_t, 1);
	uint64_t *id = g_new(uint64_t, 1);

	lease->node = g_strdup(entry->node);
	lease->server = g_strdup(entry->server);
	lease->lease_id = lease_id;
	*id = ++dispatch->next_lease;
	g_hash_table_insert(dispatch->leases, id, lease);
	return *id;
}

static void entry_finish(dispatch_entry_t *entry, const answer_t *answer)
{
	answer_t copy = *answer;

	if (entry->request->lease_id && !answer->lease_id)
		g_hash_table_remove(entry->dispatch->leases,
				    &entry->request->lease_id);
	else if (entry->request->lease_id)
		copy.lease_id = entry->request->lease_id;
	else if (answer->lease_id)
		copy.lease_id = lease_remember(entry, answer->lease_id);
	entry_end(entry, &copy);
}

static void entry_learn(dispatch_entry_t *entry, const answer_t *answer)
{
	dispatch_task_t *dispatch = entry->dispatch;
	const char *database = entry->request->database;
	const uint64_t now_ms = clock_now_ms();
	const uint64_t round_trip_ms =
		entry->awaits_replay ? 0 : now_ms - entry->attempt_ms;

	route_answered(dispatch->route, database, entry->server, answer->reason,
		       answer->point, (uint32_t)round_trip_ms, now_ms);
	if (answer->outcome == OUTCOME_DONE &&
	    entry->request->kind != REQUEST_READ)
		route_point_seen(dispatch->route, database, answer->point,
				 now_ms);
	if (answer->primary_term && answer->primary[0] &&
	    group_table_offer(dispatch->table, database, answer->primary_term,
			      answer->primary))
		dispatch_task_primary_changed(dispatch, database);
}

static void on_chunk(void *context, uint64_t request_id, GBytes *bytes)
{
	dispatch_entry_t *entry = context;

	entry->answer_begun = true;
	entry->sink.chunk(entry->sink.context, entry->request->request_id,
			  bytes);
}

static void on_end(void *context, uint64_t request_id, const answer_t *answer)
{
	dispatch_entry_t *entry = context;
	dispatch_task_t *dispatch = entry->dispatch;
	const uint64_t now_ms = clock_now_ms();
	retry_verdict_t verdict;
	uint64_t term;

	entry_learn(entry, answer);
	if (entry->timer)
		event_del(entry->timer);
	verdict = retry_decide(budget_get(dispatch, entry->request->tenant),
			       &(retry_attempt_t){
				       .request = entry->request,
				       .answer = answer,
				       .at_primary = entry->at_primary,
				       .answer_begun = entry->answer_begun,
				       .attempts = entry->attempts,
				       .deadline_ms = entry->deadline_ms,
			       },
			       now_ms);
	if (verdict.kind == RETRY_END) {
		entry_finish(entry, answer);
		return;
	}
	count_event(dispatch, "toucanhook_retries_total",
		    entry->request->tenant,
		    verdict.kind == RETRY_PARK ? "kind=\"parked\"" :
						 "kind=\"again\"");
	g_clear_pointer(&entry->node, g_free);
	term = group_table_view(dispatch->table, entry->request->database).term;
	if (verdict.kind == RETRY_LATER) {
		entry->tried = 0;
		entry_set_timer(entry, verdict.delay_ms);
		return;
	}
	if (verdict.kind == RETRY_PARK && term == entry->term) {
		entry_wait(entry);
		return;
	}
	entry_try(entry);
}

static void on_barrier(void *context, log_point_t point);

static void on_probe(evutil_socket_t fd, short what, void *context)
{
	dispatch_waiting_t *waiting = context;
	const struct timeval interval = {
		.tv_usec = PROBE_INTERVAL_MS * 1000,
	};
	dispatch_handlers_t *handlers = &waiting->dispatch->handlers;

	if (g_queue_is_empty(&waiting->entries))
		return;
	event_add(waiting->probe, &interval);
	if (waiting->probing)
		return;
	waiting->probing = true;
	handlers->barrier(handlers->context, waiting->database,
			  PROBE_TIMEOUT_MS, on_barrier, waiting);
}

static dispatch_waiting_t *waiting_get(dispatch_task_t *dispatch,
				       const char *database)
{
	dispatch_waiting_t *waiting =
		g_hash_table_lookup(dispatch->waiting, database);

	if (waiting)
		return waiting;
	waiting = g_new0(dispatch_waiting_t, 1);
	waiting->dispatch = dispatch;
	waiting->database = g_strdup(database);
	g_queue_init(&waiting->entries);
	waiting->probe = evtimer_new(dispatch->base, on_probe, waiting);
	g_hash_table_insert(dispatch->waiting, waiting->database, waiting);
	return waiting;
}

/* Waits for a primary until the deadline. */
static void entry_wait(dispatch_entry_t *entry)
{
	dispatch_waiting_t *waiting =
		waiting_get(entry->dispatch, entry->request->database);
	const struct timeval interval = {
		.tv_usec = PROBE_INTERVAL_MS * 1000,
	};
	const uint64_t now_ms = clock_now_ms();
	uint64_t wait_ms;

	if (now_ms >= entry->deadline_ms ||
	    g_queue_get_length(&waiting->entries) >= WAITING_MAX) {
		entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry->waiting = waiting;
	g_queue_push_tail(&waiting->entries, entry);
	wait_ms = entry->deadline_ms - now_ms;
	if (entry->request->kind == REQUEST_READ)
		wait_ms = MIN(wait_ms, READ_AGAIN_MS);
	entry_set_timer(entry, wait_ms);
	if (!event_pending(waiting->probe, EV_TIMEOUT, NULL))
		event_add(waiting->probe, &interval);
}

static void waiting_resume(dispatch_waiting_t *waiting)
{
	guint count = g_queue_get_length(&waiting->entries);

	while (count-- > 0) {
		dispatch_entry_t *entry = g_queue_pop_head(&waiting->entries);

		if (!entry)
			return;
		entry->waiting = NULL;
		entry->tried = 0;
		event_del(entry->timer);
		entry_try(entry);
	}
}

static void on_barrier(void *context, log_point_t point)
{
	dispatch_waiting_t *waiting = context;

	waiting->probing = false;
	if (!point.term)
		return;
	route_point_seen(waiting->dispatch->route, waiting->database, point,
			 clock_now_ms());
	waiting_resume(waiting);
}

/* Attempts at a replaced primary get a moment more. */
static void attempts_expire(dispatch_task_t *dispatch, const char *database)
{
	const group_view_t view = group_table_view(dispatch->table, database);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dispatch_entry_t *entry = value;

		if (entry->node && entry->server &&
		    (entry->at_primary || entry->request->lease_id) &&
		    strcmp(entry->server, view.primary) != 0 &&
		    !strcmp(entry->request->database, database))
			entry_set_timer(entry, REPLACED_GRACE_MS);
	}
}

void dispatch_task_primary_changed(dispatch_task_t *dispatch,
				   const char *database)
{
	dispatch_waiting_t *waiting =
		g_hash_table_lookup(dispatch->waiting, database);

	if (waiting)
		waiting_resume(waiting);
	attempts_expire(dispatch, database);
}

/* Where a barrier asked for one entry ends; the entry may be gone. */
typedef struct {
	dispatch_task_t *dispatch;
	uint64_t entry_id;
} barrier_wait_t;

static void on_entry_barrier(void *context, log_point_t point)
{
	g_autofree barrier_wait_t *wait = context;
	dispatch_entry_t *entry =
		g_hash_table_lookup(wait->dispatch->entries, &wait->entry_id);

	if (!entry)
		return;
	if (!point.term) {
		entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry->request->at_least =
		log_point_max(entry->request->at_least, point);
	route_point_seen(entry->dispatch->route, entry->request->database,
			 point, clock_now_ms());
	entry_try(entry);
}

static void entry_barrier(dispatch_entry_t *entry)
{
	dispatch_task_t *dispatch = entry->dispatch;
	barrier_wait_t *wait = g_new(barrier_wait_t, 1);
	const uint64_t now_ms = clock_now_ms();

	*wait = (barrier_wait_t){dispatch, entry->id};
	dispatch->handlers.barrier(dispatch->handlers.context,
				   entry->request->database,
				   (uint32_t)(entry->deadline_ms - now_ms),
				   on_entry_barrier, wait);
}

/* An owner of the server; attempts and sessions spread over all of them. */
static const char *owner_choose(const dispatch_entry_t *entry,
				const config_service_t *service,
				const config_server_t *server)
{
	const dispatch_task_t *dispatch = entry->dispatch;
	const char *nodes[OWNER_LIMIT];
	const uint32_t count = dispatch->handlers.owners(
		dispatch->handlers.context, service, server, nodes);

	if (!count)
		return NULL;
	if (entry->attempts == 0)
		for (uint32_t i = 0; i < count; i++)
			if (!strcmp(nodes[i], dispatch->node))
				return nodes[i];
	return nodes[(entry->request->session_id + entry->attempts) % count];
}

static void entry_send(dispatch_entry_t *entry, const char *node,
		       const char *server, uint64_t term, uint64_t lease_id)
{
	dispatch_handlers_t *handlers = &entry->dispatch->handlers;
	request_t *request = entry->request;
	const answer_sink_t sink = {on_chunk, on_end, entry};
	g_autoptr(request_t) copy = request_copy(request);

	g_free(entry->node);
	entry->node = g_strdup(node);
	g_free(entry->server);
	entry->server = g_strdup(server);
	entry->term = term;
	entry->attempt_ms = clock_now_ms();
	entry->attempts++;
	copy->request_id = entry->id;
	copy->lease_id = lease_id;
	copy->term = term;
	g_free(copy->server);
	copy->server = g_strdup(server);
	copy->timeout_ms = (uint32_t)(entry->deadline_ms - entry->attempt_ms);
	handlers->submit(handlers->context, entry->node, copy, sink);
}

static void entry_try_lease(dispatch_entry_t *entry)
{
	const dispatch_lease_t *lease = g_hash_table_lookup(
		entry->dispatch->leases, &entry->request->lease_id);

	if (!lease) {
		entry_refuse(entry, REASON_UNKNOWN_LEASE);
		return;
	}
	entry_send(entry, lease->node, lease->server, 0, lease->lease_id);
}

static void entry_try_server(dispatch_entry_t *entry,
			     const route_choice_t *choice)
{
	config_place_t place;
	const char *node;

	config_find_database(entry->dispatch->config, entry->request->database,
			     &place);
	node = owner_choose(entry, place.service, choice->server);
	if (!node) {
		entry_wait(entry);
		return;
	}
	entry->at_primary = choice->kind == ROUTE_PRIMARY;
	entry->awaits_replay = choice->wait_ms > 0;
	if (!entry->at_primary)
		entry->tried |= UINT32_C(1) << choice->server_index;
	entry_send(entry, node, choice->server->name, choice->term, 0);
}

static void entry_try(dispatch_entry_t *entry)
{
	dispatch_task_t *dispatch = entry->dispatch;
	const request_t *request = entry->request;
	const uint64_t now_ms = clock_now_ms();
	route_choice_t choice;

	if (now_ms >= entry->deadline_ms) {
		entry_refuse(entry, REASON_DEADLINE);
		return;
	}
	if (request->lease_id) {
		entry_try_lease(entry);
		return;
	}
	choice = route_choose(
		dispatch->route,
		&(route_ask_t){
			.database = request->database,
			.kind = request->kind,
			.at_least = request->at_least,
			.max_age_ms = request->max_age_ms,
			.tried = entry->tried,
			.view = group_table_view(dispatch->table,
						 request->database),
		},
		now_ms);
	switch (choice.kind) {
	case ROUTE_REPLICA:
	case ROUTE_PRIMARY:
		entry_try_server(entry, &choice);
		return;
	case ROUTE_BARRIER:
		entry_barrier(entry);
		return;
	case ROUTE_WAIT:
		entry_wait(entry);
		return;
	case ROUTE_ABSENT:
		entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
}

void dispatch_task_submit(dispatch_task_t *dispatch, const request_t *request,
			  answer_sink_t sink)
{
	dispatch_entry_t *entry = g_new0(dispatch_entry_t, 1);

	entry->dispatch = dispatch;
	entry->id = ++dispatch->next_id;
	entry->request = request_copy(request);
	entry->sink = sink;
	entry->started_ms = clock_now_ms();
	entry->deadline_ms = entry->started_ms + request->timeout_ms;
	g_hash_table_insert(dispatch->entries, &entry->id, entry);
	retry_budget_earn(budget_get(dispatch, request->tenant));
	/* Never answers from inside this call: the first step is deferred. */
	entry_set_timer(entry, 0);
}

void dispatch_task_cancel(dispatch_task_t *dispatch, uint64_t request_id,
			  void *sink_context)
{
	dispatch_handlers_t *handlers = &dispatch->handlers;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dispatch_entry_t *entry = value;

		if (entry->request->request_id != request_id ||
		    entry->sink.context != sink_context)
			continue;
		if (entry->node)
			handlers->cancel(handlers->context, entry->node,
					 entry->id, entry);
		g_hash_table_iter_remove(&iter);
		return;
	}
}

void dispatch_task_release(dispatch_task_t *dispatch, uint64_t lease_id)
{
	dispatch_handlers_t *handlers = &dispatch->handlers;
	const dispatch_lease_t *lease =
		g_hash_table_lookup(dispatch->leases, &lease_id);

	if (!lease)
		return;
	handlers->release(handlers->context, lease->node, lease->lease_id);
	g_hash_table_remove(dispatch->leases, &lease_id);
}

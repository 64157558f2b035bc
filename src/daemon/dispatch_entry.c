#include "daemon/dispatch_private.h"

#include "base/clock.h"

void dispatch_entry_free(gpointer data)
{
	dispatch_entry_t *entry = data;

	if (entry->wait_queue)
		g_queue_remove(&entry->wait_queue->entries, entry);
	if (entry->timer)
		event_free(entry->timer);
	request_delete(entry->request);
	g_free(entry->node);
	g_free(entry->server);
	g_free(entry);
}

retry_budget_t *dispatch_budget_get(dispatch_task_t *dispatch,
				    const char *tenant)
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
			const char *tenant, const char *label)
{
	g_autofree char *labels =
		g_strdup_printf("tenant=\"%s\",%s", tenant, label);

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

/* Ends an entry; the sink may submit another request during the call. */
static void entry_end(dispatch_entry_t *entry, const answer_t *answer)
{
	const answer_sink_t sink = entry->sink;
	const uint64_t request_id = entry->request->request_id;

	if (answer->outcome == OUTCOME_DONE)
		count_read(entry);
	g_hash_table_remove(entry->dispatch->entries, &entry->id);
	sink.end(sink.context, request_id, answer);
}

void dispatch_entry_refuse(dispatch_entry_t *entry, reason_t reason)
{
	const answer_t answer = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = reason,
		.transaction_status = 'I',
	};

	entry_end(entry, &answer);
}

static void entry_cancel_wait(dispatch_entry_t *entry)
{
	if (!entry->wait_queue)
		return;
	g_queue_remove(&entry->wait_queue->entries, entry);
	entry->wait_queue = NULL;
	entry->tried = 0;
}

/*
 * Cancels an attempt whose server was replaced as primary. The server may
 * never answer: it can be frozen, or cut off together with its owners.
 */
static void entry_cancel_attempt(dispatch_entry_t *entry)
{
	dispatch_handlers_t *handlers = &entry->dispatch->handlers;
	const bool read = entry->request->kind == REQUEST_READ;
	const answer_t answer = {
		.outcome = read ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
		.reason = read ? REASON_UNREACHABLE : REASON_LOST_ANSWER,
		.transaction_status = 'I',
	};

	handlers->cancel(handlers->context, entry->node, entry->id, entry);
	dispatch_entry_handle_end(entry, entry->id, &answer);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	dispatch_entry_t *entry = context;

	if (entry->node) {
		entry_cancel_attempt(entry);
		return;
	}
	if (entry->wait_queue && clock_now_ms() >= entry->deadline_ms) {
		dispatch_entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry_cancel_wait(entry);
	dispatch_attempt_begin(entry);
}

void dispatch_entry_set_timer(dispatch_entry_t *entry, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	if (!entry->timer)
		entry->timer =
			evtimer_new(entry->dispatch->base, on_timer, entry);
	event_add(entry->timer, &delay);
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
		copy.lease_id = dispatch_lease_add(entry, answer->lease_id);
	entry_end(entry, &copy);
}

static void entry_apply_answer(dispatch_entry_t *entry, const answer_t *answer)
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
	    group_table_update(dispatch->table, database, answer->primary_term,
			       answer->primary))
		dispatch_task_primary_changed(dispatch, database);
}

void dispatch_entry_handle_chunk(void *context, uint64_t request_id,
				 GBytes *bytes)
{
	dispatch_entry_t *entry = context;

	entry->answer_begun = true;
	entry->sink.chunk(entry->sink.context, entry->request->request_id,
			  bytes);
}

void dispatch_entry_handle_end(void *context, uint64_t request_id,
			       const answer_t *answer)
{
	dispatch_entry_t *entry = context;
	dispatch_task_t *dispatch = entry->dispatch;
	const uint64_t now_ms = clock_now_ms();
	retry_decision_t decision;
	uint64_t term;

	entry_apply_answer(entry, answer);
	if (entry->timer)
		event_del(entry->timer);
	decision = retry_decide(
		dispatch_budget_get(dispatch, entry->request->tenant),
		&(retry_attempt_t){
			.request = entry->request,
			.answer = answer,
			.at_primary = entry->at_primary,
			.answer_begun = entry->answer_begun,
			.attempts = entry->attempts,
			.deadline_ms = entry->deadline_ms,
		},
		now_ms);
	if (decision.kind == RETRY_END) {
		entry_finish(entry, answer);
		return;
	}
	count_event(
		dispatch, "toucanhook_retries_total", entry->request->tenant,
		decision.kind == RETRY_WAIT_FOR_PRIMARY ? "kind=\"parked\"" :
							  "kind=\"again\"");
	g_clear_pointer(&entry->node, g_free);
	term = group_table_view(dispatch->table, entry->request->database).term;
	if (decision.kind == RETRY_LATER) {
		entry->tried = 0;
		dispatch_entry_set_timer(entry, decision.delay_ms);
		return;
	}
	if (decision.kind == RETRY_WAIT_FOR_PRIMARY && term == entry->term) {
		dispatch_wait_queue_add(entry);
		return;
	}
	dispatch_attempt_begin(entry);
}

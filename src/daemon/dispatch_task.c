#include "daemon/dispatch_private.h"

#include <string.h>

#include "base/clock.h"

/* Time limit for the answer to an attempt on a replaced primary. */
#define REPLACED_GRACE_MS 200u

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
						  NULL, dispatch_entry_free);
	dispatch->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, dispatch_lease_free);
	dispatch->wait_queues = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, dispatch_wait_queue_free);
	dispatch->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return dispatch;
}

void dispatch_task_destroy(dispatch_task_t *dispatch)
{
	if (!dispatch)
		return;
	g_hash_table_destroy(dispatch->entries);
	g_hash_table_destroy(dispatch->wait_queues);
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

uint32_t dispatch_task_busy_count(const dispatch_task_t *dispatch)
{
	return g_hash_table_size(dispatch->entries);
}

/* Limits running attempts on a replaced primary to REPLACED_GRACE_MS. */
static void attempts_limit_time(dispatch_task_t *dispatch, const char *database)
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
			dispatch_entry_set_timer(entry, REPLACED_GRACE_MS);
	}
}

void dispatch_task_primary_changed(dispatch_task_t *dispatch,
				   const char *database)
{
	dispatch_wait_queue_t *wait_queue =
		g_hash_table_lookup(dispatch->wait_queues, database);

	if (wait_queue)
		dispatch_wait_queue_resume(wait_queue);
	attempts_limit_time(dispatch, database);
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
	retry_budget_earn(dispatch_budget_get(dispatch, request->tenant));
	/* Deferred, so that the sink is never called during this call. */
	dispatch_entry_set_timer(entry, 0);
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

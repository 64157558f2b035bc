#include "daemon/dispatch_private.h"

#include <string.h>

#include "base/clock.h"
#include "coordination/owner.h"

/* Context of a barrier that one entry started; the entry may end first. */
typedef struct {
	dispatch_task_t *dispatch;
	uint64_t entry_id;
} barrier_context_t;

static void on_barrier(void *context, log_point_t point)
{
	g_autofree barrier_context_t *barrier_context = context;
	dispatch_entry_t *entry = g_hash_table_lookup(
		barrier_context->dispatch->entries, &barrier_context->entry_id);

	if (!entry)
		return;
	if (!point.term) {
		dispatch_entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry->request->at_least =
		log_point_max(entry->request->at_least, point);
	route_point_seen(entry->dispatch->route, entry->request->database,
			 point, clock_now_ms());
	dispatch_attempt_begin(entry);
}

static void attempt_start_barrier(dispatch_entry_t *entry)
{
	dispatch_task_t *dispatch = entry->dispatch;
	barrier_context_t *barrier_context = g_new(barrier_context_t, 1);
	const uint64_t now_ms = clock_now_ms();

	*barrier_context = (barrier_context_t){dispatch, entry->id};
	dispatch->handlers.barrier(dispatch->handlers.context,
				   entry->request->database,
				   (uint32_t)(entry->deadline_ms - now_ms),
				   on_barrier, barrier_context);
}

/*
 * Chooses the node that runs the attempt: for the first attempt this node if it
 * owns the server, otherwise one of the owners, by session and attempt number.
 */
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

static void attempt_send(dispatch_entry_t *entry, const char *node,
			 const char *server, uint64_t term, uint64_t lease_id)
{
	dispatch_handlers_t *handlers = &entry->dispatch->handlers;
	request_t *request = entry->request;
	const answer_sink_t sink = {dispatch_entry_handle_chunk,
				    dispatch_entry_handle_end, entry};
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

static void attempt_on_lease(dispatch_entry_t *entry)
{
	const dispatch_lease_t *lease = g_hash_table_lookup(
		entry->dispatch->leases, &entry->request->lease_id);

	if (!lease) {
		dispatch_entry_refuse(entry, REASON_UNKNOWN_LEASE);
		return;
	}
	attempt_send(entry, lease->node, lease->server, 0, lease->lease_id);
}

static void attempt_on_server(dispatch_entry_t *entry,
			      const route_choice_t *choice)
{
	config_lookup_t place;
	const char *node;

	config_find_database(entry->dispatch->config, entry->request->database,
			     &place);
	node = owner_choose(entry, place.service, choice->server);
	if (!node) {
		dispatch_wait_queue_add(entry);
		return;
	}
	entry->at_primary = choice->kind == ROUTE_PRIMARY;
	entry->awaits_replay = choice->wait_ms > 0;
	if (!entry->at_primary)
		entry->tried |= UINT32_C(1) << choice->server_index;
	attempt_send(entry, node, choice->server->name, choice->term, 0);
}

void dispatch_attempt_begin(dispatch_entry_t *entry)
{
	dispatch_task_t *dispatch = entry->dispatch;
	const request_t *request = entry->request;
	const uint64_t now_ms = clock_now_ms();
	route_choice_t choice;

	if (now_ms >= entry->deadline_ms) {
		dispatch_entry_refuse(entry, REASON_DEADLINE);
		return;
	}
	if (request->lease_id) {
		attempt_on_lease(entry);
		return;
	}
	choice = route_choose(
		dispatch->route,
		&(route_query_t){
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
		attempt_on_server(entry, &choice);
		return;
	case ROUTE_BARRIER:
		attempt_start_barrier(entry);
		return;
	case ROUTE_WAIT:
		dispatch_wait_queue_add(entry);
		return;
	case ROUTE_ABSENT:
		dispatch_entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
}

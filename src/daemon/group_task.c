#include "daemon/group_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"

/** Interval at which databases with a watch step. */
#define GROUP_SWEEP_MS 20

/** Interval at which all databases step, besides explicit wakeups. */
#define GROUP_SWEEP_ALL_MS 1000

void group_task_send(group_task_t *task, const char *node,
		     const group_note_t *note)
{
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	const size_t size_bytes = group_note_encode(note, bytes, sizeof(bytes));

	g_assert(size_bytes);
	task->handlers.send(task->handlers.context, node, bytes, size_bytes);
}

static void reset_watched(group_task_t *task)
{
	g_ptr_array_set_size(task->watched, 0);
	task->sweep_all_at_ms = 0;
}

static uint64_t sweep_all(group_task_t *task, uint64_t now_ms)
{
	uint64_t due_ms = UINT64_MAX;
	GHashTableIter iter;
	gpointer database;

	reset_watched(task);
	task->sweep_all_at_ms = now_ms + GROUP_SWEEP_ALL_MS;
	g_hash_table_iter_init(&iter, task->databases);
	while (g_hash_table_iter_next(&iter, NULL, &database)) {
		due_ms = MIN(due_ms, group_database_step(database, now_ms));
		if (group_database_watches(database))
			g_ptr_array_add(task->watched, database);
	}
	return due_ms;
}

static uint64_t sweep_watched(group_task_t *task, uint64_t now_ms)
{
	uint64_t due_ms = UINT64_MAX;

	for (guint i = 0; i < task->watched->len; i++)
		due_ms = MIN(due_ms, group_database_step(
					     task->watched->pdata[i], now_ms));
	return due_ms;
}

static uint64_t task_sweep(group_task_t *task, uint64_t now_ms)
{
	uint32_t waiting = 0;
	uint64_t due_ms;

	task->sweep_at_ms = now_ms + GROUP_SWEEP_MS;
	group_requests_step(task->requests, now_ms);
	due_ms = now_ms >= task->sweep_all_at_ms ? sweep_all(task, now_ms) :
						   sweep_watched(task, now_ms);
	for (guint i = 0; i < task->watched->len; i++) {
		const group_database_t *database = task->watched->pdata[i];

		waiting += evidence_waiting(database->evidence);
	}
	metric_set(task->waiting, waiting);
	return MIN(due_ms, task->sweep_at_ms);
}

static void destroy_retired(group_task_t *task)
{
	group_watch_t *watch;

	while ((watch = g_queue_pop_head(task->retired)))
		group_watch_destroy(watch);
}

static void task_step(group_task_t *task, uint64_t now_ms)
{
	uint64_t due_ms = task->sweep_at_ms;
	guint count = g_queue_get_length(task->woken);
	struct timeval wait = {0};

	destroy_retired(task);
	if (now_ms >= task->sweep_at_ms)
		due_ms = task_sweep(task, now_ms);
	for (; count; count--) {
		group_database_t *database = g_queue_pop_head(task->woken);
		uint64_t next_ms;

		database->woken = false;
		next_ms = group_database_step(database, now_ms);
		if (next_ms == UINT64_MAX || database->woken)
			continue;
		database->woken = true;
		g_queue_push_tail(task->woken, database);
		due_ms = MIN(due_ms, next_ms);
	}
	if (due_ms > now_ms)
		wait = clock_timeval(due_ms - now_ms);
	event_add(task->timer, &wait);
}

static void on_timer(evutil_socket_t fd, short events, void *context)
{
	task_step(context, clock_now_ms());
}

group_task_t *group_task_create(struct event_base *base, metrics_t *metrics,
				const char *node, group_table_t *table,
				store_t *store, group_handlers_t handlers)
{
	group_task_t *task = g_new0(group_task_t, 1);

	task->base = base;
	task->metrics = metrics;
	task->node = g_strdup(node);
	task->table = table;
	task->store = store;
	task->handlers = handlers;
	task->identity = (uint64_t)g_random_int() << 32 | g_random_int();
	/* A random start: answers to an earlier process match no request. */
	task->next_id = (uint64_t)g_random_int() << 32 | 1;
	task->databases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						group_database_delete);
	task->owned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	task->requests = group_requests_create(task);
	task->woken = g_queue_new();
	task->watched = g_ptr_array_new();
	task->retired = g_queue_new();
	task->timer = evtimer_new(base, on_timer, task);
	task->evidence_age = metrics_histogram(
		metrics, "toucanhook_evidence_age_microseconds", "");
	task->confirms_late =
		metrics_counter(metrics, "toucanhook_confirms_late_total", "");
	task->rounds = metrics_counter(metrics,
				       "toucanhook_evidence_rounds_total", "");
	task->waiting =
		metrics_gauge(metrics, "toucanhook_evidence_waiting", "");
	event_active(task->timer, 0, 0);
	return task;
}

void group_task_destroy(group_task_t *group)
{
	if (!group)
		return;
	group->ending = true;
	reset_watched(group);
	destroy_retired(group);
	g_hash_table_destroy(group->databases);
	g_hash_table_destroy(group->owned);
	group_requests_destroy(group->requests);
	g_queue_free(group->woken);
	g_ptr_array_unref(group->watched);
	g_queue_free(group->retired);
	event_free(group->timer);
	g_free(group->node);
	g_free(group);
}

static gboolean database_is_removed(gpointer key, gpointer value,
				    gpointer context)
{
	const group_task_t *task = context;
	config_lookup_t place;

	return !config_find_database(task->config, key, &place) ||
	       !group_database_matches(value, &task->config->limits, &place);
}

void group_task_configure(group_task_t *group, const config_t *config)
{
	group->config = config;
	reset_watched(group);
	g_hash_table_foreach_remove(group->databases, database_is_removed,
				    group);
	for (uint32_t s = 0; s < config->services_count; s++) {
		const config_service_t *service = &config->services[s];

		for (uint32_t d = 0; d < service->databases_count; d++) {
			const config_lookup_t place = {service,
						       &service->databases[d]};

			if (!g_hash_table_contains(group->databases,
						   place.database->name))
				group_database_add(group, &place);
			group_database_configure(
				g_hash_table_lookup(group->databases,
						    place.database->name),
				place.database);
		}
	}
}

void group_task_set_owned(group_task_t *group, const char *database,
			  const char *server, bool owned)
{
	group_server_t *found = group_task_server(group, database, server);

	reset_watched(group);
	if (owned)
		g_hash_table_add(group->owned,
				 group_owned_key(database, server));
	else {
		g_autofree char *key = group_owned_key(database, server);

		g_hash_table_remove(group->owned, key);
	}
	if (!found)
		return;
	if (owned)
		group_server_watch(found);
	if (owned || !found->watch)
		return;
	g_queue_push_tail(group->retired, g_steal_pointer(&found->watch));
	group_failover_forget(found);
	group_database_wake(found->database);
}

void group_task_set_members(group_task_t *group, const member_view_t *view)
{
	group->view = view;
}

/* Announces the current primary to a peer that knows an older term. */
static void announce_newer(group_database_t *database, const char *from,
			   uint64_t term)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	group_note_t note = {
		.kind = GROUP_NOTE_ANNOUNCE,
		.term = view.term,
	};

	if (view.term <= term)
		return;
	g_strlcpy(note.database, database->name, sizeof(note.database));
	g_strlcpy(note.server, view.primary, sizeof(note.server));
	group_task_send(database->task, from, &note);
}

static void record_note_status(group_database_t *database,
			       const group_note_t *note)
{
	group_server_t *server = group_database_server(database, note->server);

	if (note->has_status && server && !server->watch)
		group_server_record_status(server, &note->status,
					   clock_now_ms());
}

void group_task_handle_note(group_task_t *group, const char *from,
			    const uint8_t *bytes, size_t size_bytes)
{
	group_database_t *database;
	group_note_t note;

	if (!group_note_decode(bytes, size_bytes, &note)) {
		log_event(LOG_LEVEL_WARNING, "group_note_invalid",
			  "from=%s size_bytes=%zu", from, size_bytes);
		return;
	}
	database = g_hash_table_lookup(group->databases, note.database);
	if (note.kind == GROUP_NOTE_REQUEST) {
		/* A fence or a promotion carries a term that is yet to come. */
		if (database && (note.operation == SERVER_STATUS ||
				 note.operation == SERVER_FOLLOW))
			announce_newer(database, from, note.term);
		group_requests_serve(group->requests, from, &note);
		return;
	}
	if (!database)
		return;
	switch (note.kind) {
	case GROUP_NOTE_ANSWER:
		record_note_status(database, &note);
		group_requests_handle_answer(group->requests, &note);
		return;
	case GROUP_NOTE_BARRIER:
		announce_newer(database, from, note.term);
		group_rounds_serve(database, from, &note);
		return;
	case GROUP_NOTE_BARRIER_ANSWER:
		group_rounds_handle_answer(database, &note);
		return;
	case GROUP_NOTE_ANNOUNCE:
		if (group_database_server(database, note.server))
			group_database_update_primary(database, note.term,
						      note.server);
		return;
	default:
		return;
	}
}

#include "daemon/group_private.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"

/** Interval at which every database steps. */
#define GROUP_SWEEP_MS 20

/** Term that the configuration's first primary leads. */
#define GROUP_FIRST_TERM 1

typedef struct {
	group_database_t *database;
	group_done_t done;
	void *context;
} group_confirm_t;

typedef struct {
	group_task_t *task;
	log_point_t point;
	group_done_t done;
	void *context;
} group_replay_t;

void group_server_seen(group_server_t *server, const server_status_t *status,
		       uint64_t asked_at_ms)
{
	if (server->known && asked_at_ms < server->status_at_ms)
		return;
	server->known = true;
	server->status = *status;
	server->status_at_ms = asked_at_ms;
	freshness_replayed(server->database->ages.proven, server->index,
			   status->replayed);
	promotion_seen(server->database->promotion,
		       MAX(status->term, status->fence));
	if (server_status_leads(status, status->term))
		group_database_offer(server->database, status->term,
				     server->name);
}

void group_database_offer(group_database_t *database, uint64_t term,
			  const char *primary)
{
	group_task_t *task = database->task;
	group_view_t view;

	if (!group_table_offer(task->table, database->name, term, primary))
		return;
	view = group_table_view(task->table, database->name);
	log_event(LOG_LEVEL_NOTICE, "primary_changed",
		  "database=%s term=%" G_GUINT64_FORMAT " primary=%s",
		  database->name, term, primary);
	group_failover_view(database, &view);
	group_database_wake(database);
	task->handlers.changed(task->handlers.context, database->name, &view);
}

group_server_t *group_database_server(group_database_t *database,
				      const char *name)
{
	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!strcmp(database->servers[i].name, name))
			return &database->servers[i];
	return NULL;
}

void group_task_send(group_task_t *task, const char *node,
		     const group_note_t *note)
{
	uint8_t bytes[GROUP_NOTE_SIZE_BYTES_MAX];
	const size_t size_bytes = group_note_encode(note, bytes, sizeof(bytes));

	g_assert(size_bytes);
	task->handlers.send(task->handlers.context, node, bytes, size_bytes);
}

void group_database_wake(group_database_t *database)
{
	group_task_t *task = database->task;

	if (!database->woken) {
		database->woken = true;
		g_queue_push_tail(task->woken, database);
	}
	if (!task->ending)
		event_active(task->timer, 0, 0);
}

static uint64_t database_step(group_database_t *database, uint64_t now_ms)
{
	group_ages_step(database, now_ms);
	group_record_step(database, now_ms);
	return MIN(group_failover_step(database, now_ms),
		   group_rounds_step(database, now_ms));
}

static uint64_t task_sweep(group_task_t *task, uint64_t now_ms)
{
	uint64_t due_ms = now_ms + GROUP_SWEEP_MS;
	GHashTableIter iter;
	gpointer database;

	task->sweep_at_ms = now_ms + GROUP_SWEEP_MS;
	group_asks_step(task->asks, now_ms);
	g_hash_table_iter_init(&iter, task->databases);
	while (g_hash_table_iter_next(&iter, NULL, &database))
		due_ms = MIN(due_ms, database_step(database, now_ms));
	return due_ms;
}

static void task_retire(group_task_t *task)
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

	task_retire(task);
	if (now_ms >= task->sweep_at_ms)
		due_ms = task_sweep(task, now_ms);
	for (; count; count--) {
		group_database_t *database = g_queue_pop_head(task->woken);
		uint64_t next_ms;

		database->woken = false;
		next_ms = database_step(database, now_ms);
		if (next_ms == UINT64_MAX || database->woken)
			continue;
		database->woken = true;
		g_queue_push_tail(task->woken, database);
		due_ms = MIN(due_ms, next_ms);
	}
	if (due_ms > now_ms) {
		wait.tv_sec = (time_t)((due_ms - now_ms) / 1000);
		wait.tv_usec = (suseconds_t)((due_ms - now_ms) % 1000 * 1000);
	}
	event_add(task->timer, &wait);
}

static void on_timer(evutil_socket_t fd, short events, void *context)
{
	task_step(context, clock_now_ms());
}

static void database_delete(gpointer data)
{
	group_database_t *database = data;

	for (uint32_t i = 0; i < database->servers_count; i++)
		group_watch_destroy(database->servers[i].watch);
	group_rounds_close(database);
	group_failover_close(database);
	group_ages_close(database);
	if (database->woken)
		g_queue_remove(database->task->woken, database);
	g_free(database->user);
	g_free(database);
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
	task->identity = (uint32_t)XXH3_64bits_withSeed(node, strlen(node),
							g_random_int());
	/* Answers to an earlier process of this name match no question. */
	task->next_id = (uint64_t)g_random_int() << 32 | 1;
	task->databases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						database_delete);
	task->owned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	task->asks = group_asks_create(task);
	task->woken = g_queue_new();
	task->retired = g_queue_new();
	task->timer = evtimer_new(base, on_timer, task);
	event_active(task->timer, 0, 0);
	return task;
}

void group_task_destroy(group_task_t *group)
{
	if (!group)
		return;
	group->ending = true;
	task_retire(group);
	g_hash_table_destroy(group->databases);
	g_hash_table_destroy(group->owned);
	group_asks_destroy(group->asks);
	g_queue_free(group->woken);
	g_queue_free(group->retired);
	event_free(group->timer);
	g_free(group->node);
	g_free(group);
}

static bool server_matches(const group_server_t *server,
			   const config_server_t *where)
{
	return !strcmp(server->name, where->name) &&
	       !strcmp(server->address, where->address) &&
	       server->port == where->port;
}

static bool database_matches(const group_database_t *database,
			     const config_limits_t *limits,
			     const config_place_t *place)
{
	if (database->servers_count != place->database->servers_count ||
	    database->replicas != place->service->confirm_replicas ||
	    strcmp(database->user, place->service->backend_user) ||
	    memcmp(&database->limits, limits, sizeof(*limits)))
		return false;
	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!server_matches(&database->servers[i],
				    &place->database->servers[i]))
			return false;
	return true;
}

static char *owned_key(const char *database, const char *server)
{
	return g_strdup_printf("%s/%s", database, server);
}

static void server_watch(group_server_t *server)
{
	g_autofree char *key = owned_key(server->database->name, server->name);

	if (!server->watch &&
	    g_hash_table_contains(server->database->task->owned, key))
		server->watch = group_watch_create(server);
}

static void server_fill(group_server_t *server, const config_server_t *where)
{
	g_strlcpy(server->name, where->name, sizeof(server->name));
	g_strlcpy(server->address, where->address, sizeof(server->address));
	g_strlcpy(server->failure_domain, where->failure_domain,
		  sizeof(server->failure_domain));
	server->port = where->port;
}

static void database_add(group_task_t *task, const config_place_t *place)
{
	group_database_t *database = g_new0(group_database_t, 1);

	database->task = task;
	g_strlcpy(database->name, place->database->name,
		  sizeof(database->name));
	database->user = g_strdup(place->service->backend_user);
	database->limits = task->config->limits;
	database->replicas = place->service->confirm_replicas;
	database->servers_count =
		MIN(place->database->servers_count, GROUP_SERVER_LIMIT);
	g_hash_table_insert(task->databases, database->name, database);
	group_rounds_open(database);
	group_failover_open(database);
	group_ages_open(database);
	for (uint32_t i = 0; i < database->servers_count; i++) {
		group_server_t *server = &database->servers[i];

		server->database = database;
		server->index = i;
		server_fill(server, &place->database->servers[i]);
		server_watch(server);
	}
	group_database_offer(database, GROUP_FIRST_TERM,
			     place->database->first_primary);
}

static gboolean database_is_gone(gpointer key, gpointer value, gpointer context)
{
	const group_task_t *task = context;
	config_place_t place;

	return !config_find_database(task->config, key, &place) ||
	       !database_matches(value, &task->config->limits, &place);
}

void group_task_configure(group_task_t *group, const config_t *config)
{
	group->config = config;
	g_hash_table_foreach_remove(group->databases, database_is_gone, group);
	for (uint32_t s = 0; s < config->services_count; s++) {
		const config_service_t *service = &config->services[s];

		for (uint32_t d = 0; d < service->databases_count; d++) {
			const config_place_t place = {service,
						      &service->databases[d]};

			if (!g_hash_table_contains(group->databases,
						   place.database->name))
				database_add(group, &place);
		}
	}
}

static group_server_t *find_server(group_task_t *group, const char *database,
				   const char *server)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);

	return found ? group_database_server(found, server) : NULL;
}

void group_task_own(group_task_t *group, const char *database,
		    const char *server, bool owned)
{
	group_server_t *found = find_server(group, database, server);

	if (owned)
		g_hash_table_add(group->owned, owned_key(database, server));
	else {
		g_autofree char *key = owned_key(database, server);

		g_hash_table_remove(group->owned, key);
	}
	if (!found)
		return;
	if (owned)
		server_watch(found);
	if (owned || !found->watch)
		return;
	g_queue_push_tail(group->retired, g_steal_pointer(&found->watch));
	group_failover_forget(found);
	group_database_wake(found->database);
}

void group_task_members(group_task_t *group, const member_view_t *view)
{
	group->view = view;
}

static void on_confirmed(void *context, bool proven, log_point_t point,
			 uint64_t age_ms)
{
	group_confirm_t *confirm = context;

	if (!confirm->database->task->ending)
		confirm->done(confirm->context, proven);
	g_free(confirm);
}

static void end_refused(evutil_socket_t fd, short events, void *context)
{
	group_confirm_t *confirm = context;

	confirm->done(confirm->context, false);
	g_free(confirm);
}

/* Ends a call that cannot even begin, but not from inside it. */
static void refuse_later(group_task_t *group, group_done_t done, void *context)
{
	const struct timeval now = {0};
	group_confirm_t *refused = g_new0(group_confirm_t, 1);

	refused->done = done;
	refused->context = context;
	event_base_once(group->base, -1, EV_TIMEOUT, end_refused, refused,
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
		refuse_later(group, done, done_context);
		return;
	}
	confirm = g_new0(group_confirm_t, 1);
	confirm->database = found;
	confirm->done = done;
	confirm->context = done_context;
	evidence_commit(found->evidence, point, clock_now_ms() + timeout_ms,
			on_confirmed, confirm);
	group_database_wake(found);
}

static void on_replayed(void *context, server_result_t result,
			const server_status_t *status)
{
	group_replay_t *replay = context;

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
	const group_server_t *found = find_server(group, database, server);
	group_replay_t *replay;

	if (!found || !found->watch) {
		refuse_later(group, done, done_context);
		return;
	}
	replay = g_new0(group_replay_t, 1);
	replay->task = group;
	replay->point = point;
	replay->done = done;
	replay->context = done_context;
	group_watch_wait(found->watch, GROUP_WAIT_REPLAYED, point, timeout_ms,
			 on_replayed, replay);
}

/* A barrier of an unknown database has nobody to ask. */
typedef struct {
	group_barrier_done_t done;
	void *context;
} group_barrier_refused_t;

static void end_barrier(void *context, bool confirmed)
{
	group_barrier_refused_t *refused = context;

	refused->done(refused->context, (log_point_t){0});
	g_free(refused);
}

void group_task_barrier(group_task_t *group, const char *database,
			uint32_t timeout_ms, group_barrier_done_t done,
			void *done_context)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);
	group_barrier_refused_t *refused;

	if (found) {
		group_rounds_barrier(found, timeout_ms, done, done_context);
		return;
	}
	refused = g_new0(group_barrier_refused_t, 1);
	refused->done = done;
	refused->context = done_context;
	refuse_later(group, end_barrier, refused);
}

bool group_task_is_fresh(group_task_t *group, const char *database,
			 const char *server, uint32_t max_age_ms)
{
	group_server_t *found = find_server(group, database, server);

	return found && found->watch && group_ages_within(found, max_age_ms);
}

log_point_t group_task_replayed(group_task_t *group, const char *database,
				const char *server)
{
	const group_server_t *found = find_server(group, database, server);

	if (!found || !found->known)
		return (log_point_t){0};
	return found->status.replayed;
}

void group_task_server_failed(group_task_t *group, const char *database,
			      const char *server)
{
	const group_server_t *found = find_server(group, database, server);

	if (found && found->watch)
		group_watch_hurry(found->watch);
}

void group_task_promote(group_task_t *group, const char *database,
			const char *server)
{
	group_database_t *found =
		g_hash_table_lookup(group->databases, database);

	if (found)
		group_failover_order(found, server);
}

/* Tells a peer that asks by an older term who leads now. */
static void tell_newer(group_database_t *database, const char *from,
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

static void note_seen(group_database_t *database, const group_note_t *note)
{
	group_server_t *server = group_database_server(database, note->server);

	if (note->has_status && server && !server->watch)
		group_server_seen(server, &note->status, clock_now_ms());
}

void group_task_note(group_task_t *group, const char *from,
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
	if (note.kind == GROUP_NOTE_ASK) {
		group_asks_serve(group->asks, from, &note);
		return;
	}
	if (!database)
		return;
	switch (note.kind) {
	case GROUP_NOTE_ANSWER:
		note_seen(database, &note);
		group_asks_answered(group->asks, &note);
		return;
	case GROUP_NOTE_BARRIER:
		tell_newer(database, from, note.term);
		group_rounds_serve(database, from, &note);
		return;
	case GROUP_NOTE_BARRIER_ANSWER:
		group_rounds_answered(database, &note);
		return;
	case GROUP_NOTE_ANNOUNCE:
		if (group_database_server(database, note.server))
			group_database_offer(database, note.term, note.server);
		return;
	default:
		return;
	}
}

char *group_task_status(const group_task_t *group)
{
	return g_strdup("{}");
}

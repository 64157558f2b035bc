#include "daemon/group_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/** Term of the configuration's first primary. */
#define GROUP_INITIAL_TERM 1

void group_server_record_status(group_server_t *server,
				const server_status_t *status,
				uint64_t requested_at_ms)
{
	if (server->known && requested_at_ms < server->status_at_ms)
		return;
	server->known = true;
	server->status = *status;
	server->status_at_ms = requested_at_ms;
	group_freshness_record(server);
	promotion_seen(server->database->promotion,
		       MAX(status->term, status->fence));
	if (server_status_is_primary(status, status->term))
		group_database_update_primary(server->database, status->term,
					      server->name);
}

bool group_database_watches(const group_database_t *database)
{
	for (uint32_t i = 0; i < database->servers_count; i++)
		if (database->servers[i].watch)
			return true;
	return false;
}

/*
 * Applies a newer term of the table, which other tasks also update from the
 * terms in answers.
 */
static void database_check_view(group_database_t *database)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);

	if (view.term <= database->term)
		return;
	database->term = view.term;
	log_event(LOG_LEVEL_NOTICE, "primary_changed",
		  "database=%s term=%" G_GUINT64_FORMAT " primary=%s",
		  database->name, view.term, view.primary);
	group_failover_update_view(database, &view);
	group_rounds_update_view(database, &view);
	group_database_wake(database);
}

void group_database_update_primary(group_database_t *database, uint64_t term,
				   const char *primary)
{
	group_task_t *task = database->task;
	group_view_t view;

	if (!group_table_update(task->table, database->name, term, primary))
		return;
	view = group_table_view(task->table, database->name);
	database_check_view(database);
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

uint64_t group_database_step(group_database_t *database, uint64_t now_ms)
{
	database_check_view(database);
	group_freshness_step(database, now_ms);
	group_record_step(database, now_ms);
	return MIN(group_failover_step(database, now_ms),
		   group_rounds_step(database, now_ms));
}

void group_database_delete(gpointer data)
{
	group_database_t *database = data;

	for (uint32_t i = 0; i < database->servers_count; i++)
		group_watch_destroy(database->servers[i].watch);
	group_rounds_close(database);
	group_failover_close(database);
	group_freshness_close(database);
	if (database->woken)
		g_queue_remove(database->task->woken, database);
	g_free(database->user);
	g_free(database);
}

static bool server_matches(const group_server_t *server,
			   const config_server_t *configured)
{
	return !strcmp(server->name, configured->name) &&
	       !strcmp(server->address, configured->address) &&
	       server->port == configured->port;
}

bool group_database_matches(const group_database_t *database,
			    const config_limits_t *limits,
			    const config_lookup_t *place)
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

void group_database_configure(group_database_t *database,
			      const config_database_t *config)
{
	for (uint32_t i = 0; i < database->servers_count; i++)
		database->servers[i].leaving = config->servers[i].leaving;
	group_database_wake(database);
}

char *group_owned_key(const char *database, const char *server)
{
	return g_strdup_printf("%s/%s", database, server);
}

void group_server_watch(group_server_t *server)
{
	g_autofree char *key =
		group_owned_key(server->database->name, server->name);

	if (!server->watch &&
	    g_hash_table_contains(server->database->task->owned, key))
		server->watch = group_watch_create(server);
}

static void server_fill(group_server_t *server,
			const config_server_t *configured)
{
	g_strlcpy(server->name, configured->name, sizeof(server->name));
	g_strlcpy(server->address, configured->address,
		  sizeof(server->address));
	g_strlcpy(server->failure_domain, configured->failure_domain,
		  sizeof(server->failure_domain));
	server->port = configured->port;
}

void group_database_add(group_task_t *task, const config_lookup_t *place)
{
	const uint32_t servers_count =
		MIN(place->database->servers_count, GROUP_SERVER_LIMIT);
	group_database_t *database = g_malloc0(
		sizeof(*database) + servers_count * sizeof(group_server_t));

	database->task = task;
	g_strlcpy(database->name, place->database->name,
		  sizeof(database->name));
	database->user = g_strdup(place->service->backend_user);
	database->limits = task->config->limits;
	database->replicas = place->service->confirm_replicas;
	database->servers_count = servers_count;
	g_hash_table_insert(task->databases, database->name, database);
	group_rounds_open(database);
	group_failover_open(database);
	for (uint32_t i = 0; i < database->servers_count; i++) {
		group_server_t *server = &database->servers[i];

		server->database = database;
		server->index = i;
		server_fill(server, &place->database->servers[i]);
		group_server_watch(server);
	}
	group_database_update_primary(database, GROUP_INITIAL_TERM,
				      place->database->first_primary);
}

#include "daemon/group_private.h"

#include <stdlib.h>

#include <jansson.h>

#include "base/clock.h"

static json_t *point_json(log_point_t point)
{
	return json_pack("{s:I, s:I}", "term", (json_int_t)point.term,
			 "position", (json_int_t)point.position);
}

static json_t *server_json(const group_server_t *server, uint64_t now_ms)
{
	const server_status_t *status = &server->status;

	if (!server->known)
		return json_pack("{s:s, s:b, s:b}", "server", server->name,
				 "owned", server->watch != NULL, "known", 0);
	return json_pack(
		"{s:s, s:b, s:b, s:s, s:I, s:I, s:o, s:o, s:i, s:I, s:i}",
		"server", server->name, "owned", server->watch != NULL, "known",
		1, "role", server_role_name(status->role), "term",
		(json_int_t)status->term, "fence", (json_int_t)status->fence,
		"last", point_json(status->last), "replayed",
		point_json(status->replayed), "upstream_age_ms",
		(int)status->upstream_age_ms, "seen_ms_ago",
		(json_int_t)(now_ms - MIN(now_ms, server->status_at_ms)),
		"failed_polls",
		server->watch ? (int)group_watch_failures(server->watch) : 0);
}

static json_t *promotion_json(const group_database_t *database,
			      const detector_report_t *suspicion)
{
	const promotion_report_t report = promotion_report(database->promotion);

	return json_pack("{s:s, s:I, s:i, s:i, s:i, s:i}", "state",
			 promotion_state_name(report.state), "term",
			 (json_int_t)report.term, "fenced", (int)report.fenced,
			 "needed", (int)report.needed, "answers",
			 (int)suspicion->answers, "silent",
			 (int)suspicion->silent);
}

static json_t *database_json(const group_database_t *database, uint64_t now_ms)
{
	const detector_report_t suspicion = detector_report(database->detector);
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	json_t *servers = json_array();

	for (uint32_t i = 0; i < database->servers_count; i++)
		json_array_append_new(
			servers, server_json(&database->servers[i], now_ms));
	return json_pack("{s:s, s:I, s:s, s:i, s:b, s:o, s:o}", "database",
			 database->name, "term", (json_int_t)view.term,
			 "primary", view.primary, "waiting",
			 (int)evidence_waiting(database->evidence), "suspect",
			 suspicion.suspected_ms != 0, "promotion",
			 promotion_json(database, &suspicion), "servers",
			 servers);
}

char *group_task_status(const group_task_t *group)
{
	const uint64_t now_ms = clock_now_ms();
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer database;
	char *text;
	char *copy;

	g_hash_table_iter_init(&iter, group->databases);
	while (g_hash_table_iter_next(&iter, NULL, &database))
		json_array_append_new(list, database_json(database, now_ms));
	text = json_dumps(list, JSON_COMPACT);
	copy = g_strdup(text);
	json_decref(list);
	free(text);
	return copy;
}

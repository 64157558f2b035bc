#include "daemon/group_private.h"

#include "base/log.h"

/** Delay between nodes of adjacent rank that may order a handover. */
#define HANDOVER_RANK_DELAY_MS 1000

/** Delay before the handover is ordered again, to the next server. */
#define HANDOVER_RETRY_MS 5000

/*
 * A node that has just started may still assume that the configured first
 * primary is the current one. An owned server of the same term rules that out.
 */
static bool owned_server_has_term(const group_database_t *database,
				  const group_view_t *view)
{
	for (uint32_t i = 0; i < database->servers_count; i++) {
		const group_server_t *server = &database->servers[i];

		if (server->watch && server->known &&
		    server->status.term == view->term)
			return true;
	}
	return false;
}

/*
 * Returns the next server in turn, because the first one may be unreachable,
 * or NULL if all servers are leaving.
 */
static const char *next_candidate(group_database_t *database)
{
	const group_server_t *staying[GROUP_SERVER_LIMIT];
	uint32_t count = 0;

	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!database->servers[i].leaving)
			staying[count++] = &database->servers[i];
	if (!count)
		return NULL;
	return staying[database->handover_tries++ % count]->name;
}

/* A leaving primary takes no new work, so another server must be primary. */
void group_handover_step(group_database_t *database, uint64_t now_ms)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	const group_server_t *primary =
		group_database_server(database, view.primary);
	const char *candidate;

	if (!primary || !primary->leaving ||
	    !owned_server_has_term(database, &view)) {
		database->handover_at_ms = 0;
		database->handover_tries = 0;
		return;
	}
	if (!database->handover_at_ms)
		database->handover_at_ms =
			now_ms + (uint64_t)HANDOVER_RANK_DELAY_MS *
					 group_failover_rank(database);
	if (now_ms < database->handover_at_ms)
		return;
	database->handover_at_ms = now_ms + HANDOVER_RETRY_MS;
	candidate = next_candidate(database);
	log_event(LOG_LEVEL_NOTICE, "hand_over_ordered",
		  "database=%s leaving=%s server=%s", database->name,
		  primary->name, candidate ? candidate : "");
	if (candidate)
		group_failover_order(database, candidate);
}

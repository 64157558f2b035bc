#include "daemon/group_private.h"

#include "base/log.h"

/** Delay between nodes of adjacent rank that may order a handover. */
#define HAND_OVER_RANK_MS 1000

/** Delay before the handover is ordered again, to the next server. */
#define HAND_OVER_MS 5000

/*
 * A node that has just started may still assume that the configured first
 * primary is the current one. An owned server of the same term rules that out.
 */
static bool is_of_own_servers_term(const group_database_t *database,
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
static const char *next_leader(group_database_t *database)
{
	const group_server_t *staying[GROUP_SERVER_LIMIT];
	uint32_t count = 0;

	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!database->servers[i].leaving)
			staying[count++] = &database->servers[i];
	if (!count)
		return NULL;
	return staying[database->hand_over_tries++ % count]->name;
}

/* A leaving primary takes no new work, so another server must be primary. */
void group_hand_over_step(group_database_t *database, uint64_t now_ms)
{
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	const group_server_t *primary =
		group_database_server(database, view.primary);
	const char *leader;

	if (!primary || !primary->leaving ||
	    !is_of_own_servers_term(database, &view)) {
		database->hand_over_at_ms = 0;
		database->hand_over_tries = 0;
		return;
	}
	if (!database->hand_over_at_ms)
		database->hand_over_at_ms =
			now_ms + (uint64_t)HAND_OVER_RANK_MS *
					 group_failover_rank(database);
	if (now_ms < database->hand_over_at_ms)
		return;
	database->hand_over_at_ms = now_ms + HAND_OVER_MS;
	leader = next_leader(database);
	log_event(LOG_LEVEL_NOTICE, "hand_over_ordered",
		  "database=%s leaving=%s server=%s", database->name,
		  primary->name, leader ? leader : "");
	if (leader)
		group_failover_order(database, leader);
}

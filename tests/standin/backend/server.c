#include "standin/backend/server.h"

#include "base/clock.h"
#include "standin/backend/session.h"
#include "standin/backend/stream.h"

/** The cache of parsed texts is emptied when it has this size. */
#define SCRIPTS_MAX 4096u

void server_replay(server_t *server)
{
	uint64_t wait_ms = engine_replay(&server->engine, clock_now_ms());
	struct timeval wait = {.tv_sec = (time_t)(wait_ms / 1000),
			       .tv_usec = (suseconds_t)(wait_ms % 1000 * 1000)};

	if (wait_ms != UINT64_MAX)
		event_add(server->replay_timer, &wait);
}

void server_transaction_ended(server_t *server)
{
	follower_ship_all(server);
	for (guint i = 0; i < server->sessions->len; i++)
		session_wake(server->sessions->pdata[i]);
}

void server_cut_all(server_t *server)
{
	while (server->sessions->len)
		session_destroy(server->sessions->pdata[0]);
	follower_stop_all(server);
	upstream_cut(server);
}

sql_script_t *server_script(server_t *server, const char *text)
{
	sql_script_t *script = g_hash_table_lookup(server->scripts, text);

	if (script)
		return sql_script_ref(script);
	if (g_hash_table_size(server->scripts) >= SCRIPTS_MAX)
		g_hash_table_remove_all(server->scripts);
	script = sql_script_new(text);
	g_hash_table_insert(server->scripts, g_strdup(text), script);
	return sql_script_ref(script);
}

#include "coordination/route.h"

#include <string.h>

#include <glib.h>

#include "state/lag_estimate.h"

/* Time for which a failed server is not chosen; doubled by each failure. */
#define PENALTY_FIRST_MS 250u
#define PENALTY_MAX_MS 4000u
/* Round trip time that is assumed before the first answer. */
#define ROUND_TRIP_FIRST_MS 10u
/* Servers whose scores differ by at most this are used in turn. */
#define SCORE_EQUAL_MS 2u
/* Added to the score of a server outside the node's failure domain. */
#define OTHER_DOMAIN_MS 3u

typedef struct {
	lag_estimate_t lag;
	uint32_t round_trip_ms;
	uint32_t penalty_ms;
	uint64_t penalty_until_ms;
} route_server_t;

typedef struct {
	GHashTable *servers; /* name -> route_server_t */
	lag_points_t points;
	uint32_t turn; /* rotates the servers that are considered first */
} route_database_t;

struct route {
	char *failure_domain;
	const config_t *config;
	GHashTable *databases; /* name -> route_database_t */
};

static void database_free(gpointer data)
{
	route_database_t *database = data;

	g_hash_table_destroy(database->servers);
	g_free(database);
}

route_t *route_create(const char *failure_domain)
{
	route_t *route = g_new0(route_t, 1);

	route->failure_domain = g_strdup(failure_domain);
	route->databases = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, database_free);
	return route;
}

void route_destroy(route_t *route)
{
	if (!route)
		return;
	g_hash_table_destroy(route->databases);
	g_free(route->failure_domain);
	g_free(route);
}

static gboolean database_is_gone(gpointer key, gpointer value, gpointer config)
{
	config_lookup_t lookup;

	return !config_find_database(config, key, &lookup);
}

void route_configure(route_t *route, const config_t *config)
{
	route->config = config;
	g_hash_table_foreach_remove(route->databases, database_is_gone,
				    (gpointer)config);
}

static route_database_t *database_get(route_t *route, const char *name)
{
	route_database_t *database =
		g_hash_table_lookup(route->databases, name);

	if (database)
		return database;
	database = g_new0(route_database_t, 1);
	database->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(route->databases, g_strdup(name), database);
	return database;
}

static route_server_t *server_get(route_database_t *database, const char *name)
{
	route_server_t *server = g_hash_table_lookup(database->servers, name);

	if (server)
		return server;
	server = g_new0(route_server_t, 1);
	server->round_trip_ms = ROUND_TRIP_FIRST_MS;
	g_hash_table_insert(database->servers, g_strdup(name), server);
	return server;
}

static bool is_primary(const route_query_t *query,
		       const config_server_t *server)
{
	return !strcmp(query->view.primary, server->name);
}

static bool is_tried(const route_query_t *query, uint32_t index)
{
	return query->tried & (UINT32_C(1) << index);
}

/*
 * Returns the expected milliseconds until a replica answers, or UINT32_MAX if
 * it cannot be used.
 */
static uint32_t replica_score(route_t *route, route_database_t *database,
			      const route_query_t *query,
			      const config_server_t *config, uint64_t now_ms,
			      uint32_t *expected_ms)
{
	const route_server_t *server = server_get(database, config->name);
	uint32_t wait_ms;
	uint32_t score_ms;

	if (now_ms < server->penalty_until_ms)
		return UINT32_MAX;
	/* A read waits at one replica only: a second must have the point. */
	if (query->tried &&
	    !log_point_covers(server->lag.replayed, query->at_least))
		return UINT32_MAX;
	wait_ms = lag_estimate_wait_ms(&server->lag, &database->points,
				       query->at_least, now_ms);
	if (wait_ms > route->config->limits.catch_up_ms)
		return UINT32_MAX;
	*expected_ms = wait_ms;
	score_ms = server->round_trip_ms + wait_ms;
	if (strcmp(config->failure_domain, route->failure_domain))
		score_ms += OTHER_DOMAIN_MS;
	return score_ms;
}

/* Chooses the untried replica of the best score; equal ones in turn. */
static bool replica_choose(route_t *route, const config_database_t *config,
			   const route_query_t *query, uint64_t now_ms,
			   route_choice_t *choice)
{
	route_database_t *database = database_get(route, query->database);
	const uint32_t count = MIN(config->servers_count, ROUTE_SERVERS_MAX);
	uint32_t best_ms = UINT32_MAX;

	database->turn++;
	for (uint32_t i = 0; i < count; i++) {
		const uint32_t index = (i + database->turn) % count;
		const config_server_t *server = &config->servers[index];
		uint32_t score_ms;
		uint32_t wait_ms = 0;

		if (server->leaving || is_primary(query, server) ||
		    is_tried(query, index))
			continue;
		score_ms = replica_score(route, database, query, server, now_ms,
					 &wait_ms);
		if (score_ms == UINT32_MAX)
			continue;
		if (best_ms != UINT32_MAX &&
		    score_ms + SCORE_EQUAL_MS >= best_ms)
			continue;
		best_ms = score_ms;
		choice->kind = ROUTE_REPLICA;
		choice->server = server;
		choice->server_index = index;
		choice->term = 0;
		choice->wait_ms = wait_ms;
	}
	return best_ms != UINT32_MAX;
}

static route_choice_t primary_choose(const config_database_t *database,
				     const route_query_t *query)
{
	route_choice_t choice = {.kind = ROUTE_WAIT};
	const uint32_t count = MIN(database->servers_count, ROUTE_SERVERS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		if (!is_primary(query, &database->servers[i]))
			continue;
		if (is_tried(query, i))
			return choice;
		choice.kind = ROUTE_PRIMARY;
		choice.server = &database->servers[i];
		choice.server_index = i;
		choice.term = query->view.term;
	}
	return choice;
}

route_choice_t route_choose(route_t *route, const route_query_t *query,
			    uint64_t now_ms)
{
	route_choice_t choice = {.kind = ROUTE_ABSENT};
	config_lookup_t lookup;

	if (!route->config ||
	    !config_find_database(route->config, query->database, &lookup))
		return choice;
	if (query->kind == REQUEST_READ &&
	    replica_choose(route, lookup.database, query, now_ms, &choice))
		return choice;
	choice = primary_choose(lookup.database, query);
	if (choice.kind != ROUTE_PRIMARY)
		return choice;
	/* A point of a later term shows that this primary was replaced. */
	if (query->at_least.term > query->view.term)
		return (route_choice_t){.kind = ROUTE_WAIT};
	if (query->max_age_ms && !query->at_least.term)
		choice.kind = ROUTE_BARRIER;
	return choice;
}

static void server_failed(route_server_t *server, uint64_t now_ms)
{
	server->penalty_ms = server->penalty_ms ? MIN(server->penalty_ms * 2,
						      PENALTY_MAX_MS) :
						  PENALTY_FIRST_MS;
	server->penalty_until_ms = now_ms + server->penalty_ms;
}

void route_answered(route_t *route, const char *database_name,
		    const char *server_name, reason_t reason, log_point_t point,
		    uint32_t round_trip_ms, uint64_t now_ms)
{
	route_database_t *database = database_get(route, database_name);
	route_server_t *server = server_get(database, server_name);

	if (reason == REASON_UNREACHABLE || reason == REASON_LOST_ANSWER ||
	    reason == REASON_LEAVING) {
		server_failed(server, now_ms);
		return;
	}
	if (point.term)
		lag_estimate_update(&server->lag, &database->points, point,
				    reason == REASON_BEHIND, now_ms);
	if (reason != REASON_NONE)
		return;
	server->penalty_ms = 0;
	server->penalty_until_ms = 0;
	if (round_trip_ms)
		server->round_trip_ms =
			(server->round_trip_ms * 7 + round_trip_ms) / 8;
}

void route_point_seen(route_t *route, const char *database, log_point_t point,
		      uint64_t now_ms)
{
	if (point.term)
		lag_points_add(&database_get(route, database)->points, point,
			       now_ms);
}

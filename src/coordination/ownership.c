#include "coordination/ownership.h"

#include <string.h>

#include <glib.h>

#include "coordination/owner.h"

typedef struct {
	char name[sizeof(((member_t *)0)->name)];
	char failure_domain[sizeof(((member_t *)0)->failure_domain)];
	uint64_t key;	    /* owner_key() of the name */
	uint64_t listed_ms; /* when the member was last a candidate in a view */
	bool is_listed;	    /* the member is a candidate in the newest view */
	bool is_settled;
} candidate_t;

/* This node's share of one server, as last reported. */
typedef struct {
	char *database;
	char *server;
	uint32_t connections;
	bool watched;
	bool is_configured; /* the server is in the newest configuration */
} holding_t;

struct ownership {
	char *node;
	uint64_t started_ms;	/* first update, UINT64_MAX before it */
	uint64_t ready_ms;	/* time from which this node may own servers */
	uint64_t next_ms;	/* next update that is due without an event */
	GHashTable *candidates; /* name to candidate_t */
	GHashTable *domains;	/* failure domain to its candidates */
	GPtrArray *all;		/* candidates of all failure domains */
	GHashTable *holdings;	/* "database/server" to holding_t */
};

typedef struct {
	ownership_change_t change;
	void *context;
} listener_t;

/* The rank of this node among the candidates of one server. */
typedef struct {
	uint64_t server_key;
	uint64_t own_weight;
	const char *node;  /* this node's name */
	uint32_t above;	   /* candidates that rank higher */
	uint32_t count;	   /* all candidates */
	bool is_candidate; /* this node is a candidate in the newest view */
} own_rank_t;

static void holding_free(gpointer data)
{
	holding_t *holding = data;

	g_free(holding->database);
	g_free(holding->server);
	g_free(holding);
}

ownership_t *ownership_create(const char *node)
{
	ownership_t *ownership = g_new0(ownership_t, 1);

	ownership->node = g_strdup(node);
	ownership->started_ms = UINT64_MAX;
	ownership->next_ms = UINT64_MAX;
	ownership->candidates =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	ownership->all = g_ptr_array_new();
	ownership->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	ownership->holdings = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, holding_free);
	return ownership;
}

void ownership_destroy(ownership_t *ownership)
{
	if (!ownership)
		return;
	g_hash_table_destroy(ownership->domains);
	g_ptr_array_unref(ownership->all);
	g_hash_table_destroy(ownership->candidates);
	g_hash_table_destroy(ownership->holdings);
	g_free(ownership->node);
	g_free(ownership);
}

static void add_candidate(ownership_t *ownership, const member_t *member,
			  uint64_t now_ms)
{
	candidate_t *candidate;

	candidate = g_hash_table_lookup(ownership->candidates, member->name);
	if (!candidate) {
		candidate = g_new0(candidate_t, 1);
		g_strlcpy(candidate->name, member->name,
			  sizeof(candidate->name));
		candidate->key = owner_key(member->name);
		g_hash_table_insert(ownership->candidates, candidate->name,
				    candidate);
	}
	g_strlcpy(candidate->failure_domain, member->failure_domain,
		  sizeof(candidate->failure_domain));
	candidate->listed_ms = now_ms;
	candidate->is_listed = true;
	candidate->is_settled = member->settled;
}

static void forget_candidates(ownership_t *ownership, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ownership->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const candidate_t *candidate = value;
		uint64_t until_ms =
			candidate->listed_ms + OWNERSHIP_TAKEOVER_MS;

		if (candidate->is_listed)
			continue;
		if (until_ms <= now_ms)
			g_hash_table_iter_remove(&iter);
		else
			ownership->next_ms = MIN(ownership->next_ms, until_ms);
	}
}

static void group_candidates(ownership_t *ownership)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(ownership->domains);
	g_ptr_array_set_size(ownership->all, 0);
	g_hash_table_iter_init(&iter, ownership->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const candidate_t *candidate = value;
		GPtrArray *near = g_hash_table_lookup(
			ownership->domains, candidate->failure_domain);

		if (!near) {
			near = g_ptr_array_new();
			g_hash_table_insert(ownership->domains,
					    g_strdup(candidate->failure_domain),
					    near);
		}
		g_ptr_array_add(near, value);
		g_ptr_array_add(ownership->all, value);
	}
}

/*
 * Updates the candidates from a view. A candidate of the previous view counts
 * as listed up to now, so OWNERSHIP_TAKEOVER_MS starts with the first view in
 * which it is missing.
 */
static void apply_view(ownership_t *ownership, const member_view_t *view,
		       uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ownership->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		candidate_t *candidate = value;

		if (candidate->is_listed)
			candidate->listed_ms = now_ms;
		candidate->is_listed = false;
	}
	for (uint32_t i = 0; i < view->members_count; i++)
		if (owner_is_candidate(&view->members[i]))
			add_candidate(ownership, &view->members[i], now_ms);
	forget_candidates(ownership, now_ms);
	group_candidates(ownership);
}

/*
 * Whether the whole fleet is starting. A settled member prevents that even if
 * it counts as dead, because it may still hold connections.
 */
static bool is_starting(const ownership_t *ownership, const member_view_t *view)
{
	for (uint32_t i = 0; i < view->members_count; i++) {
		const member_t *member = &view->members[i];
		const bool is_uncontacted =
			owner_is_candidate(member) && !member->incarnation;

		if ((is_uncontacted || member->settled) &&
		    strcmp(member->name, ownership->node))
			return false;
	}
	return true;
}

static void set_ready(ownership_t *ownership, const member_view_t *view,
		      uint64_t now_ms)
{
	const uint64_t wait_ms = is_starting(ownership, view) ?
					 OWNERSHIP_START_MS :
					 OWNERSHIP_TAKEOVER_MS;

	if (ownership->ready_ms <= now_ms)
		return;
	ownership->ready_ms = ownership->started_ms + wait_ms;
	if (ownership->ready_ms > now_ms)
		ownership->next_ms =
			MIN(ownership->next_ms, ownership->ready_ms);
}

static void compare_with(own_rank_t *rank, const candidate_t *candidate)
{
	uint64_t weight;
	int order;

	rank->count++;
	order = strcmp(candidate->name, rank->node);
	if (!order) {
		rank->is_candidate = candidate->is_listed;
		return;
	}
	weight = owner_weight(candidate->key, rank->server_key);
	if (weight > rank->own_weight ||
	    (weight == rank->own_weight && order < 0))
		rank->above++;
}

static own_rank_t find_own_rank(const ownership_t *ownership,
				uint64_t server_key,
				const GPtrArray *candidates)
{
	own_rank_t rank = {
		.server_key = server_key,
		.own_weight =
			owner_weight(owner_key(ownership->node), server_key),
		.node = ownership->node,
	};

	for (guint i = 0; i < candidates->len; i++)
		compare_with(&rank, candidates->pdata[i]);
	return rank;
}

static uint32_t own_share(ownership_t *ownership,
			  const config_service_t *service,
			  const config_server_t *server, uint64_t now_ms)
{
	const GPtrArray *near =
		g_hash_table_lookup(ownership->domains, server->failure_domain);
	own_rank_t rank;
	uint32_t owners;

	rank = find_own_rank(ownership, owner_key(server->name),
			     near ? near : ownership->all);
	if (!rank.is_candidate)
		return 0;
	if (now_ms < ownership->ready_ms)
		return 0;
	owners = owner_wanted(service->connections, service->owners);
	return owner_share(service->connections, MIN(owners, rank.count),
			   rank.above);
}

static holding_t *find_holding(ownership_t *ownership, const char *database,
			       const char *server)
{
	g_autofree char *key = g_strconcat(database, "/", server, NULL);
	holding_t *holding = g_hash_table_lookup(ownership->holdings, key);

	if (holding)
		return holding;
	holding = g_new0(holding_t, 1);
	holding->database = g_strdup(database);
	holding->server = g_strdup(server);
	g_hash_table_insert(ownership->holdings, g_steal_pointer(&key),
			    holding);
	return holding;
}

/* Returns the part of a share that remains for requests. */
static uint32_t request_connections(uint32_t share)
{
	if (share > OWNER_CONTROL_CONNECTIONS)
		return share - OWNER_CONTROL_CONNECTIONS;
	return MIN(share, 1);
}

static void set_share(holding_t *holding, uint32_t share,
		      const listener_t *listener)
{
	uint32_t connections = request_connections(share);
	bool watched = share > connections;

	if (holding->connections == connections && holding->watched == watched)
		return;
	holding->connections = connections;
	holding->watched = watched;
	listener->change(listener->context, holding->database, holding->server,
			 connections, watched);
}

typedef struct {
	holding_t *holding;
	uint32_t share;
} gain_t;

/* Reports a share that shrinks at once; stores a share that grows in gains. */
static void update_server(ownership_t *ownership,
			  const config_database_t *database,
			  const config_server_t *server, uint32_t share,
			  const listener_t *listener, GArray *gains)
{
	holding_t *holding =
		find_holding(ownership, database->name, server->name);

	holding->is_configured = true;
	if (request_connections(share) > holding->connections) {
		gain_t gain = {.holding = holding, .share = share};

		g_array_append_val(gains, gain);
		return;
	}
	set_share(holding, share, listener);
}

static void drop_unconfigured(ownership_t *ownership,
			      const listener_t *listener)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ownership->holdings);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		holding_t *holding = value;

		if (!holding->is_configured) {
			set_share(holding, 0, listener);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		holding->is_configured = false;
	}
}

static void update_service(ownership_t *ownership,
			   const config_service_t *service, uint64_t now_ms,
			   const listener_t *listener, GArray *gains)
{
	for (uint32_t d = 0; d < service->databases_count; d++) {
		const config_database_t *database = &service->databases[d];

		for (uint32_t i = 0; i < database->servers_count; i++) {
			const config_server_t *server = &database->servers[i];

			update_server(
				ownership, database, server,
				own_share(ownership, service, server, now_ms),
				listener, gains);
		}
	}
}

void ownership_update(ownership_t *ownership, const member_view_t *view,
		      const config_t *config, uint64_t now_ms,
		      ownership_change_t change, void *context)
{
	g_autoptr(GArray) gains = g_array_new(FALSE, FALSE, sizeof(gain_t));
	const listener_t listener = {.change = change, .context = context};

	if (ownership->started_ms == UINT64_MAX) {
		ownership->started_ms = now_ms;
		ownership->ready_ms = UINT64_MAX;
	}
	ownership->next_ms = UINT64_MAX;
	apply_view(ownership, view, now_ms);
	set_ready(ownership, view, now_ms);
	for (uint32_t s = 0; s < config->services_count; s++)
		update_service(ownership, &config->services[s], now_ms,
			       &listener, gains);
	drop_unconfigured(ownership, &listener);
	for (guint i = 0; i < gains->len; i++) {
		const gain_t *gain = &g_array_index(gains, gain_t, i);

		set_share(gain->holding, gain->share, &listener);
	}
}

/* Lists the ranked nodes that are candidates in the newest view. */
static uint32_t pick_owners(const ownership_t *ownership,
			    const owner_ranking_t *ranking, bool settled_only,
			    const char **nodes)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ranking->count; i++) {
		const candidate_t *candidate = g_hash_table_lookup(
			ownership->candidates, ranking->nodes[i]);

		if (candidate->is_listed &&
		    (candidate->is_settled || !settled_only))
			nodes[count++] = candidate->name;
	}
	return count;
}

uint32_t ownership_owners(const ownership_t *ownership,
			  const config_service_t *service,
			  const config_server_t *server, const char **nodes)
{
	const GPtrArray *near =
		g_hash_table_lookup(ownership->domains, server->failure_domain);
	const GPtrArray *candidates = near ? near : ownership->all;
	const uint64_t key = owner_key(server->name);
	owner_ranking_t ranking = {
		.wanted = owner_wanted(service->connections, service->owners),
	};
	uint32_t count;

	for (guint i = 0; i < candidates->len; i++) {
		const candidate_t *candidate = candidates->pdata[i];

		owner_ranking_add(&ranking, candidate->name,
				  owner_weight(candidate->key, key));
	}
	count = pick_owners(ownership, &ranking, true, nodes);
	if (count)
		return count;
	return pick_owners(ownership, &ranking, false, nodes);
}

uint64_t ownership_next_ms(const ownership_t *ownership)
{
	return ownership->next_ms;
}

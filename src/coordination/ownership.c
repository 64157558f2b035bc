#include "coordination/ownership.h"

#include <string.h>

#include <glib.h>

#include "coordination/owner.h"

typedef struct {
	char name[sizeof(((member_t *)0)->name)];
	char failure_domain[sizeof(((member_t *)0)->failure_domain)];
	uint64_t key;
	uint64_t counted_ms; /* when it was last a candidate */
	bool is_counted;     /* it is one in the newest view */
	bool is_settled;
} candidate_t;

typedef struct {
	char *database;
	char *server;
	uint32_t connections;
	bool watched;
	bool is_configured;
} holding_t;

struct ownership {
	char *node;
	uint64_t started_ms;
	uint64_t ready_ms; /* from when on it may own */
	uint64_t next_ms;
	GHashTable *candidates; /* name to candidate_t */
	GHashTable *domains;	/* failure domain to those in it */
	GPtrArray *all;		/* those of all domains */
	GHashTable *holdings;	/* "database/server" to holding_t */
};

typedef struct {
	ownership_change_t change;
	void *context;
} listener_t;

/* One server and where this node stands among its candidates. */
typedef struct {
	uint64_t server_key;
	uint64_t own_weight;
	const char *node;
	uint32_t above;
	uint32_t count;
	bool is_candidate;
} standing_t;

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

static void count_member(ownership_t *ownership, const member_t *member,
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
	candidate->counted_ms = now_ms;
	candidate->is_counted = true;
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
			candidate->counted_ms + OWNERSHIP_TAKEOVER_MS;

		if (candidate->is_counted)
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
 * A member counted in the view before is counted up to this very moment, so
 * the wait runs from the view in which it is missing.
 */
static void count_view(ownership_t *ownership, const member_view_t *view,
		       uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ownership->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		candidate_t *candidate = value;

		if (candidate->is_counted)
			candidate->counted_ms = now_ms;
		candidate->is_counted = false;
	}
	for (uint32_t i = 0; i < view->members_count; i++)
		if (owner_is_candidate(&view->members[i]))
			count_member(ownership, &view->members[i], now_ms);
	forget_candidates(ownership, now_ms);
	group_candidates(ownership);
}

/* Even a settled member that is held dead may hold connections. */
static bool is_starting(const ownership_t *ownership, const member_view_t *view)
{
	for (uint32_t i = 0; i < view->members_count; i++) {
		const member_t *member = &view->members[i];
		const bool is_unheard =
			owner_is_candidate(member) && !member->incarnation;

		if ((is_unheard || member->settled) &&
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

static void stand_against(standing_t *standing, const candidate_t *candidate)
{
	uint64_t weight;
	int order;

	standing->count++;
	order = strcmp(candidate->name, standing->node);
	if (!order) {
		standing->is_candidate = candidate->is_counted;
		return;
	}
	weight = owner_weight(candidate->key, standing->server_key);
	if (weight > standing->own_weight ||
	    (weight == standing->own_weight && order < 0))
		standing->above++;
}

static standing_t stand(const ownership_t *ownership, uint64_t server_key,
			const GPtrArray *candidates)
{
	standing_t standing = {
		.server_key = server_key,
		.own_weight =
			owner_weight(owner_key(ownership->node), server_key),
		.node = ownership->node,
	};

	for (guint i = 0; i < candidates->len; i++)
		stand_against(&standing, candidates->pdata[i]);
	return standing;
}

static uint32_t portion(ownership_t *ownership, const config_service_t *service,
			const config_server_t *server, uint64_t now_ms)
{
	const GPtrArray *near =
		g_hash_table_lookup(ownership->domains, server->failure_domain);
	standing_t standing;
	uint32_t owners;

	standing = stand(ownership, owner_key(server->name),
			 near ? near : ownership->all);
	if (!standing.is_candidate)
		return 0;
	if (now_ms < ownership->ready_ms)
		return 0;
	owners = owner_wanted(service->connections, service->owners);
	return owner_share(service->connections, MIN(owners, standing.count),
			   standing.above);
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

static uint32_t for_requests(uint32_t share)
{
	if (share > OWNER_CONTROL_CONNECTIONS)
		return share - OWNER_CONTROL_CONNECTIONS;
	return MIN(share, 1);
}

static void settle(holding_t *holding, uint32_t share,
		   const listener_t *listener)
{
	uint32_t connections = for_requests(share);
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

/* What is lost or shrinks is told at once, what grows is kept for later. */
static void update_server(ownership_t *ownership,
			  const config_database_t *database,
			  const config_server_t *server, uint32_t share,
			  const listener_t *listener, GArray *gains)
{
	holding_t *holding =
		find_holding(ownership, database->name, server->name);

	holding->is_configured = true;
	if (for_requests(share) > holding->connections) {
		gain_t gain = {.holding = holding, .share = share};

		g_array_append_val(gains, gain);
		return;
	}
	settle(holding, share, listener);
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
			settle(holding, 0, listener);
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
				portion(ownership, service, server, now_ms),
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
	count_view(ownership, view, now_ms);
	set_ready(ownership, view, now_ms);
	for (uint32_t s = 0; s < config->services_count; s++)
		update_service(ownership, &config->services[s], now_ms,
			       &listener, gains);
	drop_unconfigured(ownership, &listener);
	for (guint i = 0; i < gains->len; i++) {
		const gain_t *gain = &g_array_index(gains, gain_t, i);

		settle(gain->holding, gain->share, &listener);
	}
}

static uint32_t pick_owners(const ownership_t *ownership,
			    const owner_ranking_t *ranking, bool settled_only,
			    const char **nodes)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ranking->count; i++) {
		const candidate_t *candidate = g_hash_table_lookup(
			ownership->candidates, ranking->nodes[i]);

		if (candidate->is_counted &&
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

#include "standin/site/database.h"

#include <string.h>

#include <arpa/inet.h>
#include <event2/listener.h>

#include "base/clock.h"
#include "standin/site/database_session.h"

/** Interval of the replication to the replicas. */
#define SHIP_MS 10
/** Time from the order to the promotion. */
#define PROMOTE_MS 100
/** Time from a promotion until the old primary steps down. */
#define STEP_DOWN_MS 1000

/** A callback that runs for a server after a delay. */
typedef struct {
	db_server_t *server;
	struct event *timer;
} delayed_call_t;

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	database_session_create(context, fd);
}

static void server_listen(db_server_t *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(server->port)};

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	server->listener = evconnlistener_new_bind(
		server->group->base, on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
		(struct sockaddr *)&address, sizeof(address));
	if (!server->listener)
		g_error("cannot listen on port %u", server->port);
	server->group->on_server_change(server->group->context, server, true);
}

static void on_restart(evutil_socket_t fd, short what, void *context)
{
	delayed_call_t *call = context;

	if (!call->server->listener)
		server_listen(call->server);
	event_free(call->timer);
	g_free(call);
}

static void run_later(db_server_t *server, uint32_t delay_ms,
		      event_callback_fn callback)
{
	const struct timeval delay = clock_timeval(delay_ms);
	delayed_call_t *call = g_new0(delayed_call_t, 1);

	call->server = server;
	call->timer = evtimer_new(server->group->base, callback, call);
	event_add(call->timer, &delay);
}

void db_server_crash(db_server_t *server, uint32_t for_ms)
{
	if (!server->listener)
		return;
	evconnlistener_free(server->listener);
	server->listener = NULL;
	database_sessions_end(server);
	server->fence = 0;
	run_later(server, for_ms, on_restart);
}

db_server_t *group_server(group_t *group, const char *id)
{
	for (int i = 0; i < GROUP_SERVERS_COUNT; i++)
		if (!strcmp(group->servers[i].id, id))
			return &group->servers[i];
	return NULL;
}

db_server_t *group_primary(group_t *group)
{
	db_server_t *best = NULL;

	for (int i = 0; i < GROUP_SERVERS_COUNT; i++) {
		db_server_t *server = &group->servers[i];

		if (server->primary && (!best || server->term > best->term))
			best = server;
	}
	return best;
}

/* @return the number of commits with which both logs begin */
static guint common_commits(const db_server_t *server,
			    const db_server_t *primary)
{
	guint common = 0;

	while (common < server->log->len && common < primary->log->len &&
	       server->log->pdata[common] == primary->log->pdata[common])
		common++;
	return common;
}

bool group_is_rolled_back(group_t *group)
{
	const db_server_t *primary = group_primary(group);

	for (int i = 0; primary && i < GROUP_SERVERS_COUNT; i++) {
		const db_server_t *server = &group->servers[i];

		if (common_commits(server, primary) < server->log->len)
			return false;
	}
	return true;
}

/* Drops and records the commits that the primary's log does not contain. */
static void roll_back(db_server_t *server, const db_server_t *primary)
{
	const guint common = common_commits(server, primary);

	for (guint i = common; i < server->log->len; i++) {
		const commit_t *commit = server->log->pdata[i];

		for (guint j = 1; j < commit->writes->len; j += 2)
			g_hash_table_add(server->group->rolled_back,
					 g_strdup(commit->writes->pdata[j]));
	}
	g_ptr_array_set_size(server->log, (gint)common);
}

static bool can_replicate(const db_server_t *server, uint64_t now_ms)
{
	return server->listener &&
	       now_ms >= server->replication_stopped_until_ms;
}

/* Makes the server's log equal to the primary's, as its replica. */
static void replicate_from(db_server_t *server, const db_server_t *primary)
{
	if (server->term < primary->term || server->primary) {
		server->primary = false;
		server->term = primary->term;
		server->group->on_server_change(server->group->context, server,
						true);
	}
	roll_back(server, primary);
	while (server->log->len < primary->log->len)
		g_ptr_array_add(server->log,
				primary->log->pdata[server->log->len]);
}

static void on_ship(evutil_socket_t fd, short what, void *context)
{
	group_t *group = context;
	const db_server_t *primary = group_primary(group);
	const uint64_t now_ms = clock_now_ms();

	if (!primary || !can_replicate(primary, now_ms))
		return;
	for (int i = 0; i < GROUP_SERVERS_COUNT; i++) {
		db_server_t *server = &group->servers[i];

		if (server == primary || !can_replicate(server, now_ms) ||
		    server->fence > primary->term)
			continue;
		/* An old primary steps down after STEP_DOWN_MS. */
		if (server->primary && now_ms < server->step_down_at_ms)
			continue;
		replicate_from(server, primary);
	}
}

static void on_promoted(evutil_socket_t fd, short what, void *context)
{
	delayed_call_t *call = context;
	db_server_t *server = call->server;
	db_server_t *old = group_primary(server->group);

	if (server->listener && !server->primary) {
		server->term = MAX(old ? old->term : 0, server->term) + 1;
		server->primary = true;
		server->fence = 0;
		server->group->promotions++;
		if (old)
			old->step_down_at_ms = clock_now_ms() + STEP_DOWN_MS;
		server->group->on_server_change(server->group->context, server,
						true);
	}
	event_free(call->timer);
	g_free(call);
}

bool group_promote(group_t *group, const char *id)
{
	db_server_t *server = group_server(group, id);

	if (!server || !server->listener)
		return false;
	run_later(server, PROMOTE_MS, on_promoted);
	return true;
}

const char *db_server_lookup(const db_server_t *server, const char *item)
{
	for (guint i = server->log->len; i > 0; i--) {
		const commit_t *commit = server->log->pdata[i - 1];

		for (guint j = commit->writes->len; j > 1; j -= 2)
			if (!strcmp(commit->writes->pdata[j - 2], item))
				return commit->writes->pdata[j - 1];
	}
	return NULL;
}

group_t *group_create(struct event_base *base, const char *name, uint16_t port,
		      uint32_t seed,
		      void (*on_server_change)(void *context,
					       db_server_t *server,
					       bool present),
		      void *context)
{
	group_t *group = g_new0(group_t, 1);
	const struct timeval step = clock_timeval(SHIP_MS);

	group->base = base;
	group->name = g_strdup(name);
	group->commits = g_ptr_array_new();
	group->users =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	group->rolled_back =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	group->work_ms = 4;
	group->connections_max = 40;
	group->random = g_rand_new_with_seed(seed);
	group->on_server_change = on_server_change;
	group->context = context;
	for (int i = 0; i < GROUP_SERVERS_COUNT; i++) {
		db_server_t *server = &group->servers[i];

		server->group = group;
		server->id = g_strdup_printf("%s-%d", name, i);
		server->zone = g_strdup_printf("z-%c", 'a' + i);
		server->port = (uint16_t)(port + i);
		server->term = 1;
		server->primary = i == 0;
		server->log = g_ptr_array_new();
		server->sessions =
			g_hash_table_new(g_direct_hash, g_direct_equal);
		server_listen(server);
	}
	group->ship = event_new(base, -1, EV_PERSIST, on_ship, group);
	event_add(group->ship, &step);
	return group;
}

#include "daemon/node.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/owner.h"
#include "coordination/ownership.h"
#include "daemon/callers_task.h"
#include "daemon/config_task.h"
#include "daemon/dispatch_task.h"
#include "daemon/group_task.h"
#include "daemon/operators_task.h"
#include "daemon/peers_task.h"
#include "daemon/pool_task.h"

/* Series of one metric before further labels share one. */
#define METRIC_SERIES_MAX 256u
#define DRAIN_POLL_MS 50u
/* Idle time after which nobody forwards to a leaving node any more. */
#define DRAIN_QUIET_MS 1500u

struct node {
	struct event_base *base;
	const settings_t *settings;
	metrics_t *metrics;
	store_t *store;
	group_table_t *table;
	ownership_t *ownership;
	peers_task_t *peers;
	pool_task_t *pool;
	group_task_t *group;
	dispatch_task_t *dispatch;
	callers_task_t *callers;
	config_task_t *config;
	operators_task_t *operators;
	struct event *ownership_timer;
	struct event *drain_timer;
	uint64_t started_ms;
	bool listed; /* the platform's list of VMs was read once */
	uint64_t drain_started_ms;
	uint64_t drain_busy_ms;
	bool draining;
};

static bool is_self(const node_t *node, const char *name)
{
	return !strcmp(name, node->settings->node);
}

static struct timeval timeval_ms(uint64_t delay_ms)
{
	return (struct timeval){
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000 * 1000),
	};
}

/* Ownership */

static void on_ownership(void *context, const char *database,
			 const char *server, uint32_t connections, bool watched)
{
	node_t *node = context;

	log_event(LOG_LEVEL_INFO, "ownership_changed",
		  "database=%s server=%s connections=%u watched=%d", database,
		  server, connections, watched);
	pool_task_own(node->pool, database, server, connections);
	group_task_own(node->group, database, server, watched);
}

static void ownership_wake_at(node_t *node, uint64_t at_ms, uint64_t now_ms)
{
	const struct timeval delay =
		timeval_ms(at_ms > now_ms ? at_ms - now_ms : 1);

	if (at_ms == UINT64_MAX)
		event_del(node->ownership_timer);
	else
		event_add(node->ownership_timer, &delay);
}

static void ownership_refresh(node_t *node)
{
	const config_t *config = config_task_current(node->config);
	const uint64_t unlisted_until_ms =
		node->started_ms + OWNERSHIP_TAKEOVER_MS;
	const uint64_t now_ms = clock_now_ms();

	if (!config)
		return;
	/* A node that knows only itself would take every server. */
	if (!node->listed && now_ms < unlisted_until_ms) {
		ownership_wake_at(node, unlisted_until_ms, now_ms);
		return;
	}
	ownership_update(node->ownership, peers_task_view(node->peers), config,
			 now_ms, on_ownership, node);
	ownership_wake_at(node, ownership_next_ms(node->ownership), now_ms);
}

static void on_ownership_timer(evutil_socket_t fd, short what, void *context)
{
	ownership_refresh(context);
}

static uint32_t on_owners(void *context, const char *database,
			  const char *server, const char **nodes,
			  uint32_t limit)
{
	node_t *node = context;
	const config_t *config = config_task_current(node->config);
	const char *ranked[OWNER_LIMIT];
	const config_server_t *found;
	config_place_t place;
	uint32_t count;

	if (!config || !config_find_database(config, database, &place))
		return 0;
	found = config_find_server(place.database, server);
	if (!found)
		return 0;
	count = ownership_owners(node->ownership, place.service, found, ranked);
	count = MIN(count, limit);
	memcpy(nodes, ranked, count * sizeof(*nodes));
	return count;
}

static uint32_t dispatch_owners(void *context, const config_service_t *service,
				const config_server_t *server,
				const char **nodes)
{
	const node_t *node = context;

	return ownership_owners(node->ownership, service, server, nodes);
}

/* Configuration */

static void on_config(void *context, const config_t *config)
{
	node_t *node = context;

	pool_task_configure(node->pool, config);
	group_task_configure(node->group, config);
	dispatch_task_configure(node->dispatch, config);
	callers_task_configure(node->callers, config);
	ownership_refresh(node);
}

static void on_config_send(void *context, const char *peer,
			   const uint8_t *bytes, size_t size_bytes)
{
	node_t *node = context;

	peers_task_note(node->peers, peer, PEERS_NOTE_CONFIG, bytes,
			size_bytes);
}

static void on_listed(void *context, const member_t *members,
		      uint32_t members_count)
{
	node_t *node = context;
	const bool is_first = !node->listed;

	node->listed = true;
	peers_task_listed(node->peers, members, members_count);
	if (is_first)
		ownership_refresh(node);
}

/* Peers */

static void on_peer_request(void *context, const char *from,
			    const request_t *request, answer_sink_t sink)
{
	node_t *node = context;

	pool_task_submit(node->pool, request, sink);
}

static void on_peer_cancel(void *context, uint64_t request_id,
			   void *sink_context)
{
	node_t *node = context;

	pool_task_cancel(node->pool, request_id, sink_context);
}

static void on_peer_release(void *context, uint64_t lease_id)
{
	node_t *node = context;

	pool_task_release(node->pool, lease_id);
}

static void on_peer_note(void *context, const char *from,
			 peers_note_kind_t kind, const uint8_t *bytes,
			 size_t size_bytes)
{
	node_t *node = context;

	switch (kind) {
	case PEERS_NOTE_GROUP:
		group_task_note(node->group, from, bytes, size_bytes);
		return;
	case PEERS_NOTE_CONFIG:
		config_task_note(node->config, from, bytes, size_bytes);
		return;
	case PEERS_NOTE_COUNT:
		return;
	}
}

static void on_members(void *context, const member_view_t *view)
{
	node_t *node = context;

	config_task_members(node->config, view);
	group_task_members(node->group, view);
	ownership_refresh(node);
}

static size_t on_digest(void *context, uint8_t *bytes, size_t limit_bytes)
{
	node_t *node = context;

	return config_task_digest(node->config, bytes, limit_bytes);
}

static void on_digest_seen(void *context, const char *from,
			   const uint8_t *bytes, size_t size_bytes)
{
	node_t *node = context;

	config_task_digest_seen(node->config, from, bytes, size_bytes);
}

/* Groups */

static void on_group_send(void *context, const char *peer, const uint8_t *bytes,
			  size_t size_bytes)
{
	node_t *node = context;

	peers_task_note(node->peers, peer, PEERS_NOTE_GROUP, bytes, size_bytes);
}

static void on_primary_changed(void *context, const char *database,
			       const group_view_t *view)
{
	node_t *node = context;

	dispatch_task_primary_changed(node->dispatch, database);
}

/* What the pool asks of the groups */

static void pool_confirm(void *context, const char *database, log_point_t point,
			 uint32_t timeout_ms, pool_confirmed_t done,
			 void *done_context)
{
	node_t *node = context;

	group_task_confirm(node->group, database, point, timeout_ms, done,
			   done_context);
}

static void pool_wait_replayed(void *context, const char *database,
			       const char *server, log_point_t point,
			       uint32_t timeout_ms, pool_confirmed_t done,
			       void *done_context)
{
	node_t *node = context;

	group_task_wait_replayed(node->group, database, server, point,
				 timeout_ms, done, done_context);
}

static bool pool_is_fresh(void *context, const char *database,
			  const char *server, uint32_t max_age_ms)
{
	node_t *node = context;

	return group_task_is_fresh(node->group, database, server, max_age_ms);
}

static log_point_t pool_replayed(void *context, const char *database,
				 const char *server)
{
	node_t *node = context;

	return group_task_replayed(node->group, database, server);
}

static void pool_server_failed(void *context, const char *database,
			       const char *server)
{
	node_t *node = context;

	group_task_server_failed(node->group, database, server);
}

static void pool_newest(void *context, const char *database, answer_t *answer)
{
	node_t *node = context;
	const group_view_t view = group_table_view(node->table, database);

	answer->primary_term = view.term;
	g_strlcpy(answer->primary, view.primary, sizeof(answer->primary));
}

/* What dispatch asks of owners */

static void on_submit(void *context, const char *owner,
		      const request_t *request, answer_sink_t sink)
{
	node_t *node = context;

	if (is_self(node, owner))
		pool_task_submit(node->pool, request, sink);
	else
		peers_task_submit(node->peers, owner, request, sink);
}

static void on_cancel(void *context, const char *owner, uint64_t request_id,
		      void *sink_context)
{
	node_t *node = context;

	if (is_self(node, owner))
		pool_task_cancel(node->pool, request_id, sink_context);
	else
		peers_task_cancel(node->peers, request_id, sink_context);
}

static void on_release(void *context, const char *owner, uint64_t lease_id)
{
	node_t *node = context;

	if (is_self(node, owner))
		pool_task_release(node->pool, lease_id);
	else
		peers_task_release(node->peers, owner, lease_id);
}

static void on_barrier(void *context, const char *database, uint32_t timeout_ms,
		       group_barrier_done_t done, void *done_context)
{
	node_t *node = context;

	group_task_barrier(node->group, database, timeout_ms, done,
			   done_context);
}

/* What callers ask of dispatch */

static void callers_submit(void *context, const request_t *request,
			   answer_sink_t sink)
{
	node_t *node = context;

	dispatch_task_submit(node->dispatch, request, sink);
}

static void callers_cancel(void *context, uint64_t request_id,
			   void *sink_context)
{
	node_t *node = context;

	dispatch_task_cancel(node->dispatch, request_id, sink_context);
}

static void callers_release(void *context, uint64_t lease_id)
{
	node_t *node = context;

	dispatch_task_release(node->dispatch, lease_id);
}

/* Operators */

static const char *member_state_name(member_state_t state)
{
	switch (state) {
	case MEMBER_LIVE:
		return "live";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

static json_t *status_members(const member_view_t *view)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < view->members_count; i++) {
		const member_t *member = &view->members[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s}", "name", member->name,
				  "failure_domain", member->failure_domain,
				  "state", member_state_name(member->state)));
	}
	return list;
}

static char *on_status(void *context)
{
	node_t *node = context;
	const config_t *config = config_task_current(node->config);
	g_autofree char *groups = group_task_status(node->group);
	json_t *status;
	char *text;
	char *copy;

	status = json_pack("{s:s, s:s, s:I, s:b, s:i, s:i, s:o, s:o*}", "node",
			   node->settings->node, "failure_domain",
			   node->settings->failure_domain, "config_revision",
			   (json_int_t)(config ? config->revision : 0),
			   "draining", node->draining, "callers",
			   (int)callers_task_count(node->callers), "busy",
			   (int)dispatch_task_busy(node->dispatch), "members",
			   status_members(peers_task_view(node->peers)),
			   "groups", json_loads(groups, 0, NULL));
	text = json_dumps(status, JSON_INDENT(2));
	json_decref(status);
	copy = g_strdup(text);
	free(text);
	return copy;
}

static bool on_healthy(void *context)
{
	node_t *node = context;

	return !node->draining && config_task_current(node->config);
}

static void on_drain(void *context)
{
	node_drain(context);
}

static operators_answer_t on_promote(void *context, const char *database,
				     const char *server)
{
	node_t *node = context;
	const config_t *config = config_task_current(node->config);
	config_place_t place;

	if (!config)
		return OPERATORS_NOT_POSSIBLE;
	if (!config_find_database(config, database, &place))
		return OPERATORS_UNKNOWN_NAME;
	if (server && !config_find_server(place.database, server))
		return OPERATORS_UNKNOWN_NAME;
	group_task_promote(node->group, database, server);
	return OPERATORS_ACCEPTED;
}

/* Shutdown */

static uint32_t node_busy(const node_t *node)
{
	return callers_task_busy(node->callers) +
	       dispatch_task_busy(node->dispatch) + pool_task_busy(node->pool);
}

static void on_drain_timer(evutil_socket_t fd, short what, void *context)
{
	node_t *node = context;
	const config_t *config = config_task_current(node->config);
	const uint32_t limit_ms = config ? config->limits.drain_ms : 0;
	const uint64_t now_ms = clock_now_ms();
	const uint32_t busy = node_busy(node);

	if (busy)
		node->drain_busy_ms = now_ms;
	if (now_ms - node->drain_busy_ms < DRAIN_QUIET_MS &&
	    now_ms - node->drain_started_ms < limit_ms)
		return;
	log_event(LOG_LEVEL_NOTICE, "drained", "cut=%u took_ms=%" PRIu64, busy,
		  now_ms - node->drain_started_ms);
	event_base_loopbreak(node->base);
}

void node_drain(node_t *node)
{
	const struct timeval interval = timeval_ms(DRAIN_POLL_MS);

	if (node->draining)
		return;
	node->draining = true;
	node->drain_started_ms = clock_now_ms();
	node->drain_busy_ms = node->drain_started_ms;
	log_event(LOG_LEVEL_NOTICE, "draining", "busy=%u", node_busy(node));
	peers_task_leave(node->peers);
	callers_task_drain(node->callers);
	event_add(node->drain_timer, &interval);
}

/* Construction */

static bool create_peers(node_t *node, GError **error)
{
	const peers_handlers_t handlers = {
		.request = on_peer_request,
		.cancel = on_peer_cancel,
		.release = on_peer_release,
		.note = on_peer_note,
		.members = on_members,
		.digest = on_digest,
		.digest_seen = on_digest_seen,
		.context = node,
	};

	node->peers = peers_task_create(node->base, node->metrics,
					node->settings, handlers, error);
	return node->peers;
}

static void create_pool(node_t *node)
{
	const pool_group_t group = {
		.confirm = pool_confirm,
		.wait_replayed = pool_wait_replayed,
		.is_fresh = pool_is_fresh,
		.replayed = pool_replayed,
		.server_failed = pool_server_failed,
		.newest = pool_newest,
		.context = node,
	};

	node->pool = pool_task_create(node->base, node->metrics, group);
}

static void create_group(node_t *node)
{
	const group_handlers_t handlers = {
		.send = on_group_send,
		.owners = on_owners,
		.changed = on_primary_changed,
		.context = node,
	};

	node->group = group_task_create(node->base, node->metrics,
					node->settings->node, node->table,
					node->store, handlers);
}

static void create_dispatch(node_t *node)
{
	const dispatch_handlers_t handlers = {
		.submit = on_submit,
		.cancel = on_cancel,
		.release = on_release,
		.owners = dispatch_owners,
		.barrier = on_barrier,
		.context = node,
	};

	node->dispatch = dispatch_task_create(
		node->base, node->metrics, node->settings->node,
		node->settings->failure_domain, node->table, handlers);
}

static bool create_callers(node_t *node, GError **error)
{
	const callers_dispatch_t dispatch = {
		.submit = callers_submit,
		.cancel = callers_cancel,
		.release = callers_release,
		.barrier = on_barrier,
		.context = node,
	};

	node->callers = callers_task_create(node->base, node->metrics,
					    node->settings, dispatch, error);
	return node->callers;
}

static void create_config(node_t *node)
{
	const config_handlers_t handlers = {
		.changed = on_config,
		.send = on_config_send,
		.listed = on_listed,
		.context = node,
	};

	node->config = config_task_create(
		node->base, node->metrics, node->settings->node,
		node->settings->failure_domain, node->store, handlers);
}

static bool create_operators(node_t *node, GError **error)
{
	const operators_handlers_t handlers = {
		.status = on_status,
		.healthy = on_healthy,
		.drain = on_drain,
		.promote = on_promote,
		.context = node,
	};

	node->operators = operators_task_create(
		node->base, node->metrics, node->settings, handlers, error);
	return node->operators;
}

node_t *node_create(struct event_base *base, const settings_t *settings,
		    GError **error)
{
	node_t *node = g_new0(node_t, 1);

	node->base = base;
	node->settings = settings;
	node->started_ms = clock_now_ms();
	node->metrics = metrics_create(METRIC_SERIES_MAX);
	node->table = group_table_create();
	node->ownership = ownership_create(settings->node);
	node->ownership_timer = evtimer_new(base, on_ownership_timer, node);
	node->drain_timer =
		event_new(base, -1, EV_PERSIST, on_drain_timer, node);
	node->store = store_consul_create(base, settings->platform.address,
					  settings->platform.port);
	create_pool(node);
	create_dispatch(node);
	create_group(node);
	create_config(node);
	if (!create_callers(node, error) || !create_peers(node, error) ||
	    !create_operators(node, error)) {
		node_destroy(node);
		return NULL;
	}
	on_members(node, peers_task_view(node->peers));
	return node;
}

void node_destroy(node_t *node)
{
	if (!node)
		return;
	operators_task_destroy(node->operators);
	callers_task_destroy(node->callers);
	dispatch_task_destroy(node->dispatch);
	config_task_destroy(node->config);
	peers_task_destroy(node->peers);
	group_task_destroy(node->group);
	pool_task_destroy(node->pool);
	store_destroy(node->store);
	ownership_destroy(node->ownership);
	event_free(node->ownership_timer);
	event_free(node->drain_timer);
	group_table_destroy(node->table);
	metrics_destroy(node->metrics);
	g_free(node);
}

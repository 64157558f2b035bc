#include "daemon/node_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/owner.h"

static void on_ownership(void *context, const char *database,
			 const char *server, uint32_t connections, bool watched)
{
	node_t *node = context;

	log_event(LOG_LEVEL_INFO, "ownership_changed",
		  "database=%s server=%s connections=%u watched=%d", database,
		  server, connections, watched);
	pool_task_set_share(node->pool, database, server, connections);
	group_task_set_owned(node->group, database, server, watched);
}

static void ownership_wake_at(node_t *node, uint64_t at_ms, uint64_t now_ms)
{
	const struct timeval delay =
		clock_timeval(at_ms > now_ms ? at_ms - now_ms : 1);

	if (at_ms == UINT64_MAX)
		event_del(node->ownership_timer);
	else
		event_add(node->ownership_timer, &delay);
}

void node_ownership_refresh(node_t *node)
{
	const config_t *config = config_task_current(node->config);
	const uint64_t unlisted_until_ms =
		node->started_ms + OWNERSHIP_TAKEOVER_MS;
	const uint64_t now_ms = clock_now_ms();

	if (!config)
		return;
	/* A node that knows only itself would own every server. */
	if (!node->listed && now_ms < unlisted_until_ms) {
		ownership_wake_at(node, unlisted_until_ms, now_ms);
		return;
	}
	ownership_update(node->ownership, peers_task_view(node->peers), config,
			 now_ms, on_ownership, node);
	ownership_wake_at(node, ownership_next_ms(node->ownership), now_ms);
}

void node_ownership_on_timer(evutil_socket_t fd, short what, void *context)
{
	node_ownership_refresh(context);
}

uint32_t node_ownership_owners(void *context, const char *database,
			       const char *server, const char **nodes,
			       uint32_t limit)
{
	node_t *node = context;
	const config_t *config = config_task_current(node->config);
	const char *ranked[OWNER_LIMIT];
	const config_server_t *found;
	config_lookup_t place;
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

uint32_t node_ownership_ranked(void *context, const config_service_t *service,
			       const config_server_t *server,
			       const char **nodes)
{
	const node_t *node = context;

	return ownership_owners(node->ownership, service, server, nodes);
}

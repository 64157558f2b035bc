#include "daemon/node_private.h"

#include "base/clock.h"

/* Series of one metric; further label sets share one series. */
#define METRIC_SERIES_MAX 256u

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
	node->ownership_timer =
		evtimer_new(base, node_ownership_on_timer, node);
	node->drain_timer =
		event_new(base, -1, EV_PERSIST, node_drain_on_timer, node);
	node->store = store_consul_create(base, settings->platform.address,
					  settings->platform.port);
	node_pool_create(node);
	node_dispatch_create(node);
	node_group_create(node);
	node_config_create(node);
	if (!node_callers_create(node, error) ||
	    !node_peers_create(node, error) ||
	    !node_operators_create(node, error)) {
		node_destroy(node);
		return NULL;
	}
	node_peers_on_members(node, peers_task_view(node->peers));
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

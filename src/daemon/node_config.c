#include "daemon/node_private.h"

static void on_config(void *context, const config_t *config)
{
	node_t *node = context;

	pool_task_configure(node->pool, config);
	group_task_configure(node->group, config);
	dispatch_task_configure(node->dispatch, config);
	callers_task_configure(node->callers, config);
	node_ownership_refresh(node);
}

static void on_config_send(void *context, const char *peer,
			   const uint8_t *bytes, size_t size_bytes)
{
	node_t *node = context;

	peers_task_send_note(node->peers, peer, PEERS_NOTE_CONFIG, bytes,
			     size_bytes);
}

static void on_listed(void *context, const member_t *members,
		      uint32_t members_count)
{
	node_t *node = context;
	const bool is_first = !node->listed;

	node->listed = true;
	peers_task_set_listed(node->peers, members, members_count);
	if (is_first)
		node_ownership_refresh(node);
}

void node_config_create(node_t *node)
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

#include "daemon/node_private.h"

static void on_group_send(void *context, const char *peer, const uint8_t *bytes,
			  size_t size_bytes)
{
	node_t *node = context;

	peers_task_send_note(node->peers, peer, PEERS_NOTE_GROUP, bytes,
			     size_bytes);
}

static void on_primary_changed(void *context, const char *database,
			       const group_view_t *view)
{
	node_t *node = context;

	dispatch_task_primary_changed(node->dispatch, database);
}

void node_group_create(node_t *node)
{
	const group_handlers_t handlers = {
		.send = on_group_send,
		.owners = node_ownership_owners,
		.changed = on_primary_changed,
		.context = node,
	};

	node->group = group_task_create(node->base, node->metrics,
					node->settings->node, node->table,
					node->store, handlers);
}

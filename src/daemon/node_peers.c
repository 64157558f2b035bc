#include "daemon/node_private.h"

static void on_peer_request(void *context, const char *from,
			    const request_t *request, answer_sink_t sink)
{
	node_t *node = context;

	pool_task_submit_forwarded(node->pool, request, sink);
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
		group_task_handle_note(node->group, from, bytes, size_bytes);
		return;
	case PEERS_NOTE_CONFIG:
		config_task_handle_note(node->config, from, bytes, size_bytes);
		return;
	case PEERS_NOTE_COUNT:
		return;
	}
}

void node_peers_on_members(void *context, const member_view_t *view)
{
	node_t *node = context;

	config_task_set_members(node->config, view);
	group_task_set_members(node->group, view);
	node_ownership_refresh(node);
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

	config_task_handle_digest(node->config, from, bytes, size_bytes);
}

bool node_peers_create(node_t *node, GError **error)
{
	const peers_handlers_t handlers = {
		.request = on_peer_request,
		.cancel = on_peer_cancel,
		.release = on_peer_release,
		.note = on_peer_note,
		.members = node_peers_on_members,
		.digest = on_digest,
		.digest_seen = on_digest_seen,
		.context = node,
	};

	node->peers = peers_task_create(node->base, node->metrics,
					node->settings, handlers, error);
	return node->peers;
}

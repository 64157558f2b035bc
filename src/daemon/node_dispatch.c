#include "daemon/node_private.h"

#include <string.h>

static bool is_self(const node_t *node, const char *name)
{
	return !strcmp(name, node->settings->node);
}

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

void node_dispatch_create(node_t *node)
{
	const dispatch_handlers_t handlers = {
		.submit = on_submit,
		.cancel = on_cancel,
		.release = on_release,
		.owners = node_ownership_ranked,
		.barrier = on_barrier,
		.context = node,
	};

	node->dispatch = dispatch_task_create(
		node->base, node->metrics, node->settings->node,
		node->settings->failure_domain, node->table, handlers);
}

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

bool node_callers_create(node_t *node, GError **error)
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

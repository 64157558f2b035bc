#include "daemon/node_private.h"

static void pool_confirm(void *context, const char *database, log_point_t point,
			 uint32_t timeout_ms, pool_done_t done,
			 void *done_context)
{
	node_t *node = context;

	group_task_confirm(node->group, database, point, timeout_ms, done,
			   done_context);
}

static void pool_wait_replayed(void *context, const char *database,
			       const char *server, log_point_t point,
			       uint32_t timeout_ms, pool_done_t done,
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

void node_pool_create(node_t *node)
{
	const pool_group_t group = {
		.confirm = pool_confirm,
		.wait_replayed = pool_wait_replayed,
		.is_fresh = pool_is_fresh,
		.replayed = pool_replayed,
		.server_failed = pool_server_failed,
		.fill_newest_primary = pool_newest,
		.context = node,
	};

	node->pool = pool_task_create(node->base, node->metrics, group);
}

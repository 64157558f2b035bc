#include "daemon/node_private.h"

#include <jansson.h>

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

	status = json_pack(
		"{s:s, s:s, s:I, s:b, s:i, s:i, s:o, s:o*}", "node",
		node->settings->node, "failure_domain",
		node->settings->failure_domain, "config_revision",
		(json_int_t)(config ? config->revision : 0), "draining",
		drain_plan_is_begun(&node->drain), "callers",
		(int)callers_task_session_count(node->callers), "busy",
		(int)dispatch_task_busy_count(node->dispatch), "members",
		status_members(peers_task_view(node->peers)), "groups",
		json_loads(groups, 0, NULL));
	text = json_dumps(status, JSON_INDENT(2));
	json_decref(status);
	copy = g_strdup(text);
	free(text);
	return copy;
}

static bool on_healthy(void *context)
{
	node_t *node = context;

	return !drain_plan_is_begun(&node->drain) &&
	       config_task_current(node->config);
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
	config_lookup_t place;

	if (!config)
		return OPERATORS_NOT_POSSIBLE;
	if (!config_find_database(config, database, &place))
		return OPERATORS_UNKNOWN_NAME;
	if (server && !config_find_server(place.database, server))
		return OPERATORS_UNKNOWN_NAME;
	group_task_promote(node->group, database, server);
	return OPERATORS_ACCEPTED;
}

bool node_operators_create(node_t *node, GError **error)
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

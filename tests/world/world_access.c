#include "world/world.h"

#include <stdio.h>
#include <string.h>

world_node_t *world_node(world_t *world, uint32_t domain, uint32_t index)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		world_node_t *node = world->nodes->pdata[i];

		if (node->domain == domain && !index--)
			return node;
	}
	return NULL;
}

world_server_t *world_server(world_t *world, const char *database,
			     uint32_t domain)
{
	for (guint i = 0; i < world->servers->len; i++) {
		world_server_t *server = world->servers->pdata[i];

		if (server->domain == domain &&
		    !strcmp(server->database, database))
			return server;
	}
	return NULL;
}

world_server_t *world_primary(world_t *world, const char *database)
{
	world_server_t *primary = NULL;
	json_int_t highest = 0;

	for (guint i = 0; i < world->servers->len; i++) {
		world_server_t *server = world->servers->pdata[i];
		json_t *state;
		json_int_t term;

		if (strcmp(server->database, database) != 0 ||
		    !process_running(server->process))
			continue;
		state = http_get_json(server->control_port, "/state");
		term = json_integer_value(json_object_get(state, "term"));
		if (term > highest &&
		    !g_strcmp0(
			    json_string_value(json_object_get(state, "role")),
			    "primary")) {
			highest = term;
			primary = server;
		}
		json_decref(state);
	}
	return primary;
}

char *world_conninfo(const world_t *world, const world_node_t *node,
		     const char *database, const char *user,
		     const char *options)
{
	return g_strdup_printf("host=127.0.0.1 port=%u dbname=%s user=%s "
			       "password=%s %s",
			       node->relayed_callers_port, database, user,
			       WORLD_PASSWORD, options);
}

PGconn *world_connect(const world_t *world, const world_node_t *node,
		      const char *database)
{
	g_autofree char *conninfo = world_conninfo(
		world, node, database, world->deployment.classes[0].name,
		"connect_timeout=10 gssencmode=disable");

	return PQconnectdb(conninfo);
}

bool world_post_control(uint16_t control_port, const char *path)
{
	return http_request(HTTP_REQUEST_POST, control_port, path, "", NULL) ==
	       200;
}

/*
 * Sums the values of a metric in one VM's response, which has lines of the form
 * "name{labels} value".
 */
static int64_t sum_metric(const char *text, const char *name,
			  const char *labels)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	int64_t sum = 0;

	for (char **line = lines; *line; line++) {
		const char *rest = *line + strlen(name);
		const char *value = strrchr(*line, ' ');

		if (!g_str_has_prefix(*line, name) || !value ||
		    (*rest != '{' && *rest != ' '))
			continue;
		if (strstr(rest, labels))
			sum += g_ascii_strtoll(value + 1, NULL, 10);
	}
	return sum;
}

int64_t world_metric(const world_t *world, const char *name, const char *labels)
{
	int64_t sum = 0;

	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		g_autofree char *text = NULL;

		if (http_request(HTTP_REQUEST_GET, node->operators_port,
				 "/metrics", NULL, &text) == 200 &&
		    text)
			sum += sum_metric(text, name, labels);
	}
	return sum;
}

int64_t world_promotions(const world_t *world, const char *event)
{
	g_autofree char *labels = g_strdup_printf("event=\"%s\"", event);

	return world_metric(world, "toucanhook_promotions_total", labels);
}

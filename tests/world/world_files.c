#include "world/world_files.h"

#include "protocol/scram.h"
#include "world/world_links.h"

#define QUEUE_LIMIT 4000
#define TIMEOUT_MS 10000
#define VERIFIER_ITERATIONS 4096

static void append_server(GString *text, const world_t *world,
			  const world_server_t *server)
{
	const deployment_t *deployment = &world->deployment;

	g_string_append_printf(text,
			       "          - name: %s\n"
			       "            failure_domain: %s\n"
			       "            address: 127.0.0.1\n"
			       "            port: %u\n",
			       server->name,
			       deployment->domains[server->domain].name,
			       server->port);
}

static void append_database(GString *text, const world_t *world,
			    const char *name)
{
	const world_server_t *initial_primary = NULL;

	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		if (!g_strcmp0(server->database, name) && server->first_primary)
			initial_primary = server;
	}
	g_string_append_printf(text,
			       "      - name: %s\n"
			       "        first_primary: %s\n"
			       "        servers:\n",
			       name,
			       initial_primary ? initial_primary->name : "");
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		if (!g_strcmp0(server->database, name))
			append_server(text, world, server);
	}
}

static void append_classes(GString *text, const deployment_t *deployment)
{
	static const uint8_t salt[16] = "a salt for tests";
	g_autofree char *verifier = scram_verifier_new(
		WORLD_PASSWORD, salt, sizeof(salt), VERIFIER_ITERATIONS);

	g_string_append(text, "    classes:\n");
	for (uint32_t i = 0; i < deployment->classes_count; i++)
		g_string_append_printf(
			text,
			"      - name: %s\n"
			"        weight: %u\n"
			"        queue_limit: %u\n"
			"        max_age_ms: %u\n"
			"        timeout_ms: %u\n",
			deployment->classes[i].name,
			deployment->classes[i].weight, QUEUE_LIMIT,
			deployment->classes[i].max_age_ms, TIMEOUT_MS);
	g_string_append(text, "    callers:\n");
	for (uint32_t i = 0; i < deployment->classes_count; i++)
		g_string_append_printf(text,
				       "      - name: %s\n"
				       "        class_name: %s\n"
				       "        verifier: %s\n",
				       deployment->classes[i].name,
				       deployment->classes[i].name, verifier);
}

char *world_files_base(const world_t *world)
{
	const deployment_t *deployment = &world->deployment;
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "site: %s\nservices:\n", deployment->site);
	for (uint32_t i = 0; i < deployment->services; i++) {
		g_string_append_printf(
			text,
			"  - name: %s-%u\n"
			"    slots: %u\n"
			"    connections: %u\n"
			"    confirm_replicas: %u\n"
			"    owners: %u\n"
			"    backend_user: toucanhook\n"
			"    databases:\n",
			deployment->service, i + 1, deployment->slots,
			deployment->connections, deployment->confirm_replicas,
			deployment->owners);
		for (uint32_t j = 0; j < deployment->databases; j++) {
			g_autofree char *name = world_database(world, i, j);

			append_database(text, world, name);
		}
		append_classes(text, deployment);
	}
	return g_string_free(text, FALSE);
}

char *world_files_nodes(const world_t *world)
{
	json_t *list = json_array();
	char *text;

	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];
		const deployment_domain_t *domain =
			&world->deployment.domains[node->domain];
		g_autofree char *port = g_strdup_printf("%u", node->peers_port);

		if (node->unlisted)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:{s:s,s:s,s:s,s:s}}", "Node",
				  node->name, "Address", "127.0.0.1", "Meta",
				  "failure_domain", domain->name, "region",
				  domain->region, "peer_port", port, "state",
				  node->listed_leaving ? "leaving" : "live"));
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

static void append_endpoint(GString *text, const char *name, uint16_t port)
{
	g_string_append_printf(text, "%s:\n  address: 127.0.0.1\n  port: %u\n",
			       name, port);
}

static void append_routes(GString *text, const GArray *routes, uint32_t domain)
{
	bool any = false;

	for (guint i = 0; i < routes->len; i++) {
		const world_route_t *route =
			&g_array_index(routes, world_route_t, i);

		if (route->domain != domain)
			continue;
		if (!any)
			g_string_append(text, "routes:\n");
		any = true;
		g_string_append_printf(
			text,
			"  - endpoint: {address: 127.0.0.1, port: %u}\n"
			"    via: {address: 127.0.0.1, port: %u}\n",
			route->port, route->via_port);
	}
}

bool world_files_write_settings(const world_t *world, const world_node_t *node,
				GError **error)
{
	const deployment_domain_t *domain =
		&world->deployment.domains[node->domain];
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_append_printf(text,
			       "node: %s\nregion: %s\nfailure_domain: %s\n",
			       node->name, domain->region, domain->name);
	append_endpoint(text, "callers", node->callers_port);
	append_endpoint(text, "peers", node->peers_port);
	append_endpoint(text, "operators", node->operators_port);
	append_endpoint(text, "platform",
			world_links_via(world->routes, node->domain,
					world->platform_port));
	g_string_append_printf(text,
			       "fleet_public_key: '%s'\n"
			       "fleet_secret_key: '%s'\n"
			       "log_level: info\nseeds:\n",
			       world->public_key, world->secret_key);
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *seed = world->nodes->pdata[i];

		g_string_append_printf(text,
				       "  - {address: 127.0.0.1, port: %u}\n",
				       seed->peers_port);
	}
	append_routes(text, world->routes, node->domain);
	return g_file_set_contents(node->settings_path, text->str, -1, error);
}

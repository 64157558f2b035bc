#include "world/world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>
#include <zmq.h>

#include "base/clock.h"
#include "world/world_files.h"
#include "world/world_links.h"

#define START_TIMEOUT_MS 10000u
#define READY_TIMEOUT_MS 20000u
#define TOOL_TIMEOUT_MS 20000u
#define CONDITION_POLL_MS 5u
#define LOG_LINES 25u

#define WORLD_ERROR g_quark_from_static_string("world")

/* The deployment that exists, to be destroyed when the process exits. */
static world_t *current_world;

static void destroy_current_world(void)
{
	world_destroy(current_world);
}

bool world_wait(uint32_t timeout_ms, bool (*condition)(void *context),
		void *context)
{
	uint64_t deadline_ms = clock_now_ms() + timeout_ms;

	while (!condition(context)) {
		if (clock_now_ms() > deadline_ms)
			return false;
		g_usleep(CONDITION_POLL_MS * 1000u);
	}
	return true;
}

static process_t *start_program(const world_t *world, const char *name,
				GPtrArray *arguments, GError **error)
{
	g_autofree char *log =
		g_strdup_printf("%s/%s.log", world->directory, name);
	g_autofree char *program =
		g_build_filename(world->programs, arguments->pdata[0], NULL);

	g_free(arguments->pdata[0]);
	arguments->pdata[0] = g_steal_pointer(&program);
	g_ptr_array_add(arguments, NULL);
	return process_start(name, log, (char *const *)arguments->pdata, error);
}

static void add_argument(GPtrArray *arguments, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void add_argument(GPtrArray *arguments, const char *format, ...)
{
	va_list values;

	va_start(values, format);
	g_ptr_array_add(arguments, g_strdup_vprintf(format, values));
	va_end(values);
}

static GPtrArray *arguments_new(const char *program)
{
	GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);

	add_argument(arguments, "%s", program);
	return arguments;
}

char *world_database(const world_t *world, uint32_t service, uint32_t database)
{
	return g_strdup_printf("%s-%u-%u", world->deployment.service,
			       service + 1, database + 1);
}

static void add_server_routes(GPtrArray *arguments, const world_t *world,
			      const world_server_t *server)
{
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *other = world->servers->pdata[i];
		uint16_t via = world_links_via(world->routes, server->domain,
					       other->port);

		if (via == other->port ||
		    strcmp(other->database, server->database) != 0)
			continue;
		add_argument(arguments, "--route");
		add_argument(arguments, "127.0.0.1:%u=127.0.0.1:%u",
			     other->port, via);
	}
}

static const world_server_t *first_primary(const world_t *world,
					   const char *database)
{
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		if (server->first_primary &&
		    !strcmp(server->database, database))
			return server;
	}
	return NULL;
}

bool world_start_server(world_t *world, world_server_t *server, bool spare,
			GError **error)
{
	const deployment_t *deployment = &world->deployment;
	g_autoptr(GPtrArray) arguments = arguments_new("standin-backend");

	add_argument(arguments, "--name=%s", server->name);
	add_argument(arguments, "--listen=127.0.0.1:%u", server->port);
	add_argument(arguments, "--control=127.0.0.1:%u", server->control_port);
	add_argument(arguments, "--connections=%u", deployment->connections);
	add_argument(arguments, "--open-delay-ms=%u",
		     deployment->open_delay_ms);
	add_argument(arguments, "--ship-delay-ms=%u",
		     deployment->ship_delay_ms);
	add_argument(arguments, "--replay-lag-ms=%u",
		     deployment->replay_lag_ms);
	if (spare)
		add_argument(arguments, "--spare");
	else if (!server->first_primary)
		add_argument(arguments, "--follow=127.0.0.1:%u",
			     first_primary(world, server->database)->port);
	add_server_routes(arguments, world, server);
	process_destroy(server->process);
	server->process = start_program(world, server->name, arguments, error);
	return server->process != NULL;
}

bool world_start_node(world_t *world, world_node_t *node, GError **error)
{
	g_autoptr(GPtrArray) arguments = arguments_new("toucanhookd");

	add_argument(arguments, "--settings=%s", node->settings_path);
	process_destroy(node->process);
	node->process = start_program(world, node->name, arguments, error);
	return node->process != NULL;
}

static bool start_platform(world_t *world, GError **error)
{
	g_autoptr(GPtrArray) arguments = arguments_new("standin-platform");

	add_argument(arguments, "--listen=127.0.0.1:%u", world->platform_port);
	add_argument(arguments, "--control=127.0.0.1:%u",
		     world->platform_control_port);
	world->platform = start_program(world, "platform", arguments, error);
	return world->platform != NULL;
}

static bool start_relay(world_t *world, GError **error)
{
	g_autoptr(GPtrArray) arguments = arguments_new("standin-relay");

	if (!world->deployment.relay)
		return true;
	add_argument(arguments, "--control=127.0.0.1:%u",
		     world->relay_control_port);
	add_argument(arguments, "--seed=%" G_GUINT64_FORMAT,
		     world->deployment.seed % 100000);
	for (guint i = 0; i < world->relay_links->len; i++)
		add_argument(arguments, "%s",
			     (char *)world->relay_links->pdata[i]);
	world->relay = start_program(world, "relay", arguments, error);
	return world->relay != NULL;
}

static bool responds(uint16_t port, const char *path)
{
	return http_request(HTTP_REQUEST_GET, port, path, NULL, NULL) == 200;
}

static bool standins_respond(void *context)
{
	const world_t *world = context;

	if (!responds(world->platform_control_port, "/calls"))
		return false;
	if (world->relay && !responds(world->relay_control_port, "/state"))
		return false;
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		if (!responds(server->control_port, "/state"))
			return false;
	}
	return true;
}

static bool start_standins(world_t *world, GError **error)
{
	if (!start_platform(world, error) || !start_relay(world, error))
		return false;
	for (guint i = 0; i < world->servers->len; i++)
		if (!world_start_server(world, world->servers->pdata[i], false,
					error))
			return false;
	if (!world_wait(START_TIMEOUT_MS, standins_respond, world)) {
		g_set_error(error, WORLD_ERROR, 0,
			    "stand-ins did not answer in time");
		return false;
	}
	if (world->relay && !world_links_set_delays(world)) {
		g_set_error(error, WORLD_ERROR, 0,
			    "relay rejected the link delays");
		return false;
	}
	return true;
}

static bool nodes_serve_all_databases(void *context)
{
	const world_t *world = context;

	for (guint i = 0; i < world->nodes->len; i++)
		for (uint32_t j = 0; j < world->deployment.services *
						 world->deployment.databases;
		     j++) {
			g_autofree char *database = world_database(
				world, j / world->deployment.databases,
				j % world->deployment.databases);
			PGconn *connection = world_connect(
				world, world->nodes->pdata[i], database);
			PGresult *result = PQexec(
				connection,
				"SELECT count(*) FROM toucanhook_requests");
			bool served = PQresultStatus(result) == PGRES_TUPLES_OK;

			PQclear(result);
			PQfinish(connection);
			if (!served)
				return false;
		}
	return true;
}

static bool start_nodes(world_t *world, GError **error)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];

		if (!world_files_write_settings(world, node, error))
			return false;
	}
	if (!world_list_nodes(world) || !world_apply(world, error))
		return false;
	for (guint i = 0; i < world->nodes->len; i++)
		if (!world_start_node(world, world->nodes->pdata[i], error))
			return false;
	if (!world_wait(READY_TIMEOUT_MS, nodes_serve_all_databases, world)) {
		g_set_error(error, WORLD_ERROR, 0,
			    "entry VMs did not serve all databases in time");
		return false;
	}
	return true;
}

static void plan_nodes(world_t *world)
{
	const deployment_t *deployment = &world->deployment;

	if (deployment->backends_only)
		return;
	for (uint32_t i = 0; i < deployment->domains_count; i++)
		for (uint32_t j = 0; j < deployment->nodes_per_domain; j++) {
			world_node_t *node = g_new0(world_node_t, 1);

			g_snprintf(node->name, sizeof(node->name), "%s-%u",
				   deployment->domains[i].name, j + 1);
			node->domain = i;
			node->callers_port = world_links_port();
			node->relayed_callers_port = node->callers_port;
			node->peers_port = world_links_port();
			node->operators_port = world_links_port();
			node->settings_path = g_strdup_printf(
				"%s/%s.yaml", world->directory, node->name);
			g_ptr_array_add(world->nodes, node);
		}
}

static void plan_servers(world_t *world, uint32_t service, uint32_t database)
{
	const deployment_t *deployment = &world->deployment;
	g_autofree char *name = world_database(world, service, database);

	for (uint32_t i = 0; i < deployment->slots; i++) {
		world_server_t *server = g_new0(world_server_t, 1);

		server->service = service;
		server->domain = i % deployment->domains_count;
		g_strlcpy(server->database, name, sizeof(server->database));
		g_snprintf(server->name, sizeof(server->name), "%s-%s", name,
			   deployment->domains[server->domain].name);
		server->port = world_links_port();
		server->control_port = world_links_port();
		server->first_primary = i == database % deployment->slots;
		g_ptr_array_add(world->servers, server);
	}
}

static void node_free(void *data)
{
	world_node_t *node = data;

	process_destroy(node->process);
	g_free(node->settings_path);
	g_free(node);
}

static void server_free(void *data)
{
	world_server_t *server = data;

	process_destroy(server->process);
	g_free(server);
}

static world_t *world_plan(const deployment_t *deployment, GError **error)
{
	world_t *world = g_new0(world_t, 1);
	g_autofree char *program_path =
		g_file_read_link("/proc/self/exe", NULL);
	g_autofree char *program_directory =
		g_path_get_dirname(program_path ?: ".");

	world->deployment = *deployment;
	world->programs = g_strdup(g_getenv("TOUCANHOOK_PROGRAMS")) ?:
				  g_build_filename(program_directory, "..",
						   "..", "bin", NULL);
	world->directory = g_dir_make_tmp("toucanhook-XXXXXX", error);
	world->nodes = g_ptr_array_new_with_free_func(node_free);
	world->servers = g_ptr_array_new_with_free_func(server_free);
	world->relay_links = g_ptr_array_new_with_free_func(g_free);
	world->platform_port = world_links_port();
	world->platform_control_port = world_links_port();
	world->relay_control_port = world_links_port();
	zmq_curve_keypair(world->public_key, world->secret_key);
	plan_nodes(world);
	for (uint32_t i = 0; i < deployment->services; i++)
		for (uint32_t j = 0; j < deployment->databases; j++)
			plan_servers(world, i, j);
	world->routes = world_links_plan(world);
	return world;
}

world_t *world_create(const deployment_t *deployment, GError **error)
{
	world_t *world = world_plan(deployment, error);

	if (!current_world)
		atexit(destroy_current_world);
	current_world = world;
	if (world->directory && start_standins(world, error) &&
	    (deployment->backends_only || start_nodes(world, error)))
		return world;
	world->failed = true;
	world_destroy(world);
	return NULL;
}

void world_print_logs(const world_t *world)
{
	if (world->platform)
		process_print_log(world->platform, LOG_LINES);
	if (world->relay)
		process_print_log(world->relay, LOG_LINES);
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		if (server->process)
			process_print_log(server->process, LOG_LINES);
	}
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];

		if (node->process)
			process_print_log(node->process, LOG_LINES);
	}
}

static void remove_files(const char *directory)
{
	GDir *files = g_dir_open(directory, 0, NULL);
	const char *name;

	while (files && (name = g_dir_read_name(files))) {
		g_autofree char *path = g_build_filename(directory, name, NULL);

		g_remove(path);
	}
	if (files)
		g_dir_close(files);
	g_rmdir(directory);
}

void world_destroy(world_t *world)
{
	if (!world)
		return;
	if (current_world == world)
		current_world = NULL;
	if (world->failed)
		world_print_logs(world);
	g_ptr_array_unref(world->nodes);
	g_ptr_array_unref(world->servers);
	process_destroy(world->platform);
	process_destroy(world->relay);
	g_ptr_array_unref(world->relay_links);
	g_array_unref(world->routes);
	if (world->directory && !g_getenv("TOUCANHOOK_KEEP_LOGS"))
		remove_files(world->directory);
	g_free(world->directory);
	g_free(world->programs);
	world_links_release_ports();
	g_free(world);
}

bool world_list_nodes(world_t *world)
{
	g_autofree char *nodes = world_files_nodes(world);

	return http_request(HTTP_REQUEST_PUT, world->platform_control_port,
			    "/nodes", nodes, NULL) == 200;
}

bool world_apply(world_t *world, GError **error)
{
	g_autofree char *base = world_files_base(world);
	g_autofree char *path =
		g_build_filename(world->directory, "base.yaml", NULL);
	g_autoptr(GPtrArray) arguments = arguments_new("toucanctl");
	process_t *tool;
	int status = -1;

	if (!g_file_set_contents(path, base, -1, error))
		return false;
	add_argument(arguments, "apply");
	add_argument(arguments, "--platform=127.0.0.1:%u",
		     world->platform_port);
	add_argument(arguments, "--base=%s", path);
	tool = start_program(world, "toucanctl", arguments, error);
	if (!tool)
		return false;
	process_wait(tool, TOOL_TIMEOUT_MS, &status);
	if (status) {
		process_print_log(tool, LOG_LINES);
		g_set_error(error, WORLD_ERROR, 0, "toucanctl apply failed");
	}
	process_destroy(tool);
	return status == 0;
}

#include "world/site_world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "world/http_request.h"
#include "world/process.h"

/*
 * Ports of one site, relative to its first port: the store at 0, the servers
 * from 1, the relayed ports of the servers, which are those that the store
 * publishes, the relay's control port, the relayed ports of the store, one for
 * each node, and the ports of the nodes.
 */
#define PORTS_PER_SITE 1000
#define PUBLISHED_OFFSET 100
#define RELAY_CONTROL_OFFSET 200
#define STORE_LINK_OFFSET 210
#define NODES_OFFSET 320
#define PORTS_PER_NODE 6
#define METRICS_OFFSET 2

/* Bound while the site exists, so that no other site uses the same ports. */
#define GUARD_PORT_OFFSET 999

#define PORT_FIRST 3000
#define PORT_LAST 18000

#define PROGRAMS_DIR "build/bin/"
#define LOG_LINES 30
#define READY_POLL_MS 50

struct site_world {
	site_plan_t plan;
	uint16_t port;
	int guard_fd;
	char *directory;
	process_t *platform;
	process_t *relay;
	process_t *nodes[SITE_NODES_MAX];
};

/*
 * Binds a socket to a port.
 *
 * @param reuse sets SO_REUSEADDR, which ignores recently closed connections.
 *              Two sockets can then be bound until one of them listens, so the
 *              socket listens as well.
 * @return the socket, or -1 if the port is in use
 */
static int bind_port(uint16_t port, int reuse)
{
	const struct sockaddr_in address = {.sin_family = AF_INET,
					    .sin_port = htons(port),
					    .sin_addr.s_addr =
						    htonl(INADDR_LOOPBACK)};
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	if (!bind(fd, (const struct sockaddr *)&address, sizeof(address)) &&
	    (!reuse || !listen(fd, 1)))
		return fd;
	close(fd);
	return -1;
}

static bool port_is_free(uint16_t port)
{
	const int fd = bind_port(port, 1);

	if (fd < 0)
		return false;
	close(fd);
	return true;
}

static bool reserve_ports(site_world_t *world)
{
	const uint32_t ranges_count = (PORT_LAST - PORT_FIRST) / PORTS_PER_SITE;

	for (uint32_t i = 0; i < ranges_count; i++) {
		const uint32_t range = ((uint32_t)getpid() + i) % ranges_count;
		const uint16_t port =
			(uint16_t)(PORT_FIRST + range * PORTS_PER_SITE);

		world->guard_fd =
			bind_port((uint16_t)(port + GUARD_PORT_OFFSET), 0);
		if (world->guard_fd >= 0 && port_is_free(port)) {
			world->port = port;
			return true;
		}
		if (world->guard_fd >= 0)
			close(world->guard_fd);
	}
	return false;
}

static char *log_path(const site_world_t *world, const char *name)
{
	return g_strdup_printf("%s/%s.log", world->directory, name);
}

static process_t *start_program(const site_world_t *world, const char *name,
				char *const *arguments, GError **error)
{
	g_autofree char *path = log_path(world, name);

	return process_start(name, path, arguments, error);
}

static bool start_platform(site_world_t *world, GError **error)
{
	g_autofree char *port = g_strdup_printf("--port=%u", world->port);
	g_autofree char *groups =
		g_strdup_printf("--groups=%u", world->plan.groups);
	g_autofree char *seed = g_strdup_printf("--seed=%u", world->plan.seed);
	g_autofree char *published_offset =
		g_strdup_printf("--shown-offset=%d", PUBLISHED_OFFSET);
	char *const arguments[] = {(PROGRAMS_DIR "standin-site"),
				   port,
				   groups,
				   seed,
				   published_offset,
				   NULL};

	world->platform = start_program(world, "site", arguments, error);
	return world->platform;
}

static void add_link(GPtrArray *arguments, const char *tag, uint16_t listen,
		     uint16_t target)
{
	g_ptr_array_add(arguments,
			g_strdup_printf("--link=%s=127.0.0.1:%u=127.0.0.1:%u",
					tag, listen, target));
}

static bool start_relay(site_world_t *world, GError **error)
{
	g_autoptr(GPtrArray) arguments = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(arguments, g_strdup(PROGRAMS_DIR "standin-relay"));
	g_ptr_array_add(arguments,
			g_strdup_printf("--control=127.0.0.1:%u",
					world->port + RELAY_CONTROL_OFFSET));
	g_ptr_array_add(arguments,
			g_strdup_printf("--seed=%u", world->plan.seed));
	for (uint32_t i = 0; i < world->plan.groups * SITE_SERVERS_PER_GROUP;
	     i++) {
		g_autofree char *tag = g_strdup_printf(
			"group%u-%u", i / SITE_SERVERS_PER_GROUP,
			i % SITE_SERVERS_PER_GROUP);
		const uint16_t port = (uint16_t)(world->port + 1 + i);

		add_link(arguments, tag, (uint16_t)(port + PUBLISHED_OFFSET),
			 port);
	}
	for (uint32_t i = 0; i < world->plan.nodes; i++) {
		g_autofree char *tag = g_strdup_printf("store-%u", i);

		add_link(arguments, tag,
			 (uint16_t)(world->port + STORE_LINK_OFFSET + i),
			 world->port);
	}
	g_ptr_array_add(arguments, NULL);
	world->relay = start_program(world, "relay",
				     (char *const *)arguments->pdata, error);
	return world->relay;
}

static uint16_t node_port(const site_world_t *world, uint32_t node)
{
	return (uint16_t)(world->port + NODES_OFFSET + node * PORTS_PER_NODE);
}

static char *write_settings(const site_world_t *world, uint32_t node)
{
	const uint16_t port = node_port(world, node);
	const char zone = (char)('a' + node % SITE_SERVERS_PER_GROUP);
	char *path = g_strdup_printf("%s/node-%u.conf", world->directory, node);
	g_autofree char *text = g_strdup_printf(
		"node_name=node-%u\nzone=z-%c\nregion=r-%c\nip=127.0.0.1\n"
		"zones.z-a=r-a\nzones.z-b=r-b\nzones.z-c=r-c\n"
		"listen_addrs.front=127.0.0.1:%u\n"
		"listen_addrs.ready_address=127.0.0.1:%u\n"
		"internal_ports=%u,%u\nbounds.grace_s=6\n"
		"platform.address=127.0.0.1:%u\n"
		"cloud_api.address=127.0.0.1:%u\n",
		node, zone, zone, port, port + 1, port + 2, port + 5,
		world->port + STORE_LINK_OFFSET + node, world->port);

	if (!g_file_set_contents(path, text, -1, NULL))
		g_error("cannot write settings file %s", path);
	return path;
}

static bool start_node(site_world_t *world, uint32_t node, GError **error)
{
	g_autofree char *path = write_settings(world, node);
	g_autofree char *settings = g_strdup_printf("--settings=%s", path);
	g_autofree char *name = g_strdup_printf("node-%u", node);
	char *const arguments[] = {(PROGRAMS_DIR "toucanhook-node"), settings,
				   NULL};

	world->nodes[node] = start_program(world, name, arguments, error);
	return world->nodes[node];
}

static bool start_all(site_world_t *world, GError **error)
{
	if (!start_platform(world, error) || !start_relay(world, error))
		return false;
	for (uint32_t i = 0; i < world->plan.nodes; i++)
		if (!start_node(world, i, error))
			return false;
	return true;
}

site_world_t *site_world_create(const site_plan_t *plan, GError **error)
{
	site_world_t *world = g_new0(site_world_t, 1);

	world->plan = *plan;
	if (!reserve_ports(world)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "no free range of ports for a site");
		g_free(world);
		return NULL;
	}
	world->directory = g_dir_make_tmp("toucanhook-site-XXXXXX", error);
	if (world->directory && start_all(world, error))
		return world;
	site_world_destroy(world);
	return NULL;
}

void site_world_destroy(site_world_t *world)
{
	if (!world)
		return;
	for (uint32_t i = 0; i < world->plan.nodes; i++)
		process_destroy(world->nodes[i]);
	process_destroy(world->relay);
	process_destroy(world->platform);
	close(world->guard_fd);
	g_free(world->directory);
	g_free(world);
}

bool site_world_wait_ready(site_world_t *world, uint32_t timeout_ms)
{
	const uint64_t deadline_ms = clock_now_ms() + timeout_ms;
	uint32_t ready = 0;

	while (clock_now_ms() < deadline_ms && ready < world->plan.nodes) {
		for (ready = 0; ready < world->plan.nodes; ready++) {
			const uint16_t port =
				(uint16_t)(node_port(world, ready) + 1);

			if (http_request(HTTP_REQUEST_GET, port, "/ready", NULL,
					 NULL) != 200)
				break;
		}
		g_usleep(READY_POLL_MS * 1000);
	}
	return ready == world->plan.nodes;
}

uint16_t site_world_callers_port(const site_world_t *world, uint32_t node)
{
	return node_port(world, node);
}

uint16_t site_world_metrics_port(const site_world_t *world, uint32_t node)
{
	return (uint16_t)(node_port(world, node) + METRICS_OFFSET);
}

uint16_t site_world_port(const site_world_t *world)
{
	return world->port;
}

void site_world_signal(site_world_t *world, uint32_t node, int signal_number)
{
	if (world->nodes[node])
		process_signal(world->nodes[node], signal_number);
}

bool site_world_is_running(site_world_t *world, uint32_t node)
{
	return world->nodes[node] && process_running(world->nodes[node]);
}

bool site_world_restart(site_world_t *world, uint32_t node)
{
	if (site_world_is_running(world, node))
		return false;
	g_clear_pointer(&world->nodes[node], process_destroy);
	return start_node(world, node, NULL);
}

void site_world_inject_fault(site_world_t *world, const char *fault)
{
	g_autofree char *path = g_strdup_printf("/fault/%s", fault);

	http_request(HTTP_REQUEST_GET, world->port, path, NULL, NULL);
}

void site_world_set_link(site_world_t *world, const char *tag,
			 const char *settings)
{
	g_autofree char *path =
		g_strdup_printf("/set?tag=%s&%s", tag, settings);

	http_request(HTTP_REQUEST_POST,
		     (uint16_t)(world->port + RELAY_CONTROL_OFFSET), path, NULL,
		     NULL);
}

bool site_world_logs_contain(const site_world_t *world, const char *text)
{
	bool found = false;

	for (uint32_t i = 0; i < world->plan.nodes; i++) {
		g_autofree char *name = g_strdup_printf("node-%u", i);
		g_autofree char *path = log_path(world, name);
		g_autofree char *log = NULL;

		if (!g_file_get_contents(path, &log, NULL, NULL))
			g_error("cannot read %s", path);
		found |= strstr(log, text) != NULL;
	}
	return found;
}

void site_world_print_logs(const site_world_t *world)
{
	for (uint32_t i = 0; i < world->plan.nodes; i++)
		if (world->nodes[i])
			process_print_log(world->nodes[i], LOG_LINES);
}

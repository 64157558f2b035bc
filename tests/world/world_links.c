#include "world/world_links.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_FIRST 21000u
#define PORT_COUNT 7000u
#define BLOCK_PORTS 100u
#define BLOCKS (PORT_COUNT / BLOCK_PORTS)

static bool port_is_free(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool bound = !bind(fd, (struct sockaddr *)&address, sizeof(address));

	close(fd);
	return bound;
}

/* Listens on a block's first port for as long as the process lives. */
static bool block_take(uint32_t block)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(PORT_FIRST + block * BLOCK_PORTS)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	static bool own[BLOCKS];
	int fd;

	if (own[block])
		return true;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	own[block] = !bind(fd, (struct sockaddr *)&address, sizeof(address)) &&
		     !listen(fd, 1);
	if (!own[block])
		close(fd);
	return own[block];
}

/*
 * Below the ports that the system gives to outgoing connections. A process
 * takes them from blocks of its own, as it starts programs on them later.
 */
uint16_t world_links_port(void)
{
	static uint32_t block;
	static uint32_t next = BLOCK_PORTS;

	for (uint32_t i = 0; i < 2 * PORT_COUNT; i++) {
		uint16_t port;

		if (next >= BLOCK_PORTS) {
			block = (block + 1) % BLOCKS;
			next = block_take(block) ? 1 : BLOCK_PORTS;
			continue;
		}
		port = (uint16_t)(PORT_FIRST + block * BLOCK_PORTS + next++);
		if (port_is_free(port))
			return port;
	}
	return 0;
}

char *world_links_tag(const world_t *world, uint32_t domain, uint32_t other)
{
	const deployment_domain_t *domains = world->deployment.domains;

	return g_strdup_printf("%s~%s", domains[MIN(domain, other)].name,
			       domains[MAX(domain, other)].name);
}

char *world_links_platform_tag(const world_t *world, uint32_t domain)
{
	return g_strdup_printf("%s~platform",
			       world->deployment.domains[domain].name);
}

char *world_links_callers_tag(const world_t *world, uint32_t domain)
{
	return g_strdup_printf("callers~%s",
			       world->deployment.domains[domain].name);
}

static uint16_t add_link(world_t *world, const char *tag, uint16_t port)
{
	uint16_t via_port = world_links_port();

	g_ptr_array_add(world->relay_links, g_strdup("--link"));
	g_ptr_array_add(world->relay_links,
			g_strdup_printf("%s=127.0.0.1:%u=127.0.0.1:%u", tag,
					via_port, port));
	return via_port;
}

static void add_route(world_t *world, GArray *routes, uint32_t domain,
		      uint32_t target_domain, uint16_t port)
{
	g_autofree char *tag = world_links_tag(world, domain, target_domain);
	world_route_t route = {.domain = domain, .port = port};

	if (domain == target_domain)
		return;
	route.via_port = add_link(world, tag, port);
	g_array_append_val(routes, route);
}

static void plan_domain(world_t *world, GArray *routes, uint32_t domain)
{
	g_autofree char *tag = world_links_platform_tag(world, domain);
	world_route_t route = {.domain = domain, .port = world->platform_port};

	route.via_port = add_link(world, tag, world->platform_port);
	g_array_append_val(routes, route);
	for (guint i = 0; i < world->nodes->len; i++) {
		const world_node_t *node = world->nodes->pdata[i];

		add_route(world, routes, domain, node->domain,
			  node->peers_port);
	}
	for (guint i = 0; i < world->servers->len; i++) {
		const world_server_t *server = world->servers->pdata[i];

		add_route(world, routes, domain, server->domain, server->port);
	}
}

GArray *world_links_plan(world_t *world)
{
	GArray *routes = g_array_new(FALSE, FALSE, sizeof(world_route_t));

	if (!world->deployment.relay)
		return routes;
	for (uint32_t i = 0; i < world->deployment.domains_count; i++)
		plan_domain(world, routes, i);
	for (guint i = 0; i < world->nodes->len; i++) {
		world_node_t *node = world->nodes->pdata[i];
		g_autofree char *tag =
			world_links_callers_tag(world, node->domain);

		node->near_port = add_link(world, tag, node->callers_port);
	}
	return routes;
}

uint16_t world_links_via(const GArray *routes, uint32_t domain, uint16_t port)
{
	for (guint i = 0; i < routes->len; i++) {
		const world_route_t *route =
			&g_array_index(routes, world_route_t, i);

		if (route->domain == domain && route->port == port)
			return route->via_port;
	}
	return port;
}

static bool set_delay(const world_t *world, const char *tag, uint32_t delay_ms)
{
	g_autofree char *path =
		g_strdup_printf("/set?tag=%s&delay_ms=%u&jitter_ms=%u", tag,
				delay_ms, world->deployment.jitter_ms);

	return world_fault(world->relay_control_port, path);
}

bool world_links_set_delays(const world_t *world)
{
	const deployment_t *deployment = &world->deployment;
	bool taken = true;

	for (uint32_t i = 0; i < deployment->domains_count; i++) {
		g_autofree char *callers = world_links_callers_tag(world, i);
		g_autofree char *platform = world_links_platform_tag(world, i);

		if (!deployment->backends_only)
			taken &= set_delay(world, callers,
					   deployment->caller_delay_ms);
		taken &=
			set_delay(world, platform, deployment->domain_delay_ms);
		for (uint32_t j = 0; j < i; j++) {
			g_autofree char *tag = world_links_tag(world, j, i);

			taken &= set_delay(world, tag,
					   deployment->domain_delay_ms);
		}
	}
	return taken;
}

static bool set_cut(const world_t *world, const char *tag, bool cut)
{
	g_autofree char *path = g_strdup_printf("/set?tag=%s&cut=%d", tag, cut);

	return world_fault(world->relay_control_port, path);
}

bool world_cut(world_t *world, uint32_t domain, uint32_t other, bool cut)
{
	g_autofree char *tag = world_links_tag(world, domain, other);

	return set_cut(world, tag, cut);
}

bool world_cut_domain(world_t *world, uint32_t domain, bool cut)
{
	g_autofree char *platform = world_links_platform_tag(world, domain);
	bool taken = set_cut(world, platform, cut);

	for (uint32_t i = 0; i < world->deployment.domains_count; i++)
		if (i != domain)
			taken &= world_cut(world, domain, i, cut);
	return taken;
}

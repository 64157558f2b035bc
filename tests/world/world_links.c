#include "world/world_links.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

/* Below the ephemeral ports that the system uses for outgoing connections. */
#define PORT_FIRST 21000u
#define PORT_COUNT 7000u

/* Abstract Unix sockets whose names mark the reserved ports. */
static GArray *reservations;

/*
 * Reserves a port by binding an abstract Unix socket named after the port, as
 * the port itself stays unbound until its server starts.
 *
 * @return false if another test deployment has reserved the port
 */
static bool port_reserve(uint16_t port)
{
	struct sockaddr_un name = {.sun_family = AF_UNIX};
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(name.sun_path + 1, sizeof(name.sun_path) - 1,
		 "toucanhook-port-%u", port);
	if (bind(fd, (struct sockaddr *)&name, sizeof(name))) {
		close(fd);
		return false;
	}
	if (!reservations)
		reservations = g_array_new(FALSE, FALSE, sizeof(int));
	g_array_append_val(reservations, fd);
	return true;
}

void world_links_release_ports(void)
{
	for (guint i = 0; reservations && i < reservations->len; i++)
		close(g_array_index(reservations, int, i));
	if (reservations)
		g_array_set_size(reservations, 0);
}

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

uint16_t world_links_port(void)
{
	static uint32_t next;

	if (!next)
		next = (uint32_t)getpid() * 97u % PORT_COUNT;
	for (uint32_t i = 0; i < PORT_COUNT; i++) {
		uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);

		if (port_is_free(port) && port_reserve(port))
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

		node->relayed_callers_port =
			add_link(world, tag, node->callers_port);
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

static bool set_delay(const world_t *world, const char *tag, uint32_t delay_ms,
		      uint32_t loss_percent)
{
	g_autofree char *path = g_strdup_printf(
		"/set?tag=%s&delay_ms=%u&jitter_ms=%u&loss_percent=%u", tag,
		delay_ms, world->deployment.jitter_ms, loss_percent);

	return world_post_control(world->relay_control_port, path);
}

bool world_links_set_delays(const world_t *world)
{
	const deployment_t *deployment = &world->deployment;
	bool accepted = true;

	for (uint32_t i = 0; i < deployment->domains_count; i++) {
		g_autofree char *callers = world_links_callers_tag(world, i);
		g_autofree char *platform = world_links_platform_tag(world, i);

		if (!deployment->backends_only)
			accepted &= set_delay(world, callers,
					      deployment->caller_delay_ms, 0);
		accepted &=
			set_delay(world, platform, deployment->domain_delay_ms,
				  deployment->loss_percent);
		for (uint32_t j = 0; j < i; j++) {
			g_autofree char *tag = world_links_tag(world, j, i);

			accepted &= set_delay(world, tag,
					      deployment->domain_delay_ms,
					      deployment->loss_percent);
		}
	}
	return accepted;
}

uint16_t world_direct_link(world_t *world, uint32_t domain,
			   const world_server_t *server)
{
	const deployment_t *deployment = &world->deployment;
	const uint16_t port = world_links_port();
	g_autofree char *tag = g_strdup_printf(
		"direct~%s~%s", deployment->domains[domain].name, server->name);
	g_autofree char *link = g_strdup_printf("%s=127.0.0.1:%u=127.0.0.1:%u",
						tag, port, server->port);
	uint32_t delay_ms = deployment->caller_delay_ms;

	if (domain != server->domain)
		delay_ms += deployment->domain_delay_ms;
	if (http_request(HTTP_REQUEST_POST, world->relay_control_port, "/link",
			 link, NULL) != 200 ||
	    !set_delay(world, tag, delay_ms, 0))
		return 0;
	return port;
}

static bool set_cut(const world_t *world, const char *tag, bool cut)
{
	g_autofree char *path = g_strdup_printf("/set?tag=%s&cut=%d", tag, cut);

	return world_post_control(world->relay_control_port, path);
}

bool world_cut(world_t *world, uint32_t domain, uint32_t other, bool cut)
{
	g_autofree char *tag = world_links_tag(world, domain, other);

	return set_cut(world, tag, cut);
}

bool world_cut_domain(world_t *world, uint32_t domain, bool cut)
{
	g_autofree char *platform = world_links_platform_tag(world, domain);
	bool accepted = set_cut(world, platform, cut);

	for (uint32_t i = 0; i < world->deployment.domains_count; i++)
		if (i != domain)
			accepted &= world_cut(world, domain, i, cut);
	return accepted;
}

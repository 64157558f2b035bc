#ifndef WORLD_WORLD_LINKS_H
#define WORLD_WORLD_LINKS_H

#include "world/world.h"

/** An address as it is reached from a failure domain. */
typedef struct {
	uint32_t domain;
	uint16_t port;
	uint16_t via_port;
} world_route_t;

/** @return a port that nobody listens on and no other world holds, or 0. */
uint16_t world_links_port(void);

/** Gives back the ports of this process, when its world has ended. */
void world_links_release_ports(void);

/**
 * Plans a relayed link for every address that is reached from another
 * failure domain, and for callers.
 *
 * @return the routes, of world_route_t
 */
GArray *world_links_plan(world_t *world);

/** @return the port by which @p port is reached from @p domain. */
uint16_t world_links_via(const GArray *routes, uint32_t domain, uint16_t port);

/** Writes the name of the links between two domains, or to a service. */
char *world_links_tag(const world_t *world, uint32_t domain, uint32_t other);

/** Name of the links from a domain to the platform. */
char *world_links_platform_tag(const world_t *world, uint32_t domain);

/** Name of the links from callers to a domain. */
char *world_links_callers_tag(const world_t *world, uint32_t domain);

/** Sets the delays of the deployment. @return whether the relay took them */
bool world_links_set_delays(const world_t *world);

#endif

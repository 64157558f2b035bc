#ifndef WORLD_WORLD_LINKS_H
#define WORLD_WORLD_LINKS_H

#include "world/world.h"

/** The relayed port by which a failure domain reaches another port. */
typedef struct {
	uint32_t domain;   /**< index of the failure domain of the sender */
	uint16_t port;	   /**< port of the target */
	uint16_t via_port; /**< port of the relay that forwards to it */
} world_route_t;

/**
 * Reserves a port that no process listens on and that no other test deployment
 * has reserved.
 *
 * @return the port, or 0 if there is none
 */
uint16_t world_links_port(void);

/** Releases the ports that this process has reserved. */
void world_links_release_ports(void);

/**
 * Plans a relayed link from each failure domain to the platform and to each
 * port in another domain, and one from callers to each VM. Adds the links to
 * the relay's arguments.
 *
 * @return an array of world_route_t
 */
GArray *world_links_plan(world_t *world);

/**
 * Returns the port by which @p domain reaches @p port; @p port itself if the
 * link is not relayed.
 */
uint16_t world_links_via(const GArray *routes, uint32_t domain, uint16_t port);

/** Returns the relay's tag of the links between two failure domains. */
char *world_links_tag(const world_t *world, uint32_t domain, uint32_t other);

/** Returns the relay's tag of the links from a domain to the platform. */
char *world_links_platform_tag(const world_t *world, uint32_t domain);

/** Returns the relay's tag of the links from callers to a domain's VMs. */
char *world_links_callers_tag(const world_t *world, uint32_t domain);

/**
 * Sets the delays, jitter and loss of all links at the relay.
 *
 * @return whether the relay accepted them
 */
bool world_links_set_delays(const world_t *world);

#endif

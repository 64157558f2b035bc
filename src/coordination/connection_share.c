#include "coordination/connection_share.h"

#include <glib.h>

/* Connections of a server that no node counts on. */
#define RESERVE_DIVISOR 10

/* Most connections of a node far away, which sends only what must go there. */
#define FAR_MAX 4

/* Most connections that are of use to one node. */
#define NEAR_MAX 16

static uint32_t far_share(const connection_share_ask_t *ask, uint32_t usable)
{
	const uint32_t nodes = ask->nodes_near + ask->nodes_far;

	return CLAMP(usable / MAX(nodes, 1) * 3 / 4, 1, FAR_MAX);
}

uint32_t connection_share(const connection_share_ask_t *ask)
{
	const uint32_t usable =
		ask->limit - MIN(ask->limit, ask->limit / RESERVE_DIVISOR + 1);
	const uint32_t far = far_share(ask, usable);
	const uint32_t taken = far * ask->nodes_far;

	if (!ask->near)
		return far;
	if (taken >= usable)
		return 1;
	return CLAMP((usable - taken) / MAX(ask->nodes_near, 1), 1, NEAR_MAX);
}

uint32_t connection_most(const connection_share_ask_t *ask)
{
	const uint32_t nodes = ask->nodes_near + ask->nodes_far;

	return CLAMP(MAX(ask->limit / 2, ask->limit / MAX(nodes, 1)), 1,
		     NEAR_MAX);
}

#include "coordination/connection_share.h"

#include <glib.h>

/* Part of a server's connections that nodes keep while they rest. */
#define KEPT_DIVISOR 2

/* Most connections that a node keeps while they rest. */
#define KEPT_MAX 1

/* Most connections that are of use to one node. */
#define MOST_MAX 16

static uint32_t nodes_of(const connection_share_ask_t *ask)
{
	return MAX(ask->nodes_near + ask->nodes_far, 1);
}

uint32_t connection_share(const connection_share_ask_t *ask)
{
	const uint32_t kept = ask->limit / KEPT_DIVISOR / nodes_of(ask);

	return MIN(kept, KEPT_MAX);
}

uint32_t connection_most(const connection_share_ask_t *ask)
{
	const uint32_t kept = connection_share(ask) * nodes_of(ask);
	const uint32_t room = ask->limit - MIN(ask->limit, kept);

	return CLAMP(MAX(room, ask->limit / 4), 1, MOST_MAX);
}

#include "coordination/connection_share.h"

#include <glib.h>

/* All nodes together keep the limit divided by this as idle connections. */
#define IDLE_DIVISOR 2

/* Maximum idle connections that one node keeps. */
#define IDLE_MAX 3

/*
 * Connections for control statements of hubs that keep none, which replace the
 * primary of a service.
 */
#define TAKEOVER_CONNECTIONS 2

/* Maximum connections that are useful to one node. */
#define CONNECTIONS_MAX 16

static uint32_t count_nodes(const connection_share_input_t *input)
{
	return MAX(input->nodes_near + input->nodes_far, 1);
}

uint32_t connection_share(const connection_share_input_t *input)
{
	const uint32_t idle = input->limit / IDLE_DIVISOR / count_nodes(input);

	return MIN(idle, IDLE_MAX);
}

uint32_t connection_share_domain(const connection_share_domain_t *input)
{
	const uint32_t control = input->provers + TAKEOVER_CONNECTIONS;
	const uint32_t available = input->limit - MIN(input->limit, control);
	const uint32_t parts = MAX(input->domains, 1) + 1; /* one in reserve */
	const uint32_t share = available / parts;
	const uint32_t rest = available % parts;

	/* The part in reserve must be as large as the largest share. */
	return MAX(share + (input->rank + 1 < rest ? 1 : 0), 1);
}

uint32_t connection_share_max(const connection_share_input_t *input)
{
	const uint32_t idle = connection_share(input) * count_nodes(input);
	const uint32_t available = input->limit - MIN(input->limit, idle);

	return CLAMP(MAX(available, input->limit / 4), 1, CONNECTIONS_MAX);
}

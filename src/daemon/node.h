#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include <event2/event.h>

#include "daemon/settings.h"

/** The tasks of one node and the callbacks between them. */
typedef struct node node_t;

/**
 * Starts all tasks; callers are served once a configuration is active.
 *
 * @return the node, or NULL with @p error set
 */
node_t *node_create(struct event_base *base, const settings_t *settings,
		    GError **error);
void node_destroy(node_t *node);

/**
 * Shuts down gracefully: accepts no new callers, finishes running requests,
 * lets other nodes take over owned servers and then ends the event loop.
 */
void node_drain(node_t *node);

#endif

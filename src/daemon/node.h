#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include <event2/event.h>

#include "daemon/settings.h"

/** Every task of one entry VM, joined to each other. */
typedef struct node node_t;

/**
 * Starts all tasks; callers are served once a configuration is in force.
 *
 * @return the node, or NULL with @p error set
 */
node_t *node_create(struct event_base *base, const settings_t *settings,
		    GError **error);
void node_destroy(node_t *node);

/**
 * Leaves gracefully: no new callers, what runs is finished, owned servers
 * pass to other nodes; then the event loop ends.
 */
void node_drain(node_t *node);

#endif

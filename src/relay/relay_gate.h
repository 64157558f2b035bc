#ifndef RELAY_RELAY_GATE_H
#define RELAY_RELAY_GATE_H

#include "relay/relay_service.h"
#include "state/endpoint.h"

/** The listening socket cannot be opened; the code is errno(3). */
#define RELAY_GATE_ERROR relay_gate_error_quark()
GQuark relay_gate_error_quark(void);

/**
 * Forwards statements of other nodes over this node's connections, for nodes
 * that cannot reach a server or find the server at its connection limit. To
 * the other node a session here looks like a connection to the server itself.
 */
typedef struct relay_gate relay_gate_t;

/**
 * Starts to listen for other nodes.
 *
 * @return the forwarding service, or NULL with @p error set when it cannot
 *         listen
 */
relay_gate_t *relay_gate_create(relay_services_t *services,
				const endpoint_t *endpoint, GError **error);
void relay_gate_destroy(relay_gate_t *forwarding);

/** Rejects new sessions and closes the idle ones. */
void relay_gate_drain(relay_gate_t *forwarding);

/** @return number of connected sessions */
uint32_t relay_gate_count(const relay_gate_t *forwarding);

#endif

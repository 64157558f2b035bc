#ifndef RELAY_RELAY_GATE_H
#define RELAY_RELAY_GATE_H

#include "relay/relay_service.h"
#include "state/endpoint.h"

/** It cannot listen; the code is errno(3). */
#define RELAY_GATE_ERROR relay_gate_error_quark()
GQuark relay_gate_error_quark(void);

/**
 * Lends this node's connections to other nodes that cannot reach a server,
 * or find it at its limit. To them a session here looks like a connection to
 * the server itself.
 */
typedef struct relay_gate relay_gate_t;

/** @return the gate, or NULL with @p error set when it cannot listen */
relay_gate_t *relay_gate_create(relay_services_t *services,
				const endpoint_t *endpoint, GError **error);
void relay_gate_destroy(relay_gate_t *gate);

/** Takes no new sessions and closes those that rest. */
void relay_gate_drain(relay_gate_t *gate);

/** @return sessions that are connected */
uint32_t relay_gate_count(const relay_gate_t *gate);

#endif

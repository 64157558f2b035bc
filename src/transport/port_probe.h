#ifndef TRANSPORT_PORT_PROBE_H
#define TRANSPORT_PORT_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "state/endpoint.h"

/** Called once, never from inside the call that starts the probe. */
typedef void (*port_probe_done_t)(void *context, bool connected);

/**
 * Finds out whether a machine accepts connections at a port, however busy
 * the program behind it is. The connection is closed at once.
 */
void port_probe_start(struct event_base *base, const endpoint_t *endpoint,
		      uint32_t timeout_ms, port_probe_done_t done,
		      void *context);

#endif

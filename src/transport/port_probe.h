#ifndef TRANSPORT_PORT_PROBE_H
#define TRANSPORT_PORT_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "state/endpoint.h"

/** Called once, never from within port_probe_start(). */
typedef void (*port_probe_done_t)(void *context, bool connected);

/**
 * Checks whether a host accepts TCP connections at a port. The kernel accepts
 * them even if the program that listens is busy. The connection is closed at
 * once.
 */
void port_probe_start(struct event_base *base, const endpoint_t *endpoint,
		      uint32_t timeout_ms, port_probe_done_t done,
		      void *context);

#endif

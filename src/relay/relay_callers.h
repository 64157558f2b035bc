#ifndef RELAY_RELAY_CALLERS_H
#define RELAY_RELAY_CALLERS_H

#include "relay/relay_session.h"
#include "state/endpoint.h"

/** It cannot listen; the code is errno(3). */
#define RELAY_CALLERS_ERROR relay_callers_error_quark()
GQuark relay_callers_error_quark(void);

/** Accepts callers and owns their sessions. */
typedef struct relay_callers relay_callers_t;

/** @return the task, or NULL with @p error set when it cannot listen */
relay_callers_t *relay_callers_create(struct event_base *base,
				      const relay_codec_t *codec,
				      relay_services_t *services,
				      const endpoint_t *endpoint,
				      GError **error);
void relay_callers_destroy(relay_callers_t *callers);

/** Takes a new catalog for the transactions that begin from now on. */
void relay_callers_configure(relay_callers_t *callers, catalog_t *catalog);

/** Closes sessions as they become idle; new ones are still served. */
void relay_callers_drain(relay_callers_t *callers);

/** Rolls back the transactions that are still open. */
void relay_callers_stop(relay_callers_t *callers);

/** Takes no further callers. */
void relay_callers_close(relay_callers_t *callers);

/** @return sessions that are connected */
uint32_t relay_callers_count(const relay_callers_t *callers);

#endif

#ifndef RELAY_RELAY_CALLERS_H
#define RELAY_RELAY_CALLERS_H

#include "relay/relay_session.h"
#include "state/endpoint.h"

/** The listening socket cannot be opened; the code is errno(3). */
#define RELAY_CALLERS_ERROR relay_callers_error_quark()
GQuark relay_callers_error_quark(void);

/** Accepts the connections of callers and owns their sessions. */
typedef struct relay_callers relay_callers_t;

/**
 * Starts to listen for callers.
 *
 * @return the listener, or NULL with @p error set when it cannot listen
 */
relay_callers_t *relay_callers_create(struct event_base *base,
				      const relay_codec_t *codec,
				      relay_services_t *services,
				      const endpoint_t *endpoint,
				      GError **error);

/** Sets where sessions obtain tokens; @p quota must outlive the sessions. */
void relay_callers_set_quota(relay_callers_t *callers, relay_quota_t *quota);

/**
 * Limits what all sessions together keep in variables and prepared statements;
 * see memory_budget.h. To be called before the first session; 0 for no limit.
 */
void relay_callers_limit_memory(relay_callers_t *callers, uint64_t limit_bytes);

/** @return what all sessions keep so, in bytes */
uint64_t relay_callers_memory(const relay_callers_t *callers);

void relay_callers_destroy(relay_callers_t *callers);

/** Sets the catalog that all transactions begun from now on use. */
void relay_callers_configure(relay_callers_t *callers, catalog_t *catalog);

/**
 * Closes sessions as they become idle, and ends transactions and refuses
 * statements that may not end in time; new sessions are still accepted.
 */
void relay_callers_drain(relay_callers_t *callers, const drain_plan_t *plan);

/**
 * Answers all that is accepted with what is known now, and closes the sessions
 * once that is written.
 *
 * @return what was cut
 */
relay_cut_t relay_callers_finish(relay_callers_t *callers);

/** Stops accepting connections. */
void relay_callers_close(relay_callers_t *callers);

/** @return number of connected sessions */
uint32_t relay_callers_count(const relay_callers_t *callers);

#endif

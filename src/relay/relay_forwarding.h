#ifndef RELAY_RELAY_FORWARDING_H
#define RELAY_RELAY_FORWARDING_H

#include "relay/relay_hub.h"
#include "relay/relay_quota_leader.h"
#include "relay/relay_service.h"
#include "state/endpoint.h"

/** The listening socket cannot be opened; the code is errno(3). */
#define RELAY_FORWARDING_ERROR relay_forwarding_error_quark()
GQuark relay_forwarding_error_quark(void);

/**
 * Forwards statements of other nodes over this node's connections, for nodes
 * that cannot reach a server or find the server at its connection limit. To
 * the other node a session here looks like a connection to the server itself.
 */
typedef struct relay_forwarding relay_forwarding_t;

/**
 * Starts to listen for other nodes.
 *
 * @return the forwarding service, or NULL with @p error set when it cannot
 *         listen
 */
relay_forwarding_t *relay_forwarding_create(relay_services_t *services,
					    const endpoint_t *endpoint,
					    GError **error);
void relay_forwarding_destroy(relay_forwarding_t *forwarding);

/**
 * Serves nodes that follow this hub; the hub must outlive the sessions. Ends
 * the sessions of nodes that followed an earlier one.
 *
 * @param hub NULL to serve none
 */
void relay_forwarding_set_hub(relay_forwarding_t *forwarding, relay_hub_t *hub);

/** Answers requests for tokens; the leader must outlive the sessions. */
void relay_forwarding_set_quota(relay_forwarding_t *forwarding,
				relay_quota_leader_t *leader);

/** Rejects new sessions and closes the idle ones. */
void relay_forwarding_drain(relay_forwarding_t *forwarding);

/**
 * Refuses the statements that wait, and those that come later; ends the
 * sessions in which none runs.
 *
 * @return number of statements that run
 */
uint32_t relay_forwarding_finish(relay_forwarding_t *forwarding);

/** @return number of connected sessions */
uint32_t relay_forwarding_count(const relay_forwarding_t *forwarding);

#endif

#ifndef RELAY_RELAY_HUB_WANTS_H
#define RELAY_RELAY_HUB_WANTS_H

#include "relay/relay_hub_message.h"
#include "relay/relay_service.h"

/**
 * The services of which a node that follows the hub is sent proofs and points:
 * all, or those that its requests named, of which each point is sent once.
 */
typedef struct relay_hub_wants relay_hub_wants_t;

/** Initially all services are wanted. */
relay_hub_wants_t *relay_hub_wants_create(relay_services_t *services);

/** NULL is allowed. */
void relay_hub_wants_destroy(relay_hub_wants_t *wants);

/** Applies what a request names; one that names nothing wants all services. */
void relay_hub_wants_update(relay_hub_wants_t *wants,
			    const hub_request_t *request);

/** @return the wanted services that exist, relay_service_t; unref it */
GPtrArray *relay_hub_wants_list(relay_hub_wants_t *wants);

/**
 * @param sampled_ms when the service's newest point was sampled
 * @return whether the point has to be sent, and assumes that it is sent
 */
bool relay_hub_wants_point(relay_hub_wants_t *wants,
			   const relay_service_t *service, uint64_t sampled_ms);

/** @return whether an answer tells the node that it may name services */
bool relay_hub_wants_offer(const relay_hub_wants_t *wants);

#endif

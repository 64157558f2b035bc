#ifndef RELAY_RELAY_GRANT_H
#define RELAY_RELAY_GRANT_H

#include "relay/relay_service.h"

/**
 * Has another node prove who leads, while the store does not renew this
 * node's lease. What the other node has proved itself is good here no longer
 * than there.
 */
typedef struct relay_grant relay_grant_t;

relay_grant_t *relay_grant_create(relay_services_t *services);
void relay_grant_destroy(relay_grant_t *grant);

/** Asks another node, if none is being asked; called while it is needed. */
void relay_grant_step(relay_grant_t *grant, uint64_t now_ms);

/** Ends the connection to the other node. */
void relay_grant_rest(relay_grant_t *grant);

/** @return what this node could grant now, as relay_grant_step() reads it */
char *relay_grant_offer(relay_services_t *services, uint64_t now_ms);

/**
 * Takes in what another node offers.
 *
 * @param sent_ms when it was asked
 * @return whether it could prove anything
 */
bool relay_grant_take(relay_services_t *services, const char *offer,
		      uint64_t sent_ms);

#endif

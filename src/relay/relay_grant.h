#ifndef RELAY_RELAY_GRANT_H
#define RELAY_RELAY_GRANT_H

#include "relay/relay_service.h"

/**
 * Obtains proofs of the primaries from other nodes while the store does not
 * renew this node's lease. A proof expires here no later than on the node that
 * granted it.
 */
typedef struct relay_grant relay_grant_t;

/** Creates the task; no connection is opened before relay_grant_step(). */
relay_grant_t *relay_grant_create(relay_services_t *services);
void relay_grant_destroy(relay_grant_t *grant);

/**
 * Requests proofs from another node unless a request is under way. Must be
 * called periodically while such proofs are needed.
 */
void relay_grant_step(relay_grant_t *grant, uint64_t now_ms);

/** Closes the connection to the other node. */
void relay_grant_reset(relay_grant_t *grant);

/**
 * @return the proofs that this node can grant now, in the text form that
 *         relay_grant_apply() parses; free with g_free()
 */
char *relay_grant_offer(relay_services_t *services, uint64_t now_ms);

/**
 * Applies the proofs that another node granted.
 *
 * @param sent_ms when the request was sent
 * @return whether the offer contained a valid proof
 */
bool relay_grant_apply(relay_services_t *services, const char *offer,
		       uint64_t sent_ms);

#endif

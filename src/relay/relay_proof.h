#ifndef RELAY_RELAY_PROOF_H
#define RELAY_RELAY_PROOF_H

#include "relay/relay_service.h"

/**
 * While the store does not renew the node's lease, polls the replicas to prove
 * that no primary was replaced. For this purpose the task keeps, for each
 * server, a connection that was opened before the records were last read.
 */
typedef struct relay_proof relay_proof_t;

/** @param verify reads the primary records from the store again */
relay_proof_t *relay_proof_create(relay_services_t *services,
				  void (*verify)(void *context), void *context);
void relay_proof_destroy(relay_proof_t *proof);

/**
 * Opens a connection to each server that should have one but has none. A hub
 * that starts does so while it registers: opening takes two round trips and a
 * slot of the server, which the first statements would wait for.
 */
void relay_proof_connect(relay_services_t *services);

#endif

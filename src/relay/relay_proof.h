#ifndef RELAY_RELAY_PROOF_H
#define RELAY_RELAY_PROOF_H

#include "relay/relay_service.h"

/**
 * Has the replicas prove that no primary was replaced while the store does
 * not renew the node's lease. For that it keeps a connection to each server,
 * opened before the records were last read.
 */
typedef struct relay_proof relay_proof_t;

/** @param verify reads the records of who leads anew */
relay_proof_t *relay_proof_create(relay_services_t *services,
				  void (*verify)(void *context), void *context);
void relay_proof_destroy(relay_proof_t *proof);

#endif

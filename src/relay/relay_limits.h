#ifndef RELAY_RELAY_LIMITS_H
#define RELAY_RELAY_LIMITS_H

#include "relay/relay_peers.h"
#include "state/catalog.h"

/** What this node's numbers of connections to a service's servers depend on. */
typedef struct {
	const relay_peers_t *peers;
	const catalog_service_t *service; /**< or NULL if it is not known */
	bool by_customer;    /**< each connection serves one customer */
	bool is_hub;	     /**< this node keeps connections to the servers */
	bool is_coordinator; /**< it watches the primaries of all services */
	bool large;	     /**< too many servers for connections to all */
} relay_limits_t;

/** @param servers relay_server_t of the service, whose limits are set */
void relay_limits_apply(const relay_limits_t *limits, const GPtrArray *servers);

#endif

#ifndef RELAY_RELAY_SERVICE_PRIVATE_H
#define RELAY_RELAY_SERVICE_PRIVATE_H

#include "relay/relay_peers.h"
#include "relay/relay_service.h"

struct relay_service {
	relay_services_t *services;
	char *name;
	/*
	 * Whether the configuration names it. Another writer's entry may name
	 * any service; its servers are kept until the service is configured.
	 */
	bool configured;
	GPtrArray *servers; /* relay_server_t */
	primary_lease_t lease;
	point_samples_t *samples; /* log points of the primary, or NULL */
	zone_spill_t spill;
	uint64_t verified_ms; /* when the last completed record read was sent */
	uint64_t primary_since_ms;  /* when the present primary became known */
	uint64_t takeover_since_ms; /* when its takeover became known, or 0 */
	GQueue parked;		    /* relay_parked_t */
};

struct relay_services {
	relay_services_settings_t settings;
	relay_server_host_t host;
	node_lease_t lease;
	const catalog_t *catalog;
	relay_peers_t peers;
	takeover_times_t takeovers; /* how long those of all services took */
	GRand *random;		    /* spreads the retries of callers */
	bool is_hub;		    /* keeps connections to the servers */
	bool is_coordinator;	    /* watches the primaries of all services */
	uint32_t servers;	    /* number of servers of all services */
	service_interest_t interest;
	GHashTable *services; /* name -> relay_service_t */
};

/* Updates the list of replicas after the servers or the primary changed. */
void relay_service_update_replicas(relay_service_t *service);

#endif

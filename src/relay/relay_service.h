#ifndef RELAY_RELAY_SERVICE_H
#define RELAY_RELAY_SERVICE_H

#include "base/metrics.h"
#include "coordination/primary_lease.h"
#include "relay/relay_server.h"
#include "state/catalog.h"
#include "state/point_samples.h"

/**
 * What this node knows of one replicated service: its servers, who leads,
 * how far the log goes, and which statements wait for a primary.
 */
typedef struct relay_service relay_service_t;

/** All services of a node. */
typedef struct relay_services relay_services_t;

/** What the services need of the node. */
typedef struct {
	struct event_base *base;
	const relay_codec_t *codec;
	metrics_t *metrics;
	const char *node;
	const char *failure_domain;
	GHashTable *regions; /**< failure domain -> region */
	/** A server's connections failed. */
	void (*troubled)(void *context, const char *service,
			 const char *server);
	void *context;
} relay_services_settings_t;

/** Who waits until a service has a usable primary. */
typedef struct {
	void (*wake)(void *context);
	void *context;
	GList *place; /**< private */
} relay_parked_t;

relay_services_t *relay_services_create(relay_services_settings_t settings);
void relay_services_destroy(relay_services_t *services);

const relay_services_settings_t *
relay_services_settings(const relay_services_t *services);

/** The node's own lease; changed by who renews it. */
node_lease_t *relay_services_lease(relay_services_t *services);

/** Takes a new catalog; kept until the next call. */
void relay_services_configure(relay_services_t *services,
			      const catalog_t *catalog);

/** Another node, which may lend its connections. */
typedef struct {
	char *name;
	char *failure_domain;
	endpoint_t gate;
} relay_peer_t;

void relay_peer_free(relay_peer_t *peer);

/**
 * Takes in all nodes that live, this one included.
 *
 * @param peers relay_peer_t; taken over
 */
void relay_services_set_nodes(relay_services_t *services, GPtrArray *peers);

/**
 * @return whether this node keeps connections to all servers, though there
 *         are too few for every node to do so, and proves who leads for
 *         the others
 */
bool relay_services_is_prover(const relay_services_t *services);

/**
 * @return another node's gate, a different one each time and every other time
 *         one that proves for the others; or NULL
 */
const endpoint_t *relay_services_next_peer(relay_services_t *services);

/** Takes in a server's entry; takes it over. */
void relay_services_put(relay_services_t *services, backend_entry_t *entry);

/** Takes in that a server's entry is gone. */
void relay_services_remove(relay_services_t *services, const char *server);

/** @return the service, or NULL */
relay_service_t *relay_services_find(relay_services_t *services,
				     const char *name);

/** Lists the names of all services; free the array only. */
GPtrArray *relay_services_names(relay_services_t *services);

/** Takes in who leads, as of a revision of the store. */
void relay_service_lead(relay_service_t *service, uint64_t term,
			const char *primary, bool takeover, int64_t revision);

/** Takes in that nothing has changed up to a revision, asked at a time. */
void relay_services_unchanged(relay_services_t *services, int64_t revision,
			      uint64_t asked_ms);

/** Forgets everything that proves who leads. */
void relay_services_forget(relay_services_t *services);

/** Wakes all that wait for a primary, if one may be used now. */
void relay_services_wake(relay_services_t *services);

const char *relay_service_name(const relay_service_t *service);
relay_services_t *relay_service_services(const relay_service_t *service);
primary_lease_t *relay_service_lease(relay_service_t *service);
point_samples_t *relay_service_samples(relay_service_t *service);

/** @return when the record of who leads was last asked for */
uint64_t relay_service_verified_ms(const relay_service_t *service);

/** @return relay_server_t of the service, for reading */
const GPtrArray *relay_service_servers(const relay_service_t *service);

relay_server_t *relay_service_server(const relay_service_t *service,
				     const char *id);

/** @return whether the present primary may be used now */
bool relay_service_lead_valid(const relay_service_t *service);

/** @return the primary, or NULL when there is none that may be used */
relay_server_t *relay_service_primary(const relay_service_t *service);

/** Learns from an answer of a server to a question of @p sent_ms. */
void relay_service_seen(relay_service_t *service, relay_server_t *server,
			log_point_t point, uint64_t sent_ms);

/** Waits for a primary; @p parked is woken once. */
void relay_service_park(relay_service_t *service, relay_parked_t *parked);
void relay_service_unpark(relay_service_t *service, relay_parked_t *parked);

/** @return statements that wait for a primary */
uint32_t relay_service_parked(const relay_service_t *service);

/** @return whether two domains are in one region */
bool relay_services_same_region(const relay_services_t *services,
				const char *domain);

#endif

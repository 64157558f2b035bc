#ifndef RELAY_RELAY_SERVICE_H
#define RELAY_RELAY_SERVICE_H

#include "base/metrics.h"
#include "coordination/primary_lease.h"
#include "coordination/service_interest.h"
#include "coordination/takeover_times.h"
#include "coordination/zone_spill.h"
#include "relay/relay_peers.h"
#include "relay/relay_server.h"
#include "state/catalog.h"
#include "state/point_samples.h"

/**
 * State of one replicated service on this node: its servers, the primary, log
 * points of the primary, and the statements that wait for a primary.
 */
typedef struct relay_service relay_service_t;

/** All services of a node. */
typedef struct relay_services relay_services_t;

/** Resources and callbacks that the node provides to its services. */
typedef struct {
	struct event_base *base;
	const relay_codec_t *codec;
	metrics_t *metrics;
	const char *node;
	const char *failure_domain;
	GHashTable *regions; /**< failure domain -> region */
	/**
	 * @return where to reach a server over a hub; NULL if this node is to
	 *         connect itself or no hub answers
	 */
	const endpoint_t *(*hub)(void *context, const char *server,
				 uint32_t failures);
	/** Called when connections to a server failed. */
	void (*on_connection_failure)(void *context, const char *service,
				      const char *server);
	void *context;
} relay_services_settings_t;

/** A statement that waits until its service has a usable primary. */
typedef struct {
	void (*wake)(void *context);
	void *context;
	GList *queue_link; /**< position in the queue, NULL when not waiting */
} relay_parked_t;

relay_services_t *relay_services_create(relay_services_settings_t settings);
void relay_services_destroy(relay_services_t *services);

const relay_services_settings_t *
relay_services_settings(const relay_services_t *services);

/** @return the node's own lease, which relay_registration_t updates */
node_lease_t *relay_services_lease(relay_services_t *services);

/**
 * Applies a new catalog.
 *
 * @param catalog must stay valid until the next call
 */
void relay_services_configure(relay_services_t *services,
			      const catalog_t *catalog);

/** @return the catalog, or NULL before the first was applied */
const catalog_t *relay_services_catalog(const relay_services_t *services);

/**
 * Sets the list of hubs, including this node if it is one.
 *
 * @param peers relay_peer_t; ownership is transferred
 */
void relay_services_set_nodes(relay_services_t *services, GPtrArray *peers);

/** @return the forwarding endpoint of a hub, or NULL if there is none */
const endpoint_t *relay_services_hub_endpoint(const relay_services_t *services,
					      const char *name);

/**
 * Sets whether this node is a hub, which keeps connections to the servers.
 * Other nodes reach the servers over hubs and keep none.
 */
void relay_services_set_hub(relay_services_t *services, bool is_hub);

/**
 * Sets whether this node watches the primaries of all services, so that it
 * keeps a connection to each server that it queries.
 */
void relay_services_set_coordinator(relay_services_t *services,
				    bool is_coordinator);

/** @return whether there are too many servers for connections to all */
bool relay_services_is_large(const relay_services_t *services);

/**
 * @return whether this node is a prover: it keeps a connection to every server
 *         even where there are too few for all nodes, and proves the primaries
 *         for the other nodes
 */
bool relay_services_is_prover(const relay_services_t *services);

/**
 * @return the forwarding endpoint of another node, or NULL; successive calls
 *         rotate over the nodes and try a prover every other time
 */
const endpoint_t *relay_services_next_peer(relay_services_t *services);

/** Adds or updates a server; takes ownership of @p entry. */
void relay_services_put(relay_services_t *services, backend_entry_t *entry);

/** @return whether any service has the server */
bool relay_services_has(const relay_services_t *services, const char *server);

/** Removes a server. */
void relay_services_remove(relay_services_t *services, const char *server);

/** @return number of services that are configured */
uint32_t relay_services_count(const relay_services_t *services);

/** @return the services that this node used lately */
service_interest_t *relay_services_interest(relay_services_t *services);

/** @return the service, or NULL */
relay_service_t *relay_services_find(relay_services_t *services,
				     const char *name);

/** @return the names of all configured services; free the array only */
GPtrArray *relay_services_names(relay_services_t *services);

/**
 * Applies a primary record.
 *
 * @param takeover whether a replacement of the primary is under way
 * @param revision store revision of the record
 */
void relay_service_set_primary(relay_service_t *service, uint64_t term,
			       const char *primary, bool takeover,
			       int64_t revision);

/**
 * Records that no primary record has changed up to a store revision.
 *
 * @param queried_ms when the store was queried
 */
void relay_services_records_unchanged(relay_services_t *services,
				      int64_t revision, uint64_t queried_ms);

/** Discards all proofs of the primaries, including the node's lease. */
void relay_services_forget_proofs(relay_services_t *services);

/** Wakes the waiters of each service whose primary may be used now. */
void relay_services_wake(relay_services_t *services);

/** @return whether points of the primary's log were sampled or asked for */
bool relay_service_has_samples(const relay_service_t *service);

const char *relay_service_name(const relay_service_t *service);
relay_services_t *relay_service_services(const relay_service_t *service);
primary_lease_t *relay_service_lease(relay_service_t *service);
point_samples_t *relay_service_samples(relay_service_t *service);

/** @return which part of the service's reads leaves the zone */
zone_spill_t *relay_service_spill(relay_service_t *service);

/** @return when the latest completed read of the primary record was sent */
uint64_t relay_service_verified_ms(const relay_service_t *service);

/** @return the servers (relay_server_t) of the service; read only */
const GPtrArray *relay_service_servers(const relay_service_t *service);

/** @return the server with an id, or NULL */
relay_server_t *relay_service_server(const relay_service_t *service,
				     const char *id);

/** @return whether a valid proof allows use of the present primary now */
bool relay_service_primary_valid(const relay_service_t *service);

/**
 * @param end set to the expected end of the takeover that is under way
 * @return false if none is known to be under way
 */
bool relay_service_takeover_end(const relay_service_t *service,
				takeover_end_t *end);

/** @return the primary, or NULL if none may be used now */
relay_server_t *relay_service_primary(const relay_service_t *service);

/**
 * Records the log point that a server reported: as a sample of the primary's
 * log, or to measure the lag of a replica.
 *
 * @param sent_ms when the request was sent
 */
void relay_service_record_point(relay_service_t *service,
				relay_server_t *server, log_point_t point,
				uint64_t sent_ms);

/** Waits for a usable primary; @p parked is woken once. */
void relay_service_park(relay_service_t *service, relay_parked_t *parked);
/** Cancels the wait; does nothing if @p parked is not waiting. */
void relay_service_unpark(relay_service_t *service, relay_parked_t *parked);

/** @return number of statements that wait for a primary */
uint32_t relay_service_parked_count(const relay_service_t *service);

/** @return a random number from 0 to 1, seeded with the node's name */
double relay_services_random(relay_services_t *services);

/** @return whether a failure domain is in the region of this node */
bool relay_services_same_region(const relay_services_t *services,
				const char *domain);

#endif

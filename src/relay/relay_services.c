#include "relay/relay_service_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/connection_upkeep.h"
#include "relay/relay_limits.h"

static void service_free(gpointer data)
{
	relay_service_t *service = data;

	for (guint i = 0; i < service->servers->len; i++)
		relay_server_destroy(service->servers->pdata[i]);
	g_ptr_array_unref(service->servers);
	g_queue_clear(&service->parked);
	g_free(service->samples);
	g_free(service->name);
	g_free(service);
}

static relay_service_t *service_of(relay_services_t *services,
				   const relay_server_t *server)
{
	return relay_services_find(services,
				   relay_server_entry(server)->service);
}

static void on_opened(void *context, relay_server_t *server, log_point_t point,
		      uint64_t requested_ms)
{
	relay_service_t *service = service_of(context, server);

	if (service)
		relay_service_record_point(service, server, point,
					   requested_ms);
}

static void report_connection_failure(void *context, relay_server_t *server)
{
	relay_services_t *services = context;
	const backend_entry_t *entry = relay_server_entry(server);

	if (!relay_server_is_retired(server))
		services->settings.on_connection_failure(
			services->settings.context, entry->service, entry->id);
}

static const endpoint_t *pick_endpoint(void *context,
				       const relay_server_t *server);

static void count_connection(void *context, const relay_server_t *server,
			     const char *event)
{
	const relay_services_t *services = context;
	g_autofree char *labels = metrics_labels(
		"server", relay_server_entry(server)->id, "event", event, NULL);

	if (services->settings.metrics)
		metric_add(metrics_counter(services->settings.metrics,
					   "toucanhook_connections_total",
					   labels),
			   1);
}

static bool identifies_callers(const relay_services_t *services)
{
	return services->catalog && services->catalog->identifies_callers;
}

/* A hub connects directly to the servers that it keeps connections to. */
static const endpoint_t *pick_hub(void *context, const relay_server_t *server,
				  uint32_t failures)
{
	const relay_services_t *services = context;

	if (services->is_hub && !identifies_callers(services) &&
	    (!relay_services_is_large(services) || relay_server_share(server)))
		return NULL;
	return services->settings.hub(services->settings.context,
				      relay_server_entry(server)->id, failures);
}

relay_services_t *relay_services_create(relay_services_settings_t settings)
{
	relay_services_t *services = g_new0(relay_services_t, 1);

	services->settings = settings;
	services->random = g_rand_new_with_seed(g_str_hash(settings.node));
	services->peers = (relay_peers_t){
		.node = settings.node,
		.failure_domain = settings.failure_domain,
		.regions = settings.regions,
	};
	services->host = (relay_server_host_t){
		.base = settings.base,
		.codec = settings.codec,
		.opened = on_opened,
		.hub = pick_hub,
		.forwarding_node = pick_endpoint,
		.count_connection = count_connection,
		.on_connection_failure = report_connection_failure,
		.context = services,
	};
	services->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, service_free);
	return services;
}

void relay_services_destroy(relay_services_t *services)
{
	if (!services)
		return;
	g_hash_table_destroy(services->services);
	g_rand_free(services->random);
	g_clear_pointer(&services->peers.list, g_ptr_array_unref);
	g_free(services);
}

const relay_services_settings_t *
relay_services_settings(const relay_services_t *services)
{
	return &services->settings;
}

node_lease_t *relay_services_lease(relay_services_t *services)
{
	return &services->lease;
}

relay_service_t *relay_services_find(relay_services_t *services,
				     const char *name)
{
	return g_hash_table_lookup(services->services, name);
}

static relay_service_t *service_get(relay_services_t *services,
				    const char *name)
{
	relay_service_t *service = relay_services_find(services, name);

	if (service)
		return service;
	service = g_new0(relay_service_t, 1);
	service->services = services;
	service->name = g_strdup(name);
	service->servers = g_ptr_array_new();
	g_queue_init(&service->parked);
	g_hash_table_insert(services->services, service->name, service);
	return service;
}

uint32_t relay_services_count(const relay_services_t *services)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		count += ((relay_service_t *)service)->configured;
	return count;
}

service_interest_t *relay_services_interest(relay_services_t *services)
{
	return &services->interest;
}

GPtrArray *relay_services_names(relay_services_t *services)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;
	gpointer service;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, &name, &service))
		if (((relay_service_t *)service)->configured)
			g_ptr_array_add(names, name);
	return names;
}

bool relay_services_is_prover(const relay_services_t *services)
{
	return relay_peers_is_prover(&services->peers, services->settings.node);
}

bool relay_services_is_large(const relay_services_t *services)
{
	return connection_upkeep_is_large(services->servers);
}

static void apply_limits(relay_service_t *service)
{
	const relay_services_t *services = service->services;
	const catalog_t *catalog = services->catalog;

	relay_limits_apply(
		&(relay_limits_t){
			.peers = &services->peers,
			.service = catalog ? catalog_service(catalog,
							     service->name) :
					     NULL,
			.by_customer = identifies_callers(services),
			.is_hub = services->is_hub,
			.is_coordinator = services->is_coordinator,
			.large = relay_services_is_large(services),
		},
		service->servers);
}

static void apply_all_limits(relay_services_t *services)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		if (((relay_service_t *)service)->configured)
			apply_limits(service);
}

const catalog_t *relay_services_catalog(const relay_services_t *services)
{
	return services->catalog;
}

void relay_services_configure(relay_services_t *services,
			      const catalog_t *catalog)
{
	GHashTableIter iter;
	gpointer name;
	gpointer database;

	services->catalog = catalog;
	g_hash_table_iter_init(&iter, catalog->services);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		service_get(services, name)->configured = true;
	g_hash_table_iter_init(&iter, catalog->databases);
	while (g_hash_table_iter_next(&iter, NULL, &database))
		service_get(services, ((catalog_database_t *)database)->service)
			->configured = true;
	apply_all_limits(services);
}

void relay_services_set_nodes(relay_services_t *services, GPtrArray *peers)
{
	g_clear_pointer(&services->peers.list, g_ptr_array_unref);
	services->peers.list = peers;
	apply_all_limits(services);
}

const endpoint_t *relay_services_hub_endpoint(const relay_services_t *services,
					      const char *name)
{
	return relay_peers_endpoint(&services->peers, name);
}

void relay_services_set_coordinator(relay_services_t *services,
				    bool is_coordinator)
{
	if (services->is_coordinator == is_coordinator)
		return;
	services->is_coordinator = is_coordinator;
	apply_all_limits(services);
}

void relay_services_set_hub(relay_services_t *services, bool is_hub)
{
	services->is_hub = is_hub;
	apply_all_limits(services);
}

const endpoint_t *relay_services_next_peer(relay_services_t *services)
{
	return relay_peers_next_proving(&services->peers);
}

/* Prefers nodes in the server's failure domain every other time. */
static const endpoint_t *pick_endpoint(void *context,
				       const relay_server_t *server)
{
	relay_services_t *services = context;
	const endpoint_t *endpoint = NULL;

	if (identifies_callers(services))
		return relay_peers_next_first(&services->peers,
					      relay_server_entry(server)->id);
	if (services->peers.next % 2)
		endpoint = relay_peers_next(
			&services->peers,
			relay_server_entry(server)->failure_domain);
	return endpoint ? endpoint : relay_peers_next(&services->peers, NULL);
}

static bool same_start(const backend_entry_t *a, const backend_entry_t *b)
{
	return a->started_ms == b->started_ms &&
	       a->endpoint.port == b->endpoint.port &&
	       !strcmp(a->endpoint.address, b->endpoint.address);
}

static void retire(relay_service_t *service, relay_server_t *server)
{
	g_ptr_array_remove(service->servers, server);
	relay_server_destroy(server);
	service->services->servers--;
}

static void service_wake(relay_service_t *service)
{
	uint32_t count = service->parked.length;

	if (!relay_service_primary(service))
		return;
	while (count-- > 0 && service->parked.length) {
		relay_parked_t *parked = g_queue_peek_head(&service->parked);

		relay_service_unpark(service, parked);
		parked->wake(parked->context);
	}
}

void relay_services_put(relay_services_t *services, backend_entry_t *entry)
{
	relay_service_t *service = service_get(services, entry->service);
	relay_server_t *server = relay_service_server(service, entry->id);
	bool was_large;

	if (server && same_start(relay_server_entry(server), entry)) {
		const bool draining_changed =
			relay_server_entry(server)->draining != entry->draining;

		if (draining_changed)
			log_event(LOG_LEVEL_NOTICE, "server_draining",
				  "service=%s server=%s", service->name,
				  entry->id);
		relay_server_update(server, entry);
		return;
	}
	if (server)
		retire(service, server);
	log_event(LOG_LEVEL_NOTICE, "server_added",
		  "service=%s server=%s address=%s:%u domain=%s primary=%d",
		  service->name, entry->id, entry->endpoint.address,
		  entry->endpoint.port, entry->failure_domain,
		  entry->reports_primary);
	was_large = relay_services_is_large(services);
	g_ptr_array_add(service->servers,
			relay_server_create(&services->host, entry));
	services->servers++;
	relay_service_update_replicas(service);
	if (!service->configured)
		return;
	if (was_large == relay_services_is_large(services))
		apply_limits(service);
	else
		apply_all_limits(services);
	service_wake(service);
}

bool relay_services_has(const relay_services_t *services, const char *id)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		if (relay_service_server(service, id))
			return true;
	return false;
}

void relay_services_remove(relay_services_t *services, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		relay_service_t *service = value;
		relay_server_t *server = relay_service_server(service, id);

		if (!server)
			continue;
		log_event(LOG_LEVEL_NOTICE, "server_removed",
			  "service=%s server=%s", service->name, id);
		retire(service, server);
		relay_service_update_replicas(service);
		/* Any text may have been the name of such a service. */
		if (!service->configured && !service->servers->len)
			g_hash_table_iter_remove(&iter);
	}
}

void relay_services_records_unchanged(relay_services_t *services,
				      int64_t revision, uint64_t queried_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		relay_service_t *service = value;

		if (primary_lease_unchanged(&service->lease, revision))
			service->verified_ms =
				MAX(service->verified_ms, queried_ms);
	}
	relay_services_wake(services);
}

void relay_services_forget_proofs(relay_services_t *services)
{
	GHashTableIter iter;
	gpointer value;

	node_lease_lost(&services->lease);
	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		primary_lease_forget_proofs(&((relay_service_t *)value)->lease);
}

void relay_services_wake(relay_services_t *services)
{
	g_autoptr(GPtrArray) names = relay_services_names(services);

	for (guint i = 0; i < names->len; i++)
		service_wake(relay_services_find(services, names->pdata[i]));
}

double relay_services_random(relay_services_t *services)
{
	return g_rand_double(services->random);
}

bool relay_services_same_region(const relay_services_t *services,
				const char *domain)
{
	GHashTable *regions = services->settings.regions;

	return !g_strcmp0(g_hash_table_lookup(regions, domain),
			  g_hash_table_lookup(
				  regions, services->settings.failure_domain));
}

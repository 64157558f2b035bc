#include "relay/relay_service.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/connection_share.h"
#include "coordination/owner.h"

/* Number of provers: one per NODES_PER_PROVER nodes, within bounds. */
#define NODES_PER_PROVER 16
#define PROVERS_MIN 4
#define PROVERS_MAX 8

/* Multiplier that spreads the hashes of names that differ only at the end. */
#define HASH_SPREAD 2654435761u

/* Connections to a server before the catalog and the nodes are known. */
#define CONNECTIONS_DEFAULT 2

/* Connections of a node to a server over other nodes, where it has customers.
 */
#define FORWARDED_MAX 16

struct relay_service {
	relay_services_t *services;
	char *name;
	GPtrArray *servers; /* relay_server_t */
	primary_lease_t lease;
	point_samples_t samples; /* log points of the primary */
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
	GPtrArray *nodes; /* relay_peer_t, hubs, or NULL before any is known */
	uint32_t next_node;	    /* rotates over the nodes */
	takeover_times_t takeovers; /* how long those of all services took */
	GRand *random;		    /* spreads the retries of callers */
	bool is_hub;		    /* keeps connections to the servers */
	GHashTable *services;	    /* name -> relay_service_t */
};

static void service_free(gpointer data)
{
	relay_service_t *service = data;

	for (guint i = 0; i < service->servers->len; i++)
		relay_server_destroy(service->servers->pdata[i]);
	g_ptr_array_unref(service->servers);
	g_queue_clear(&service->parked);
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

static const endpoint_t *pick_hub(void *context, const relay_server_t *server,
				  uint32_t failures)
{
	const relay_services_t *services = context;

	return services->settings.hub(services->settings.context,
				      relay_server_entry(server)->id, failures);
}

relay_services_t *relay_services_create(relay_services_settings_t settings)
{
	relay_services_t *services = g_new0(relay_services_t, 1);

	services->settings = settings;
	services->random = g_rand_new_with_seed(g_str_hash(settings.node));
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
	g_clear_pointer(&services->nodes, g_ptr_array_unref);
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

GPtrArray *relay_services_names(relay_services_t *services)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, name);
	return names;
}

static uint32_t nodes_in(const relay_services_t *services, const char *domain)
{
	uint32_t count = 0;

	for (guint i = 0; services->nodes && i < services->nodes->len; i++) {
		const relay_peer_t *peer = services->nodes->pdata[i];

		count += !strcmp(peer->failure_domain, domain);
	}
	return count;
}

static uint32_t nodes_all(const relay_services_t *services)
{
	return services->nodes ? services->nodes->len : 0;
}

static uint32_t provers_wanted(const relay_services_t *services)
{
	return CLAMP(nodes_all(services) / NODES_PER_PROVER, PROVERS_MIN,
		     PROVERS_MAX);
}

/* The provers are the nodes with the lowest hashes; all nodes agree on them. */
static bool is_prover(const relay_services_t *services, const char *node)
{
	const guint hash = g_str_hash(node) * HASH_SPREAD;
	uint32_t before = 0;

	for (guint i = 0; i < nodes_all(services); i++) {
		const relay_peer_t *peer = services->nodes->pdata[i];

		before += g_str_hash(peer->name) * HASH_SPREAD < hash;
	}
	return before < provers_wanted(services);
}

bool relay_services_is_prover(const relay_services_t *services)
{
	return is_prover(services, services->settings.node);
}

/* @return whether a hub of a domain is first in the list of its domain */
static bool is_first_of_domain(const relay_services_t *services, guint index)
{
	const relay_peer_t *peer = services->nodes->pdata[index];

	for (guint i = 0; i < index; i++) {
		const relay_peer_t *other = services->nodes->pdata[i];

		if (!strcmp(peer->failure_domain, other->failure_domain))
			return false;
	}
	return true;
}

/* @return order of a domain by its distance from a server, lowest first */
static uint32_t distance(const relay_services_t *services, const char *domain,
			 const char *server_domain)
{
	GHashTable *regions = services->settings.regions;

	if (!strcmp(domain, server_domain))
		return 0;
	return regions && !g_strcmp0(
				  g_hash_table_lookup(regions, domain),
				  g_hash_table_lookup(regions, server_domain)) ?
		       1 :
		       2;
}

/* @return whether domain a comes before domain b; all nodes agree */
static bool domain_precedes(const relay_services_t *services, const char *a,
			    const char *b, const char *server_domain)
{
	const uint32_t a_distance = distance(services, a, server_domain);
	const uint32_t b_distance = distance(services, b, server_domain);

	return a_distance != b_distance ? a_distance < b_distance :
					  strcmp(a, b) < 0;
}

/* @return this node's connections to a server, without control statements */
static uint32_t customer_room(const relay_services_t *services,
			      const char *server_domain, uint32_t limit)
{
	const char *own = services->settings.failure_domain;
	connection_share_domain_t input = {
		.limit = limit,
		.provers = MIN(provers_wanted(services), nodes_all(services)),
	};

	for (guint i = 0; i < nodes_all(services); i++) {
		const relay_peer_t *peer = services->nodes->pdata[i];

		if (!is_first_of_domain(services, i))
			continue;
		input.domains++;
		input.rank += domain_precedes(services, peer->failure_domain,
					      own, server_domain);
	}
	return connection_share_domain(&input);
}

/* Each connection to a server serves one customer. */
static void apply_customer_limits(relay_service_t *service,
				  const catalog_service_t *limits)
{
	const relay_services_t *services = service->services;
	const bool is_known = limits && services->nodes;
	const uint32_t control =
		services->is_hub && relay_services_is_prover(services);

	for (guint i = 0; i < service->servers->len; i++) {
		relay_server_t *server = service->servers->pdata[i];
		const char *domain = relay_server_entry(server)->failure_domain;
		uint32_t room = is_known ? 0 : CONNECTIONS_DEFAULT;

		if (is_known && services->is_hub)
			room = customer_room(services, domain,
					     limits->connections_max);
		relay_server_set_customer_limit(server, control, control + room,
						FORWARDED_MAX);
	}
}

static void apply_limits(relay_service_t *service)
{
	relay_services_t *services = service->services;
	const uint32_t prover = relay_services_is_prover(services);
	const catalog_service_t *limits =
		services->catalog ?
			catalog_service(services->catalog, service->name) :
			NULL;

	if (limits && services->nodes &&
	    services->catalog->identifies_callers) {
		apply_customer_limits(service, limits);
		return;
	}
	for (guint i = 0; i < service->servers->len; i++) {
		relay_server_t *server = service->servers->pdata[i];
		const char *domain = relay_server_entry(server)->failure_domain;
		const uint32_t near = nodes_in(services, domain);
		const connection_share_input_t input = {
			.limit = limits ? limits->connections_max : 0,
			.nodes_near = near,
			.nodes_far = nodes_all(services) - near,
		};

		if (limits && services->nodes && !services->is_hub)
			relay_server_set_limit(server, 0,
					       connection_share_max(&input));
		else if (limits && services->nodes)
			relay_server_set_limit(
				server, MAX(connection_share(&input), prover),
				connection_share_max(&input));
		else
			relay_server_set_limit(server, CONNECTIONS_DEFAULT,
					       CONNECTIONS_DEFAULT);
	}
}

static void apply_all_limits(relay_services_t *services)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, services->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
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
		service_get(services, name);
	g_hash_table_iter_init(&iter, catalog->databases);
	while (g_hash_table_iter_next(&iter, NULL, &database))
		service_get(services,
			    ((catalog_database_t *)database)->service);
	apply_all_limits(services);
}

void relay_peer_free(relay_peer_t *peer)
{
	g_free(peer->name);
	g_free(peer->failure_domain);
	g_free(peer->forwarding.address);
	g_free(peer);
}

void relay_services_set_nodes(relay_services_t *services, GPtrArray *peers)
{
	g_clear_pointer(&services->nodes, g_ptr_array_unref);
	services->nodes = peers;
	apply_all_limits(services);
}

const endpoint_t *relay_services_hub_endpoint(const relay_services_t *services,
					      const char *name)
{
	for (guint i = 0; services->nodes && i < services->nodes->len; i++) {
		const relay_peer_t *peer = services->nodes->pdata[i];

		if (!strcmp(peer->name, name))
			return &peer->forwarding;
	}
	return NULL;
}

void relay_services_set_hub(relay_services_t *services, bool is_hub)
{
	services->is_hub = is_hub;
	apply_all_limits(services);
}

static bool can_forward(const relay_services_t *services,
			const relay_peer_t *peer, const char *domain)
{
	return strcmp(peer->name, services->settings.node) &&
	       (!domain || !strcmp(peer->failure_domain, domain));
}

static const endpoint_t *next_endpoint(relay_services_t *services,
				       const char *domain)
{
	for (guint i = 0; i < nodes_all(services); i++) {
		const relay_peer_t *peer =
			services->nodes->pdata[services->next_node++ %
					       services->nodes->len];

		if (can_forward(services, peer, domain))
			return &peer->forwarding;
	}
	return NULL;
}

const endpoint_t *relay_services_next_peer(relay_services_t *services)
{
	const uint32_t count = nodes_all(services);

	for (uint32_t i = 0; services->next_node % 2 && i < count; i++) {
		const relay_peer_t *peer =
			services->nodes->pdata[services->next_node++ % count];

		if (can_forward(services, peer, NULL) &&
		    is_prover(services, peer->name))
			return &peer->forwarding;
	}
	return next_endpoint(services, NULL);
}

/* @return whether no hub of its domain ranks before the hub for a server */
static bool ranks_first(const relay_services_t *services,
			const relay_peer_t *peer, uint64_t server_key)
{
	const uint64_t weight = owner_weight(owner_key(peer->name), server_key);

	for (guint i = 0; i < nodes_all(services); i++) {
		const relay_peer_t *other = services->nodes->pdata[i];

		if (!strcmp(other->failure_domain, peer->failure_domain) &&
		    owner_weight(owner_key(other->name), server_key) > weight)
			return false;
	}
	return true;
}

/* Only the hub that ranks first in its domain has connections to a server. */
static const endpoint_t *next_first_hub(relay_services_t *services,
					const char *server)
{
	const uint64_t server_key = owner_key(server);

	for (guint i = 0; i < nodes_all(services); i++) {
		const relay_peer_t *peer =
			services->nodes->pdata[services->next_node++ %
					       services->nodes->len];

		if (can_forward(services, peer, NULL) &&
		    strcmp(peer->failure_domain,
			   services->settings.failure_domain) &&
		    ranks_first(services, peer, server_key))
			return &peer->forwarding;
	}
	return NULL;
}

/* Prefers nodes in the server's failure domain every other time. */
static const endpoint_t *pick_endpoint(void *context,
				       const relay_server_t *server)
{
	relay_services_t *services = context;
	const endpoint_t *endpoint = NULL;

	if (services->catalog && services->catalog->identifies_callers)
		return next_first_hub(services, relay_server_entry(server)->id);
	if (services->next_node % 2)
		endpoint = next_endpoint(
			services, relay_server_entry(server)->failure_domain);
	return endpoint ? endpoint : next_endpoint(services, NULL);
}

static void update_replicas(relay_service_t *service)
{
	const char *ids[PRIMARY_LEASE_REPLICAS_MAX];
	uint32_t count = 0;

	for (guint i = 0; i < service->servers->len; i++) {
		const backend_entry_t *entry =
			relay_server_entry(service->servers->pdata[i]);

		if (strcmp(entry->id, service->lease.primary) &&
		    count < PRIMARY_LEASE_REPLICAS_MAX)
			ids[count++] = entry->id;
	}
	primary_lease_set_replicas(&service->lease, ids, count);
}

relay_server_t *relay_service_server(const relay_service_t *service,
				     const char *id)
{
	for (guint i = 0; i < service->servers->len; i++) {
		relay_server_t *server = service->servers->pdata[i];

		if (!strcmp(relay_server_entry(server)->id, id))
			return server;
	}
	return NULL;
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
}

void relay_services_put(relay_services_t *services, backend_entry_t *entry)
{
	relay_service_t *service = service_get(services, entry->service);
	relay_server_t *server = relay_service_server(service, entry->id);

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
	g_ptr_array_add(service->servers,
			relay_server_create(&services->host, entry));
	update_replicas(service);
	apply_limits(service);
	relay_services_wake(services);
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
		update_replicas(service);
	}
}

/* Records when a takeover begins, and how long it took when it has ended. */
static void note_takeover(relay_service_t *service)
{
	const uint64_t now_ms = clock_boot_ms();

	if (service->lease.takeover && !service->takeover_since_ms) {
		service->takeover_since_ms = now_ms;
	} else if (!service->lease.takeover && service->takeover_since_ms) {
		takeover_times_add(&service->services->takeovers,
				   now_ms - service->takeover_since_ms);
		service->takeover_since_ms = 0;
	}
}

bool relay_service_takeover_end(const relay_service_t *service,
				takeover_end_t *end)
{
	if (!service->takeover_since_ms)
		return false;
	*end = takeover_times_end(&service->services->takeovers,
				  service->takeover_since_ms, clock_boot_ms());
	return true;
}

void relay_service_set_primary(relay_service_t *service, uint64_t term,
			       const char *primary, bool takeover,
			       int64_t revision)
{
	const bool changed = term != service->lease.term ||
			     takeover != service->lease.takeover ||
			     strcmp(primary, service->lease.primary);

	if (strcmp(primary, service->lease.primary)) {
		service->samples = (point_samples_t){0};
		service->primary_since_ms = clock_boot_ms();
	}
	primary_lease_apply_record(&service->lease, term, primary, takeover,
				   revision);
	note_takeover(service);
	if (!changed)
		return;
	log_event(LOG_LEVEL_NOTICE, "primary_changed",
		  "service=%s term=%" PRIu64 " primary=%s takeover=%d "
		  "revision=%" PRId64 " waiting=%u",
		  service->name, term, primary, takeover, revision,
		  service->parked.length);
	update_replicas(service);
	relay_services_wake(service->services);
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

void relay_services_wake(relay_services_t *services)
{
	g_autoptr(GPtrArray) names = relay_services_names(services);

	for (guint i = 0; i < names->len; i++)
		service_wake(relay_services_find(services, names->pdata[i]));
}

const char *relay_service_name(const relay_service_t *service)
{
	return service->name;
}

relay_services_t *relay_service_services(const relay_service_t *service)
{
	return service->services;
}

primary_lease_t *relay_service_lease(relay_service_t *service)
{
	return &service->lease;
}

point_samples_t *relay_service_samples(relay_service_t *service)
{
	return &service->samples;
}

zone_spill_t *relay_service_spill(relay_service_t *service)
{
	return &service->spill;
}

uint64_t relay_service_verified_ms(const relay_service_t *service)
{
	return service->verified_ms;
}

const GPtrArray *relay_service_servers(const relay_service_t *service)
{
	return service->servers;
}

bool relay_service_primary_valid(const relay_service_t *service)
{
	return primary_lease_valid(&service->lease, &service->services->lease,
				   clock_boot_ms());
}

relay_server_t *relay_service_primary(const relay_service_t *service)
{
	if (!relay_service_primary_valid(service))
		return NULL;
	return relay_service_server(service, service->lease.primary);
}

void relay_service_record_point(relay_service_t *service,
				relay_server_t *server, log_point_t point,
				uint64_t sent_ms)
{
	const uint64_t now_ms = clock_boot_ms();

	if (!point.term || relay_server_is_retired(server))
		return;
	/*
	 * A lease that is valid now was also valid when the request was sent.
	 * An answer to a request from before this primary became known may have
	 * been given while the server was still a replica.
	 */
	if (server == relay_service_primary(service)) {
		if (sent_ms >= service->primary_since_ms)
			point_samples_add(&service->samples, sent_ms, point);
		return;
	}
	replica_lag_record_received(
		relay_server_lag(server),
		point_samples_age_ms(&service->samples, point, now_ms), now_ms);
}

void relay_service_park(relay_service_t *service, relay_parked_t *parked)
{
	g_queue_push_tail(&service->parked, parked);
	parked->queue_link = service->parked.tail;
}

void relay_service_unpark(relay_service_t *service, relay_parked_t *parked)
{
	if (!parked->queue_link)
		return;
	g_queue_delete_link(&service->parked, parked->queue_link);
	parked->queue_link = NULL;
}

uint32_t relay_service_parked_count(const relay_service_t *service)
{
	return service->parked.length;
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

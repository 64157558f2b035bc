#include "relay/relay_node_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_explain.h"
#include "store/kv_eras.h"

/* Maximum number of series of one metric; further labels share one series. */
#define METRIC_SERIES_MAX 256u

/* Part of the VM's memory that all sessions together may fill. */
#define KEPT_MEMORY_PART 4

static bool is_ready(void *context)
{
	const relay_node_t *node = context;

	return node->catalog && node->synced &&
	       !drain_plan_is_begun(&node->drain);
}

static void report_connection_failure(void *context, const char *service,
				      const char *server)
{
	relay_node_t *node = context;

	if (node->coordinator)
		relay_coordinator_connection_failed(node->coordinator, service,
						    server);
}

static const endpoint_t *route_over_hub(void *context, const char *server,
					uint32_t failures)
{
	const relay_node_t *node = context;

	return relay_subscription_route(node->subscription, server, failures,
					node->hub ? node->settings->node :
						    NULL);
}

/* Sets the gauges; counters are updated where the events occur. */
static void update_gauges(void *context)
{
	const relay_node_t *node = context;
	const node_lease_t *lease = relay_services_lease(node->services);

	metric_set(metrics_gauge(node->metrics, "toucanhook_callers", ""),
		   relay_callers_count(node->callers));
	metric_set(metrics_gauge(node->metrics,
				 "toucanhook_session_memory_bytes", ""),
		   (int64_t)relay_callers_memory(node->callers));
	metric_set(metrics_gauge(node->metrics, "toucanhook_lent_sessions", ""),
		   relay_forwarding_count(node->forwarding));
	metric_set(metrics_gauge(node->metrics, "toucanhook_lease_valid", ""),
		   clock_boot_ms() < lease->valid_until_ms);
	metric_set(metrics_gauge(node->metrics, "toucanhook_duty_held", ""),
		   relay_coordinator_is_held(node->coordinator));
	metric_set(metrics_gauge(node->metrics, "toucanhook_quota_leader", ""),
		   relay_quota_leader_is_active(node->quota_leader));
	metric_set(
		metrics_gauge(node->metrics, "toucanhook_catalog_version", ""),
		node->catalog ? (int64_t)node->catalog->version : 0);
}

static char *explain(void *context, const char *name, bool writes)
{
	const relay_node_t *node = context;
	const catalog_database_t *database =
		node->catalog ? catalog_database(node->catalog, name) : NULL;

	return database ? relay_explain(node->services, database, writes) :
			  NULL;
}

/* @return the hub's address, or NULL if it is unknown */
static const endpoint_t *hub_endpoint(void *context, const char *hub)
{
	const relay_node_t *node = context;

	return relay_services_hub_endpoint(node->services, hub);
}

static bool is_hub(void *context, const char *name)
{
	return hub_endpoint(context, name);
}

static uint64_t hub_heard_ms(void *context, const char *hub)
{
	const relay_node_t *node = context;

	return relay_subscription_heard_ms(node->subscription, hub);
}

/* @return the part of the quotas that a leader of this domain has */
static quota_share_t quota_share(const relay_settings_t *settings)
{
	quota_share_t share = {.domains = g_hash_table_size(settings->regions)};
	GHashTableIter iter;
	gpointer domain;

	g_hash_table_iter_init(&iter, settings->regions);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		share.rank += strcmp(domain, settings->failure_domain) < 0;
	return share;
}

static void create_quota_tasks(relay_node_t *node)
{
	const relay_settings_t *settings = node->settings;
	const relay_quota_leader_handlers_t leader_handlers = {
		.is_hub = is_hub,
		.heard_ms = hub_heard_ms,
		.context = node,
	};
	const relay_quota_handlers_t quota_handlers = {
		.endpoint = hub_endpoint,
		.context = node,
	};

	node->quota_leader = relay_quota_leader_create(
		node->base, node->platform.store, settings->node,
		settings->failure_domain, quota_share(settings),
		leader_handlers);
	node->quota = relay_quota_create(node->services, node->quota_leader,
					 quota_handlers);
}

/* Listens for callers, other nodes and the balancer. */
static bool listen_all(relay_node_t *node, GError **error)
{
	const relay_settings_t *settings = node->settings;

	node->callers =
		relay_callers_create(node->base, node->platform.codec,
				     node->services, &settings->callers, error);
	if (node->callers)
		node->forwarding = relay_forwarding_create(
			node->services, &settings->forwarding, error);
	if (node->callers)
		relay_callers_set_quota(node->callers, node->quota);
	if (node->callers)
		relay_callers_limit_memory(node->callers,
					   settings->memory_bytes /
						   KEPT_MEMORY_PART);
	if (node->forwarding)
		relay_forwarding_set_quota(node->forwarding,
					   node->quota_leader);
	if (node->forwarding)
		node->page = relay_status_page_create(
			node->base, &settings->readiness, &settings->metrics,
			node->metrics, is_ready, update_gauges, node, error);
	if (node->page)
		relay_status_page_set_explain(node->page, explain);
	return node->page;
}

relay_node_t *relay_node_create(struct event_base *base,
				const relay_settings_t *settings,
				relay_platform_t platform, GError **error)
{
	relay_node_t *node = g_new0(relay_node_t, 1);

	node->base = base;
	node->settings = settings;
	node->platform = platform;
	node->platform.store = kv_eras_create(base, platform.store);
	node->platform.store->restored = relay_node_on_restored;
	node->platform.store->restored_context = node;
	node->metrics = metrics_create(METRIC_SERIES_MAX);
	node->hub_values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->applied = revision_table_create();
	node->read_timer = evtimer_new(base, relay_node_on_read_timer, node);
	node->drain_timer =
		event_new(base, -1, EV_PERSIST, relay_node_on_drain, node);
	node->services = relay_services_create((relay_services_settings_t){
		.base = base,
		.codec = platform.codec,
		.metrics = node->metrics,
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.regions = settings->regions,
		.hub = route_over_hub,
		.on_connection_failure = report_connection_failure,
		.context = node,
	});
	node->backends = relay_backends_create(base, node->services,
					       platform.source, node->metrics);
	node->coordinator = relay_coordinator_create(
		base, node->platform.store, node->services, platform.promoter,
		settings->node, relay_node_on_takeover, node);
	relay_node_create_hub_tasks(node);
	create_quota_tasks(node);
	if (listen_all(node, error))
		return node;
	relay_node_destroy(node);
	return NULL;
}

void relay_node_destroy(relay_node_t *node)
{
	if (!node)
		return;
	relay_status_page_destroy(node->page);
	relay_callers_destroy(node->callers);
	relay_forwarding_destroy(node->forwarding);
	relay_quota_destroy(node->quota);
	relay_quota_leader_destroy(node->quota_leader);
	relay_join_destroy(node->join);
	relay_subscription_destroy(node->subscription);
	kv_follow_destroy(node->follow);
	kv_follow_destroy(node->primaries);
	event_free(node->read_timer);
	relay_backends_destroy(node->backends);
	relay_registration_destroy(node->registration);
	relay_proof_destroy(node->proof);
	relay_hub_destroy(node->hub);
	relay_services_destroy(node->services);
	relay_coordinator_destroy(node->coordinator);
	kv_store_destroy(node->platform.store);
	catalog_unref(node->catalog);
	g_hash_table_destroy(node->hub_values);
	revision_table_destroy(node->applied);
	event_free(node->drain_timer);
	metrics_destroy(node->metrics);
	g_free(node);
}

#include "relay/relay_node.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/text.h"
#include "relay/relay_callers.h"
#include "relay/relay_coordinator.h"
#include "coordination/delegation.h"
#include "relay/relay_explain.h"
#include "relay/relay_forwarding.h"
#include "relay/relay_hub.h"
#include "relay/relay_join.h"
#include "relay/relay_proof.h"
#include "relay/relay_quota.h"
#include "relay/relay_registration.h"
#include "relay/relay_backends.h"
#include "relay/relay_status_page.h"
#include "relay/relay_subscription.h"
#include "state/revision_table.h"
#include "store/kv_eras.h"
#include "store/kv_follow.h"

/* Maximum number of series of one metric; further labels share one series. */
#define METRIC_SERIES_MAX 256u

/* Pause between watches; the changes in between cost one call to the store. */
#define FOLLOW_PAUSE_MS 1500

/* The same pause for the primary records. */
#define PRIMARIES_PAUSE_MS 40

/* Delay before a failed read of the primary records is retried. */
#define READ_RETRY_MS 150

/* Time in which the load balancer may still send callers to a draining node. */
#define DRAIN_ACCEPT_MS 2500

/* Timer interval while draining. */
#define DRAIN_TICK_MS 50

struct relay_node {
	struct event_base *base;
	const relay_settings_t *settings;
	relay_platform_t platform;
	metrics_t *metrics;
	relay_services_t *services;
	relay_callers_t *callers;
	relay_forwarding_t *forwarding;
	relay_registration_t *registration;
	relay_coordinator_t *coordinator;
	relay_proof_t *proof;
	relay_quota_leader_t *quota_leader;
	relay_quota_t *quota;
	relay_status_page_t *page;
	relay_join_t *join;
	relay_subscription_t *subscription;
	/* Of a hub alone; NULL on other nodes. */
	relay_hub_t *hub;
	kv_follow_t *follow;	/* all keys, with a long pause */
	kv_follow_t *primaries; /* primary records, with a short pause */
	struct event *read_timer;
	bool reading;	       /* the primary records are being read */
	bool read_again;       /* another read is due after the present one */
	uint64_t read_sent_ms; /* when the last read was sent */
	int64_t read_revision; /* of its first page, or 0 */
	bool hubs_changed;     /* hub_values changed since the last sync */
	bool registered;       /* a lease was registered at least once */
	bool confirm_due;      /* a takeover must be confirmed */
	catalog_t *catalog;
	revision_table_t *applied;  /* changes of keys, from all sources */
	GHashTable *hub_values;	    /* key -> value written by the hub */
	relay_backends_t *backends; /* the backend servers' entries */
	bool synced;		    /* all keys were read at least once */
	struct event *drain_timer;
	drain_plan_t drain;
};

static bool is_ready(void *context)
{
	const relay_node_t *node = context;

	return node->catalog && node->synced &&
	       !drain_plan_is_begun(&node->drain);
}

static void on_catalog(relay_node_t *node, const kv_item_t *item)
{
	const relay_source_t *source = node->platform.source;
	catalog_t *catalog;

	if (item->deleted || !item->value)
		return;
	catalog = relay_source_newer_catalog(source, item, node->catalog);
	if (!catalog)
		return;
	log_event(LOG_LEVEL_NOTICE, "catalog_applied",
		  "version=%" PRIu64 " revision=%" PRId64
		  " databases=%u customers=%u",
		  catalog->version, item->revision,
		  g_hash_table_size(catalog->databases),
		  g_hash_table_size(catalog->customers));
	relay_services_configure(node->services, catalog);
	relay_quota_leader_configure(node->quota_leader, catalog);
	relay_quota_configure(node->quota, catalog);
	relay_callers_configure(node->callers, catalog);
	catalog_unref(node->catalog);
	node->catalog = catalog;
}

static void on_hub_key(relay_node_t *node, const kv_item_t *item)
{
	const char *own = relay_registration_key(node->registration);
	char *text;

	node->hubs_changed = true;
	if (item->deleted || !item->value) {
		g_hash_table_remove(node->hub_values, item->key);
		if (!g_strcmp0(own, item->key))
			relay_registration_key_removed(node->registration,
						       item->revision);
		return;
	}
	text = text_from_bytes(item->value);
	g_hash_table_replace(node->hub_values, g_strdup(item->key),
			     text ? text : g_strdup("")); /* names no hub */
}

static relay_peer_t *peer_parse(const char *key, const char *value)
{
	relay_peer_t *peer;
	relay_hub_key_t hub;

	if (!relay_hub_key_decode(key, value, &hub)) {
		log_event(LOG_LEVEL_WARNING, "hub_key_invalid",
			  "key=%s value=\"%s\"", key, value);
		return NULL;
	}
	peer = g_new0(relay_peer_t, 1);
	peer->name = hub.name;
	peer->failure_domain = hub.domain;
	peer->forwarding = hub.forwarding;
	return peer;
}

static void update_hubs(relay_node_t *node)
{
	GPtrArray *peers =
		g_ptr_array_new_with_free_func((GDestroyNotify)relay_peer_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	node->hubs_changed = false;
	g_hash_table_iter_init(&iter, node->hub_values);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		relay_peer_t *peer = peer_parse(key, value);

		if (peer)
			g_ptr_array_add(peers, peer);
	}
	relay_subscription_set_hubs(node->subscription, peers);
	relay_services_set_nodes(node->services, peers);
	relay_quota_hubs_changed(node->quota);
}

/* @return whether the node uses the key; others are not passed on either */
static bool is_followed(const relay_node_t *node, const char *key)
{
	const relay_source_t *source = node->platform.source;

	return g_str_has_prefix(key, source->backends_prefix) ||
	       !strcmp(key, source->catalog_key) ||
	       g_str_has_prefix(key, RELAY_HUBS_PREFIX);
}

/*
 * Records a change of a key. One that a hub reports again has the recorded
 * revision.
 *
 * @return whether the change is to be applied
 */
static bool advance(relay_node_t *node, const kv_item_t *item, bool again)
{
	const int64_t known = revision_table_known(node->applied, item->key);

	if (revision_table_advance(node->applied, item->key, item->revision,
				   again))
		return true;
	if (item->revision == known)
		return false;
	metric_add(metrics_counter(node->metrics,
				   "toucanhook_superseded_changes", ""),
		   1);
	log_event(LOG_LEVEL_INFO, "change_superseded",
		  "key=%s revision=%" PRId64 " known=%" PRId64, item->key,
		  item->revision, known);
	return false;
}

/* Applies a change of the configuration, a server or a hub. */
static void apply_change(relay_node_t *node, const kv_item_t *item)
{
	const relay_source_t *source = node->platform.source;

	if (!is_followed(node, item->key) || !advance(node, item, false))
		return;
	if (g_str_has_prefix(item->key, source->backends_prefix))
		relay_backends_apply(node->backends, item);
	else if (!strcmp(item->key, source->catalog_key))
		on_catalog(node, item);
	else
		on_hub_key(node, item);
}

/*
 * Applies a primary record. One that is read again is applied again: its
 * service may have been unknown the first time.
 */
static void apply_primary(relay_node_t *node, const kv_item_t *item)
{
	if (!advance(node, item, true))
		return;
	if (g_str_has_prefix(item->key, RELAY_QUOTA_PREFIX)) {
		relay_quota_leader_key_changed(node->quota_leader, item);
		relay_quota_key_changed(node->quota, item);
	} else {
		relay_coordinator_key_changed(node->coordinator, item);
	}
}

static void changes_applied(relay_node_t *node)
{
	node->synced = true;
	if (node->hubs_changed)
		update_hubs(node);
}

/*
 * Passes a change on to the nodes that follow this hub. An entry that names no
 * server is passed on as a removal: it may be larger than a message.
 */
static void pass_on(relay_node_t *node, const kv_item_t *item)
{
	const relay_source_t *source = node->platform.source;
	kv_item_t passed = *item;

	if (!is_followed(node, item->key))
		return;
	if (g_str_has_prefix(item->key, source->backends_prefix) &&
	    !relay_backends_check(node->backends, item))
		passed = (kv_item_t){.key = item->key,
				     .revision = item->revision,
				     .deleted = true};
	relay_hub_put(node->hub, HUB_STREAM_CATALOG, &passed);
}

static void on_changed(void *context, const kv_item_t *item)
{
	relay_node_t *node = context;

	pass_on(node, item);
	apply_change(node, item);
}

static void on_synced(void *context, int64_t revision, uint64_t queried_ms)
{
	relay_node_t *node = context;

	changes_applied(node);
	if (!node->registered)
		relay_proof_connect(node->services);
	relay_hub_synced(node->hub, HUB_STREAM_CATALOG, revision);
}

static void on_primary(void *context, const kv_item_t *item)
{
	relay_node_t *node = context;

	relay_hub_put(node->hub, HUB_STREAM_PRIMARIES, item);
	apply_primary(node, item);
}

static void on_hub_changed(void *context, hub_stream_t stream,
			   const kv_item_t *item)
{
	relay_node_t *node = context;

	if (stream == HUB_STREAM_CATALOG)
		apply_change(node, item);
	else
		apply_primary(node, item);
}

static void on_hub_synced(void *context, hub_stream_t stream, int64_t revision)
{
	relay_node_t *node = context;

	if (stream == HUB_STREAM_CATALOG)
		changes_applied(node);
	else
		relay_coordinator_synced(node->coordinator);
}

static void on_takeover(void *context)
{
	relay_node_t *node = context;

	node->confirm_due = true;
}

/* All nodes that follow this hub know the takeover, or can use no proof. */
static void on_takeover_settled(void *context, int64_t revision)
{
	relay_node_t *node = context;

	relay_registration_confirm(node->registration, revision);
}

static void confirm_if_due(relay_node_t *node, int64_t revision)
{
	if (!node->confirm_due)
		return;
	node->confirm_due = false;
	/* A node that is registering reads the records afterwards. */
	if (relay_registration_is_active(node->registration))
		relay_hub_settle(node->hub, revision, on_takeover_settled,
				 node);
}

static void records_synced(relay_node_t *node, int64_t revision,
			   uint64_t queried_ms)
{
	relay_coordinator_synced(node->coordinator);
	relay_services_records_unchanged(node->services, revision, queried_ms);
	relay_hub_synced(node->hub, HUB_STREAM_PRIMARIES, revision);
	confirm_if_due(node, revision);
	if (relay_coordinator_is_current(node->coordinator))
		relay_registration_records_restored(node->registration);
}

static void on_primaries_synced(void *context, int64_t revision,
				uint64_t queried_ms)
{
	relay_node_t *node = context;

	relay_quota_leader_synced(node->quota_leader, revision, queried_ms);
	records_synced(node, revision, queried_ms);
}

static void report_connection_failure(void *context, const char *service,
				      const char *server)
{
	relay_node_t *node = context;

	if (node->coordinator)
		relay_coordinator_connection_failed(node->coordinator, service,
						    server);
}

static void read_primaries(void *context);
static void start_hub(relay_node_t *node);
static void open_hub(relay_node_t *node);
static void stop_hub(relay_node_t *node);

static void on_primaries(void *context, const kv_answer_t *answer);

static void read_page(relay_node_t *node, const char *after_key)
{
	node->platform.store->calls->range(node->platform.store->self,
					   RELAY_PRIMARIES_PREFIX, after_key,
					   on_primaries, node);
}

static void on_primaries(void *context, const kv_answer_t *answer)
{
	relay_node_t *node = context;
	const struct timeval delay = clock_timeval(READ_RETRY_MS);
	const kv_item_t *last = NULL;

	node->reading = false;
	if (!node->hub)
		return;
	if (answer->result != KV_OK) {
		event_add(node->read_timer, &delay);
		return;
	}
	/* Later pages may show later changes, which come again. */
	if (!node->read_revision)
		node->read_revision = answer->revision;
	for (guint i = 0; i < answer->items->len; i++) {
		last = answer->items->pdata[i];
		on_primary(node, last);
	}
	if (answer->has_more && last) {
		node->reading = true;
		read_page(node, last->key);
		return;
	}
	records_synced(node, node->read_revision, node->read_sent_ms);
	log_event(LOG_LEVEL_INFO, "primaries_read",
		  "revision=%" PRId64 " after_ms=%" PRIu64, node->read_revision,
		  clock_boot_ms() - node->read_sent_ms);
	if (node->read_again)
		read_primaries(node);
}

/*
 * Reads the primary records. This must happen after the lease was registered,
 * and after the connections were opened whose answers are to prove the primary.
 */
static void read_primaries(void *context)
{
	relay_node_t *node = context;

	node->read_again = node->reading;
	if (node->reading || !node->hub)
		return;
	node->reading = true;
	node->read_revision = 0;
	node->read_sent_ms = clock_boot_ms();
	read_page(node, NULL);
}

/* Watches that were sent before an outage of the store may stay unanswered. */
static void on_recovered(void *context)
{
	relay_node_t *node = context;

	kv_follow_restart(node->follow);
	kv_follow_restart(node->primaries);
}

/*
 * The store came back from an older copy: what the node knows of it must be
 * read again, and what the node wrote there may be gone.
 */
static void on_restored(void *context)
{
	relay_node_t *node = context;

	if (!node->hub)
		return;
	relay_registration_restored(node->registration);
	relay_coordinator_restored(node->coordinator);
	kv_follow_relist(node->follow);
	kv_follow_relist(node->primaries);
}

static void on_claim_taken(void *context)
{
	relay_node_t *node = context;

	stop_hub(node);
	relay_join_taken(node->join);
}

static void on_proofs_settled(void *context, int64_t revision)
{
	relay_node_t *node = context;

	relay_registration_settled(node->registration);
}

/* Before a new lease, all proofs that were given must have expired. */
static void on_settle(void *context)
{
	relay_node_t *node = context;

	relay_hub_settle(node->hub, DELEGATION_ALL, on_proofs_settled, node);
}

static void on_keys_listed(void *context, const GPtrArray *items)
{
	relay_node_t *node = context;

	for (guint i = 0; i < items->len; i++)
		apply_change(node, items->pdata[i]);
	if (node->hubs_changed)
		update_hubs(node);
}

static GHashTable *get_hubs(void *context)
{
	return ((relay_node_t *)context)->hub_values;
}

static uint64_t get_answered_ms(void *context)
{
	const relay_node_t *node = context;

	return relay_subscription_answered_ms(node->subscription);
}

static void on_claim(void *context, const char *key, int64_t revision)
{
	relay_node_t *node = context;

	start_hub(node);
	relay_registration_claim(node->registration, key, revision,
				 revision != 0);
}

static const endpoint_t *route_over_hub(void *context, const char *server,
					uint32_t failures)
{
	const relay_node_t *node = context;

	return relay_subscription_route(node->subscription, server, failures,
					node->hub ? node->settings->node :
						    NULL);
}

/* The first registration needs no restart: the watches were just started. */
static void on_registered(void *context)
{
	relay_node_t *node = context;

	relay_quota_leader_registered(node->quota_leader);
	read_primaries(node);
	if (node->registered)
		on_recovered(node);
	else
		open_hub(node);
	node->registered = true;
}

static void on_read_timer(evutil_socket_t fd, short what, void *context)
{
	read_primaries(context);
}

/* Sets the gauges; counters are updated where the events occur. */
static void update_gauges(void *context)
{
	const relay_node_t *node = context;
	const node_lease_t *lease = relay_services_lease(node->services);

	metric_set(metrics_gauge(node->metrics, "toucanhook_callers", ""),
		   relay_callers_count(node->callers));
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

static void on_drain(evutil_socket_t fd, short what, void *context);

static void start_following(relay_node_t *node)
{
	kv_store_t *store = node->platform.store;

	if (node->follow) {
		kv_follow_relist(node->follow);
		kv_follow_relist(node->primaries);
		return;
	}
	node->follow = kv_follow_create(node->base, store, "", FOLLOW_PAUSE_MS,
					(kv_follow_handlers_t){
						.changed = on_changed,
						.synced = on_synced,
						.context = node,
					});
	node->primaries = kv_follow_create(
		node->base, store, RELAY_PRIMARIES_PREFIX, PRIMARIES_PAUSE_MS,
		(kv_follow_handlers_t){
			.changed = on_primary,
			.synced = on_primaries_synced,
			.context = node,
		});
}

/*
 * Starts to follow the store and to serve other nodes what it reads, while the
 * hub's key is being claimed. Proofs need the registration.
 */
static void start_hub(relay_node_t *node)
{
	node->hub = relay_hub_create(node->services);
	relay_services_set_hub(node->services, true);
	relay_forwarding_set_hub(node->forwarding, node->hub);
	relay_quota_leader_set_hub(node->quota_leader, true);
	start_following(node);
}

/* Proves the primaries for the domain, once the key is claimed. */
static void open_hub(relay_node_t *node)
{
	relay_coordinator_enable(node->coordinator);
	node->proof = relay_proof_create(node->services, read_primaries, node);
}

/* Ends what start_hub() began. */
static void stop_hub(relay_node_t *node)
{
	kv_follow_stop(node->follow);
	kv_follow_stop(node->primaries);
	relay_services_set_hub(node->services, false);
	relay_forwarding_set_hub(node->forwarding, NULL);
	relay_quota_leader_set_hub(node->quota_leader, false);
	g_clear_pointer(&node->hub, relay_hub_destroy);
}

/* Creates what finds the hubs, follows them, and claims a hub's key. */
static void create_hub_tasks(relay_node_t *node)
{
	const relay_settings_t *settings = node->settings;
	const relay_registration_handlers_t registration_handlers = {
		.registered = on_registered,
		.recovered = on_recovered,
		.taken = on_claim_taken,
		.settle = on_settle,
		.context = node,
	};
	const relay_join_handlers_t join_handlers = {
		.listed = on_keys_listed,
		.claim = on_claim,
		.hubs = get_hubs,
		.answered_ms = get_answered_ms,
		.context = node,
	};
	const relay_subscription_handlers_t subscription_handlers = {
		.changed = on_hub_changed,
		.synced = on_hub_synced,
		.context = node,
	};
	g_autofree char *description =
		relay_hub_key_encode(settings->node, &settings->forwarding);

	node->registration = relay_registration_create(
		node->base, node->platform.store, node->services,
		settings->node, description, registration_handlers);
	node->subscription = relay_subscription_create(node->services,
						       subscription_handlers);
	node->join = relay_join_create(node->base, node->platform.store,
				       settings, join_handlers);
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
	node->platform.store->restored = on_restored;
	node->platform.store->restored_context = node;
	node->metrics = metrics_create(METRIC_SERIES_MAX);
	node->hub_values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node->applied = revision_table_create();
	node->read_timer = evtimer_new(base, on_read_timer, node);
	node->drain_timer = event_new(base, -1, EV_PERSIST, on_drain, node);
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
		settings->node, on_takeover, node);
	create_hub_tasks(node);
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

static bool is_served(const relay_node_t *node)
{
	return !relay_callers_count(node->callers) &&
	       !relay_forwarding_count(node->forwarding);
}

static void count_cut(const relay_node_t *node, const char *kind,
		      uint32_t count)
{
	g_autofree char *labels = metrics_labels("kind", kind, NULL);

	metric_add(metrics_counter(node->metrics, "toucanhook_drain_cut_total",
				   labels),
		   count);
}

/* Answers what is accepted; the answers of servers would come too late. */
static void finish(relay_node_t *node)
{
	const uint32_t forwarded = relay_forwarding_finish(node->forwarding);
	const relay_cut_t cut = relay_callers_finish(node->callers);

	log_event(LOG_LEVEL_NOTICE, "drain_cut",
		  "unsent=%u sent=%u transactions=%u forwarded=%u", cut.unsent,
		  cut.sent, cut.transactions, forwarded);
	count_cut(node, "unsent", cut.unsent);
	count_cut(node, "sent", cut.sent);
	count_cut(node, "transaction", cut.transactions);
	count_cut(node, "forwarded", forwarded);
}

/* Gives up what the node holds; no answer needs it any more. */
static void leave(relay_node_t *node)
{
	relay_callers_close(node->callers);
	log_event(LOG_LEVEL_NOTICE, "drained",
		  "reason=%s callers=%u after_ms=%" PRIu64,
		  node->drain.answered ? "time" : "idle",
		  relay_callers_count(node->callers),
		  node->drain.left_ms - node->drain.begun_ms);
	/* Without its key a takeover would not wait for the proofs it gave. */
	if (!node->hub || relay_hub_is_settled(node->hub))
		relay_registration_leave(node->registration);
	else
		relay_services_forget_proofs(node->services);
}

static void on_drain(evutil_socket_t fd, short what, void *context)
{
	relay_node_t *node = context;

	relay_callers_drain(node->callers, &node->drain);
	relay_forwarding_drain(node->forwarding);
	switch (drain_plan_next(&node->drain, clock_boot_ms(),
				is_served(node))) {
	case DRAIN_ACCEPT:
		break;
	case DRAIN_CLOSE:
		relay_callers_close(node->callers);
		break;
	case DRAIN_ANSWER:
		finish(node);
		break;
	case DRAIN_LEAVE:
		leave(node);
		break;
	case DRAIN_EXIT:
		event_base_loopexit(node->base, NULL);
	}
}

void relay_node_drain(relay_node_t *node)
{
	const struct timeval step = clock_timeval(DRAIN_TICK_MS);

	if (drain_plan_is_begun(&node->drain))
		return;
	drain_plan_begin(&node->drain, clock_boot_ms(),
			 node->settings->grace_ms, DRAIN_ACCEPT_MS);
	log_event(LOG_LEVEL_NOTICE, "draining", "callers=%u",
		  relay_callers_count(node->callers));
	relay_coordinator_resign(node->coordinator);
	relay_quota_leader_resign(node->quota_leader);
	relay_join_stop(node->join);
	if (node->hub)
		relay_hub_close(node->hub);
	relay_callers_drain(node->callers, &node->drain);
	event_add(node->drain_timer, &step);
}

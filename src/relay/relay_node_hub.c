/* A node as a hub: it reads the store for its failure domain. */
#include "relay/relay_node_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/delegation.h"

/* Pause between watches; the changes in between cost one call to the store. */
#define FOLLOW_PAUSE_MS 1500

/* The same pause for the primary records. */
#define PRIMARIES_PAUSE_MS 40

/* Delay before a failed read of the primary records is retried. */
#define READ_RETRY_MS 150

static void read_primaries(void *context);
static void start_hub(relay_node_t *node);
static void open_hub(relay_node_t *node);
static void stop_hub(relay_node_t *node);
static void on_primaries(void *context, const kv_answer_t *answer);

void relay_node_on_takeover(void *context)
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
		relay_node_on_primary(node, last);
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
void relay_node_on_restored(void *context)
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
		relay_node_apply_change(node, items->pdata[i]);
	if (node->hubs_changed)
		relay_node_update_hubs(node);
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
	relay_registration_claim(node->registration, key, revision);
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

void relay_node_on_read_timer(evutil_socket_t fd, short what, void *context)
{
	read_primaries(context);
}

static void start_following(relay_node_t *node)
{
	kv_store_t *store = node->platform.store;

	if (node->follow) {
		kv_follow_relist(node->follow);
		kv_follow_relist(node->primaries);
		return;
	}
	node->follow =
		kv_follow_create(node->base, store, "", FOLLOW_PAUSE_MS,
				 (kv_follow_handlers_t){
					 .changed = relay_node_on_changed,
					 .synced = relay_node_on_synced,
					 .context = node,
				 });
	node->primaries = kv_follow_create(
		node->base, store, RELAY_PRIMARIES_PREFIX, PRIMARIES_PAUSE_MS,
		(kv_follow_handlers_t){
			.changed = relay_node_on_primary,
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
void relay_node_create_hub_tasks(relay_node_t *node)
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
		.changed = relay_node_on_hub_changed,
		.synced = relay_node_on_hub_synced,
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

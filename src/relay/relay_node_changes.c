/* What a node does with changes of the store's keys. */
#include "relay/relay_node_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "base/text.h"

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

void relay_node_update_hubs(relay_node_t *node)
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
void relay_node_apply_change(relay_node_t *node, const kv_item_t *item)
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
		relay_node_update_hubs(node);
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

void relay_node_on_changed(void *context, const kv_item_t *item)
{
	relay_node_t *node = context;

	pass_on(node, item);
	relay_node_apply_change(node, item);
}

void relay_node_on_synced(void *context, int64_t revision, uint64_t queried_ms)
{
	relay_node_t *node = context;

	changes_applied(node);
	if (!node->registered)
		relay_proof_connect(node->services);
	relay_hub_synced(node->hub, HUB_STREAM_CATALOG, revision);
}

void relay_node_on_primary(void *context, const kv_item_t *item)
{
	relay_node_t *node = context;

	relay_hub_put(node->hub, HUB_STREAM_PRIMARIES, item);
	apply_primary(node, item);
}

void relay_node_on_hub_changed(void *context, hub_stream_t stream,
			       const kv_item_t *item)
{
	relay_node_t *node = context;

	if (stream == HUB_STREAM_CATALOG)
		relay_node_apply_change(node, item);
	else
		apply_primary(node, item);
}

void relay_node_on_hub_synced(void *context, hub_stream_t stream,
			      int64_t revision)
{
	relay_node_t *node = context;

	if (stream == HUB_STREAM_CATALOG)
		changes_applied(node);
	else
		relay_coordinator_synced(node->coordinator);
}

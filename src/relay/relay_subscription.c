#include "relay/relay_subscription.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/hub_contact.h"
#include "coordination/hub_slots.h"
#include "coordination/owner.h"
#include "relay/relay_link.h"
#include "state/store_revision.h"

/* Interval of checking the connections, and before the first answer. */
#define TICK_MS 100
#define TICK_MS_UNANSWERED 25

/* Further time without a proof of the domain's hubs until others are asked. */
#define FAR_AFTER_MS 400

/* Number of hubs in other domains that are asked then. */
#define FAR_HUBS 2

/* Time for which a far hub that failed or gave no proof is passed over. */
#define FAR_AVOID_MS 3000

/* A hub and the connection to it. */
typedef struct {
	relay_subscription_t *subscription;
	char *name;
	bool near; /* in this node's failure domain */
	endpoint_t endpoint;
	uint64_t weight;    /* rank among the hubs of other domains */
	relay_link_t *link; /* NULL while not connected */
	uint64_t since_ms;  /* when the connection or request was sent */
	bool asking;	    /* a request is unanswered */
	bool held; /* waits with its request for another hub's answer */
	uint64_t answered_ms; /* when the last answer came, 0 before */
	uint64_t retry_ms;    /* no connection is opened before then */
	uint64_t avoid_ms;    /* as a far hub it is passed over until then */
	uint64_t until_ms;    /* end of its proof of all primaries */
	int64_t era;	      /* era of the records that this proof is for */
	GPtrArray *proofs;    /* hub_proof_t on this node's clock, or NULL */
	bool takes_names;     /* the requests may name services */
	service_keys_t told;  /* services named on this connection */
} hub_t;

struct relay_subscription {
	relay_services_t *services;
	relay_subscription_handlers_t handlers;
	struct event *timer;
	GPtrArray *hubs; /* hub_t */
	int64_t revisions[HUB_STREAM_COUNT];
	GHashTable *known[HUB_STREAM_COUNT]; /* set of reported keys */
	uint64_t started_ms;		     /* when it was created */
	uint64_t answered_ms;		     /* when any hub last answered */
	uint64_t near_proved_ms; /* when one of this domain gave a proof */
};

static void ask(hub_t *hub);
static void ask_held(relay_subscription_t *subscription);

static const relay_services_settings_t *settings_of(const hub_t *hub)
{
	return relay_services_settings(hub->subscription->services);
}

static void hub_disconnect(hub_t *hub)
{
	g_clear_pointer(&hub->link, relay_link_destroy);
	hub->asking = false;
	hub->held = false;
	hub->takes_names = false;
	hub->told.count = 0;
}

static void hub_free(gpointer data)
{
	hub_t *hub = data;

	hub_disconnect(hub);
	g_clear_pointer(&hub->proofs, g_ptr_array_unref);
	g_free(hub->endpoint.address);
	g_free(hub->name);
	g_free(hub);
}

static bool is_answering(const hub_t *hub, uint64_t now_ms)
{
	return hub->link && hub->answered_ms &&
	       now_ms < hub->answered_ms + HUB_CONTACT_ANSWER_TIMEOUT_MS;
}

static hub_contact_t contact_of(const hub_t *hub, uint64_t now_ms)
{
	const relay_subscription_t *subscription = hub->subscription;

	return (hub_contact_t){
		.near = hub->near,
		.answered = subscription->answered_ms,
		.run_time_ms = (uint32_t)MIN(now_ms - subscription->started_ms,
					     UINT32_MAX),
	};
}

static void hub_failed(hub_t *hub, const char *reason,
		       hub_contact_failure_t failure)
{
	const uint64_t now_ms = clock_boot_ms();
	const hub_contact_t contact = contact_of(hub, now_ms);

	log_event(LOG_LEVEL_INFO, "hub_lost", "hub=%s reason=%s", hub->name,
		  reason);
	hub_disconnect(hub);
	hub->avoid_ms = now_ms + FAR_AVOID_MS;
	hub->retry_ms = now_ms + hub_contact_retry_ms(&contact, failure);
}

/* Proofs are on the hub's clock; this returns a time that is not later. */
static uint64_t local_ms(const hub_answer_t *answer, uint64_t sent_ms,
			 uint64_t hub_ms)
{
	const int64_t offset_ms =
		(int64_t)sent_ms - (int64_t)answer->received_ms;

	return hub_ms ? (uint64_t)MAX((int64_t)hub_ms + offset_ms, 0) : 0;
}

/* @return the end of a hub's proof of a service's primary, or 0 */
static uint64_t proof_until_ms(const hub_t *hub, const char *service,
			       const primary_lease_t *lease)
{
	const bool same_era = store_revision_era(lease->read_at) == hub->era;
	uint64_t until_ms = same_era ? hub->until_ms : 0;

	for (guint i = 0; hub->proofs && i < hub->proofs->len; i++) {
		const hub_proof_t *proof = hub->proofs->pdata[i];

		if (proof->term == lease->term &&
		    !strcmp(proof->service, service))
			until_ms = MAX(until_ms, proof->until_ms);
	}
	return until_ms;
}

static void apply_proofs(relay_subscription_t *subscription)
{
	g_autoptr(GPtrArray) names =
		relay_services_names(subscription->services);

	for (guint i = 0; i < names->len; i++) {
		primary_lease_t *lease =
			relay_service_lease(relay_services_find(
				subscription->services, names->pdata[i]));
		uint64_t until_ms = 0;

		for (guint j = 0; j < subscription->hubs->len; j++)
			until_ms =
				MAX(until_ms,
				    proof_until_ms(subscription->hubs->pdata[j],
						   names->pdata[i], lease));
		primary_lease_delegated(lease, until_ms);
	}
	relay_services_wake(subscription->services);
}

static void take_proofs(hub_t *hub, hub_answer_t *answer, uint64_t sent_ms)
{
	hub->until_ms = local_ms(answer, sent_ms, answer->until_ms);
	hub->era = store_revision_era(
		answer->changes[HUB_STREAM_PRIMARIES].revision);
	g_clear_pointer(&hub->proofs, g_ptr_array_unref);
	for (guint i = 0; i < answer->proofs->len; i++) {
		hub_proof_t *proof = answer->proofs->pdata[i];

		proof->until_ms = local_ms(answer, sent_ms, proof->until_ms);
	}
	if (answer->proofs->len)
		hub->proofs = g_ptr_array_ref(answer->proofs);
}

static void apply_samples(relay_subscription_t *subscription,
			  const hub_answer_t *answer, uint64_t sent_ms)
{
	for (guint i = 0; i < answer->samples->len; i++) {
		const hub_sample_t *sample = answer->samples->pdata[i];
		relay_service_t *service = relay_services_find(
			subscription->services, sample->service);

		if (service &&
		    relay_service_lease(service)->term == sample->term)
			point_samples_add(
				relay_service_samples(service),
				local_ms(answer, sent_ms, sample->sampled_ms),
				sample->point);
	}
}

static void apply_item(relay_subscription_t *subscription, hub_stream_t stream,
		       const kv_item_t *item)
{
	GHashTable *known = subscription->known[stream];

	if (item->deleted)
		g_hash_table_remove(known, item->key);
	else
		g_hash_table_add(known, g_strdup(item->key));
	subscription->handlers.changed(subscription->handlers.context, stream,
				       item);
}

/* Reports the removal of all keys that a whole answer does not have. */
static void apply_absence(relay_subscription_t *subscription,
			  hub_stream_t stream, const hub_changes_t *changes)
{
	g_autoptr(GHashTable) present =
		g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) absent = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < changes->items->len; i++)
		g_hash_table_add(present,
				 ((kv_item_t *)changes->items->pdata[i])->key);
	g_hash_table_iter_init(&iter, subscription->known[stream]);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(present, key))
			g_ptr_array_add(absent, g_strdup(key));
	for (guint i = 0; i < absent->len; i++) {
		const kv_item_t item = {.key = absent->pdata[i],
					.revision = changes->revision,
					.deleted = true};

		apply_item(subscription, stream, &item);
	}
}

static void apply_changes(relay_subscription_t *subscription,
			  hub_stream_t stream, const hub_changes_t *changes)
{
	int64_t *revision = &subscription->revisions[stream];

	/* A hub that is behind has nothing new. */
	if (changes->revision < *revision || !changes->revision)
		return;
	if (changes->whole)
		apply_absence(subscription, stream, changes);
	for (guint i = 0; i < changes->items->len; i++)
		apply_item(subscription, stream, changes->items->pdata[i]);
	*revision = changes->revision;
	subscription->handlers.synced(subscription->handlers.context, stream,
				      *revision);
}

static void apply_answer(hub_t *hub, hub_answer_t *answer, uint64_t sent_ms)
{
	relay_subscription_t *subscription = hub->subscription;

	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		apply_changes(subscription, (hub_stream_t)i,
			      &answer->changes[i]);
	take_proofs(hub, answer, sent_ms);
	apply_samples(subscription, answer, sent_ms);
	apply_proofs(subscription);
}

/* Whether the hub still exists; a change may have removed it from the list. */
static bool is_listed(const relay_subscription_t *subscription,
		      const hub_t *hub)
{
	return g_ptr_array_find(subscription->hubs, hub, NULL);
}

static void on_answer(void *context, const relay_answer_t *link_answer)
{
	hub_t *hub = context;
	relay_subscription_t *subscription = hub->subscription;
	const uint64_t now_ms = clock_boot_ms();
	g_autoptr(GError) error = NULL;
	g_autoptr(hub_answer_t) answer = NULL;

	hub->asking = false;
	if (link_answer->broken)
		return;
	if (!link_answer->failed && link_answer->rows)
		answer = hub_answer_decode(link_answer->rows, &error);
	if (!answer) {
		hub_failed(hub, error ? error->message : "refused",
			   HUB_CONTACT_FAILED);
		return;
	}
	if (!hub->answered_ms)
		log_event(LOG_LEVEL_NOTICE, "hub_answered", "hub=%s near=%d",
			  hub->name, hub->near);
	hub->takes_names |= answer->takes_names;
	hub->answered_ms = now_ms;
	subscription->answered_ms = now_ms;
	/* A hub that the store turns away answers, but may know nothing new. */
	if (!answer->until_ms)
		hub->avoid_ms = now_ms + FAR_AVOID_MS;
	else if (hub->near)
		subscription->near_proved_ms = now_ms;
	apply_answer(hub, answer, link_answer->sent_ms);
	if (is_listed(subscription, hub) && hub->link)
		ask(hub);
	ask_held(subscription);
}

static void ask(hub_t *hub)
{
	const relay_subscription_t *subscription = hub->subscription;
	hub_request_t request = {.named = hub->takes_names};
	g_autofree char *arguments = NULL;
	g_autofree char *text = NULL;

	memcpy(request.revisions, subscription->revisions,
	       sizeof(request.revisions));
	if (request.named)
		service_interest_tell(
			relay_services_interest(subscription->services),
			&hub->told, &request.added, &request.removed,
			clock_boot_ms());
	arguments = hub_request_encode(&request);
	text = settings_of(hub)->codec->text_follow(arguments);
	hub->asking = true;
	hub->held = false;
	hub->since_ms = clock_boot_ms();
	relay_link_run(hub->link, NULL, (log_point_t){0}, text, on_answer, hub);
}

static hub_contact_request_t request_of(const hub_t *hub)
{
	return (hub_contact_request_t){
		.sent_ms = hub->since_ms,
		.heard_ms = relay_link_last_received_ms(hub->link),
	};
}

/* @return whether an answer of one of the domain's hubs is arriving */
static bool is_receiving(const relay_subscription_t *subscription,
			 uint64_t now_ms)
{
	for (guint i = 0; i < subscription->hubs->len; i++) {
		const hub_t *hub = subscription->hubs->pdata[i];
		hub_contact_request_t request;

		if (!hub->near || !hub->asking)
			continue;
		request = request_of(hub);
		if (hub_contact_is_receiving(&request, now_ms))
			return true;
	}
	return false;
}

/* @return whether the hub may be asked now; the whole state is asked of one */
static bool may_ask(const hub_t *hub, uint64_t now_ms)
{
	const relay_subscription_t *subscription = hub->subscription;

	if (subscription->answered_ms)
		return true;
	for (guint i = 0; i < subscription->hubs->len; i++) {
		const hub_t *other = subscription->hubs->pdata[i];
		hub_contact_request_t request;

		if (other == hub || !other->asking)
			continue;
		request = request_of(other);
		if (!hub_contact_may_ask_another(&request, now_ms))
			return false;
	}
	return true;
}

static void ask_when_allowed(hub_t *hub)
{
	const uint64_t now_ms = clock_boot_ms();

	if (may_ask(hub, now_ms)) {
		ask(hub);
		return;
	}
	hub->held = true;
	hub->since_ms = now_ms;
}

static void ask_held(relay_subscription_t *subscription)
{
	for (guint i = 0; i < subscription->hubs->len; i++) {
		hub_t *hub = subscription->hubs->pdata[i];

		if (hub->held && hub->link)
			ask_when_allowed(hub);
	}
}

static void on_opened(void *context, relay_link_t *link, log_point_t point,
		      uint64_t requested_ms)
{
	ask_when_allowed(context);
}

static void on_closed(void *context, relay_link_t *link, relay_error_t error,
		      bool was_open)
{
	const bool refused = error == RELAY_ERROR_CONNECTION_LIMIT;

	hub_failed(context, relay_error_name(error),
		   refused ? HUB_CONTACT_REFUSED : HUB_CONTACT_FAILED);
}

static void hub_connect(hub_t *hub, uint64_t now_ms)
{
	static char service[] = RELAY_HUB_SERVICE;
	static const backend_entry_t entry = {.id = service,
					      .service = service};
	const relay_link_handlers_t handlers = {
		.opened = on_opened,
		.closed = on_closed,
		.context = hub,
	};

	hub->since_ms = now_ms;
	hub->link =
		relay_link_open(settings_of(hub)->base, settings_of(hub)->codec,
				&entry, NULL, &hub->endpoint, handlers);
}

static void hub_step(hub_t *hub, bool wanted, uint64_t now_ms)
{
	const hub_contact_t contact = contact_of(hub, now_ms);
	const uint32_t open_timeout_ms = hub_contact_open_timeout_ms(&contact);

	if (!wanted) {
		hub_disconnect(hub);
		return;
	}
	if (!hub->link) {
		if (now_ms >= hub->retry_ms)
			hub_connect(hub, now_ms);
		return;
	}
	if (hub->held) {
		ask_when_allowed(hub);
		return;
	}
	if (hub->asking) {
		const hub_contact_request_t request = request_of(hub);

		if (hub_contact_is_unresponsive(&request, now_ms))
			hub_failed(hub, "unresponsive", HUB_CONTACT_FAILED);
	} else if (now_ms >= hub->since_ms + open_timeout_ms) {
		hub_failed(hub, "open_timeout", HUB_CONTACT_FAILED);
	}
}

/*
 * @return whether a hub of another domain is among those to be asked: the
 *         highest in rank that are not passed over
 */
static bool is_far_choice(const relay_subscription_t *subscription,
			  const hub_t *hub, uint64_t now_ms)
{
	uint32_t rank = 0;

	if (now_ms < hub->avoid_ms)
		return false;

	for (guint i = 0; i < subscription->hubs->len; i++) {
		const hub_t *other = subscription->hubs->pdata[i];

		rank += !other->near && now_ms >= other->avoid_ms &&
			other->weight > hub->weight;
	}
	return rank < FAR_HUBS;
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_subscription_t *subscription = context;
	const struct timeval delay = clock_timeval(
		subscription->answered_ms ? TICK_MS : TICK_MS_UNANSWERED);
	const uint64_t now_ms = clock_boot_ms();
	/* An answer that takes long to arrive would take longer from afar. */
	const bool far_wanted =
		!is_receiving(subscription, now_ms) &&
		now_ms >= subscription->near_proved_ms +
				  HUB_CONTACT_ANSWER_TIMEOUT_MS + FAR_AFTER_MS;

	event_add(subscription->timer, &delay);
	for (guint i = 0; i < subscription->hubs->len; i++) {
		hub_t *hub = subscription->hubs->pdata[i];

		hub_step(hub,
			 hub->near ||
				 (far_wanted &&
				  is_far_choice(subscription, hub, now_ms)),
			 now_ms);
	}
}

relay_subscription_t *
relay_subscription_create(relay_services_t *services,
			  relay_subscription_handlers_t handlers)
{
	relay_subscription_t *subscription = g_new0(relay_subscription_t, 1);
	const struct timeval delay = clock_timeval(0);

	subscription->services = services;
	subscription->started_ms = clock_boot_ms();
	subscription->near_proved_ms = subscription->started_ms;
	subscription->handlers = handlers;
	subscription->hubs = g_ptr_array_new_with_free_func(hub_free);
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		subscription->known[i] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	subscription->timer =
		evtimer_new(relay_services_settings(services)->base, on_timer,
			    subscription);
	event_add(subscription->timer, &delay);
	return subscription;
}

void relay_subscription_destroy(relay_subscription_t *subscription)
{
	if (!subscription)
		return;
	event_free(subscription->timer);
	g_ptr_array_unref(subscription->hubs);
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		g_hash_table_destroy(subscription->known[i]);
	g_free(subscription);
}

static bool same_hub(const hub_t *hub, const relay_peer_t *peer)
{
	return !strcmp(hub->name, peer->name) &&
	       hub->endpoint.port == peer->forwarding.port &&
	       !strcmp(hub->endpoint.address, peer->forwarding.address);
}

static bool is_known(const relay_subscription_t *subscription,
		     const relay_peer_t *peer)
{
	for (guint i = 0; i < subscription->hubs->len; i++)
		if (same_hub(subscription->hubs->pdata[i], peer))
			return true;
	return false;
}

static hub_t *hub_new(relay_subscription_t *subscription,
		      const relay_peer_t *peer)
{
	const relay_services_settings_t *settings =
		relay_services_settings(subscription->services);
	hub_t *hub = g_new0(hub_t, 1);

	hub->subscription = subscription;
	hub->name = g_strdup(peer->name);
	hub->near = !strcmp(peer->failure_domain, settings->failure_domain);
	hub->endpoint = (endpoint_t){
		.address = g_strdup(peer->forwarding.address),
		.port = peer->forwarding.port,
	};
	hub->weight =
		owner_weight(owner_key(peer->name), owner_key(settings->node));
	return hub;
}

static bool is_wanted(const hub_t *hub, const GPtrArray *peers)
{
	for (guint i = 0; i < peers->len; i++)
		if (same_hub(hub, peers->pdata[i]))
			return true;
	return false;
}

void relay_subscription_set_hubs(relay_subscription_t *subscription,
				 const GPtrArray *peers)
{
	const struct timeval now = clock_timeval(0);
	const char *node =
		relay_services_settings(subscription->services)->node;

	for (guint i = subscription->hubs->len; i > 0; i--) {
		const hub_t *hub = subscription->hubs->pdata[i - 1];

		/* A hub whose key lapsed is used while it answers. */
		if (!is_wanted(hub, peers) &&
		    !is_answering(hub, clock_boot_ms()))
			g_ptr_array_remove_index_fast(subscription->hubs,
						      i - 1);
	}
	for (guint i = 0; i < peers->len; i++) {
		const relay_peer_t *peer = peers->pdata[i];

		if (strcmp(peer->name, node) && !is_known(subscription, peer))
			g_ptr_array_add(subscription->hubs,
					hub_new(subscription, peer));
	}
	event_add(subscription->timer, &now);
}

uint64_t
relay_subscription_answered_ms(const relay_subscription_t *subscription)
{
	return subscription->answered_ms;
}

uint64_t relay_subscription_heard_ms(const relay_subscription_t *subscription,
				     const char *name)
{
	for (guint i = 0; i < subscription->hubs->len; i++) {
		const hub_t *hub = subscription->hubs->pdata[i];

		if (!strcmp(hub->name, name))
			return hub->answered_ms;
	}
	return 0;
}

const endpoint_t *
relay_subscription_route(const relay_subscription_t *subscription,
			 const char *server, uint32_t failures, const char *own)
{
	const uint64_t server_key = owner_key(server);
	const uint64_t now_ms = clock_boot_ms();
	owner_ranking_t ranking = {.wanted = HUB_SLOTS};
	const char *chosen;

	for (guint i = 0; i < subscription->hubs->len; i++) {
		const hub_t *hub = subscription->hubs->pdata[i];

		if (hub->near && is_answering(hub, now_ms))
			owner_ranking_add(
				&ranking, hub->name,
				owner_weight(owner_key(hub->name), server_key));
	}
	if (own)
		owner_ranking_add(&ranking, own,
				  owner_weight(owner_key(own), server_key));
	if (failures >= ranking.count)
		return NULL;
	chosen = ranking.nodes[failures];
	for (guint i = 0; i < subscription->hubs->len; i++) {
		const hub_t *hub = subscription->hubs->pdata[i];

		if (hub->name == chosen)
			return &hub->endpoint;
	}
	return NULL;
}

#include "relay/relay_hub.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/delegation.h"
#include "relay/relay_hub_wants.h"
#include "state/change_log.h"
#include "state/store_revision.h"

/*
 * Time for which a request waits for a change. A proof is valid for
 * PRIMARY_LEASE_VALID_MS from when the store was asked.
 */
#define HOLD_MS 400

/* Age above which points of a primary's log are not sent. */
#define SAMPLE_AGE_MS_MAX 2000

/* Number of removed keys that are remembered. */
#define REMOVALS_MAX 512

struct relay_hub_subscriber {
	relay_hub_t *hub;
	uint64_t id;
	relay_hub_reply_t reply;
	void *context;
	struct event *timer; /* answers the request after HOLD_MS */
	bool asking;	     /* a request waits for its answer */
	int64_t revisions[HUB_STREAM_COUNT]; /* known to the node */
	relay_hub_wants_t *wants;
	uint64_t received_ms;
};

struct relay_hub {
	relay_services_t *services;
	change_log_t *logs[HUB_STREAM_COUNT]; /* texts are encoded items */
	GPtrArray *subscribers;
	delegation_t *delegation;
	uint64_t next_id;
	struct event *settle_timer;
	int64_t settle_revision; /* revision waited for, or 0 */
	void (*settled)(void *context, int64_t revision);
	void *settled_context;
	bool proving; /* a primary could be proved at the last sync */
	bool closed;  /* no more proofs are given */
};

static void on_settle_timer(evutil_socket_t fd, short what, void *context);

relay_hub_t *relay_hub_create(relay_services_t *services)
{
	relay_hub_t *hub = g_new0(relay_hub_t, 1);

	hub->services = services;
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		hub->logs[i] = change_log_create(REMOVALS_MAX);
	hub->subscribers = g_ptr_array_new();
	hub->delegation = delegation_create();
	hub->settle_timer = evtimer_new(relay_services_settings(services)->base,
					on_settle_timer, hub);
	return hub;
}

void relay_hub_destroy(relay_hub_t *hub)
{
	if (!hub)
		return;
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		change_log_destroy(hub->logs[i]);
	g_ptr_array_unref(hub->subscribers);
	delegation_destroy(hub->delegation);
	event_free(hub->settle_timer);
	g_free(hub);
}

/* @return the end of the proof for all services, 0 if it lacks for one */
static uint64_t common_until_ms(const relay_hub_t *hub, uint64_t now_ms)
{
	const node_lease_t *lease = relay_services_lease(hub->services);
	g_autoptr(GPtrArray) names = relay_services_names(hub->services);
	const int64_t known =
		change_log_revision(hub->logs[HUB_STREAM_PRIMARIES]);

	if (!lease->registered_at || lease->valid_until_ms <= now_ms ||
	    store_revision_era(lease->registered_at) !=
		    store_revision_era(known))
		return 0;
	for (guint i = 0; i < names->len; i++) {
		const primary_lease_t *service = relay_service_lease(
			relay_services_find(hub->services, names->pdata[i]));

		/* The node may know a primary that this hub does not. */
		if (service->read_at < lease->registered_at)
			return 0;
	}
	return lease->valid_until_ms;
}

static bool may_prove(const relay_hub_t *hub)
{
	return !hub->closed && relay_hub_is_open(hub) &&
	       hub->settle_revision != DELEGATION_ALL;
}

/* @return whether an answer sent now has a proof of a primary */
static bool has_proof(const relay_hub_t *hub)
{
	g_autoptr(GPtrArray) names = relay_services_names(hub->services);
	const uint64_t now_ms = clock_boot_ms();

	for (guint i = 0; may_prove(hub) && i < names->len; i++) {
		const primary_lease_t *service = relay_service_lease(
			relay_services_find(hub->services, names->pdata[i]));

		if (primary_lease_own_until_ms(
			    service, relay_services_lease(hub->services)) >
		    now_ms)
			return true;
	}
	return false;
}

static void add_proof(const relay_hub_t *hub, relay_service_t *service,
		      uint64_t common_ms, GPtrArray *rows, uint64_t *latest_ms)
{
	const primary_lease_t *lease = relay_service_lease(service);
	const hub_proof_t proof = {
		.service = (char *)relay_service_name(service),
		.term = lease->term,
		.until_ms = primary_lease_own_until_ms(
			lease, relay_services_lease(hub->services)),
	};

	if (proof.until_ms <= common_ms || proof.until_ms <= clock_boot_ms())
		return;
	g_ptr_array_add(rows, hub_encode_proof(&proof));
	*latest_ms = MAX(*latest_ms, proof.until_ms);
}

static void add_sample(relay_hub_wants_t *wants, relay_service_t *service,
		       uint64_t now_ms, GPtrArray *rows)
{
	hub_sample_t sample = {
		.service = (char *)relay_service_name(service),
		.term = relay_service_lease(service)->term,
	};

	if (!relay_service_has_samples(service) ||
	    !point_samples_last(relay_service_samples(service),
				&sample.sampled_ms, &sample.point) ||
	    sample.sampled_ms + SAMPLE_AGE_MS_MAX < now_ms ||
	    !relay_hub_wants_point(wants, service, sample.sampled_ms))
		return;
	g_ptr_array_add(rows, hub_encode_sample(&sample));
}

/* Adds proofs and points. @return the end of the last proof */
static uint64_t add_services(const relay_hub_subscriber_t *subscriber,
			     uint64_t common_ms, GPtrArray *rows)
{
	const relay_hub_t *hub = subscriber->hub;
	g_autoptr(GPtrArray) list = relay_hub_wants_list(subscriber->wants);
	const uint64_t now_ms = clock_boot_ms();
	uint64_t latest_ms = common_ms;

	if (relay_hub_wants_offer(subscriber->wants))
		g_ptr_array_add(rows, hub_encode_takes_names());
	for (guint i = 0; i < list->len; i++) {
		relay_service_t *service = list->pdata[i];

		if (may_prove(hub))
			add_proof(hub, service, common_ms, rows, &latest_ms);
		add_sample(subscriber->wants, service, now_ms, rows);
	}
	return latest_ms;
}

static void add_changes(const relay_hub_t *hub, hub_stream_t stream,
			int64_t known, hub_changes_t *changes, GPtrArray *rows)
{
	const change_log_t *log = hub->logs[stream];
	g_autoptr(GPtrArray) list = g_ptr_array_new();

	changes->revision = change_log_revision(log);
	if (changes->revision < known)
		return;
	changes->whole = change_log_since(log, known, list);
	for (guint i = 0; i < list->len; i++) {
		const change_t *change = list->pdata[i];
		const kv_item_t removal = {.key = change->key,
					   .revision = change->revision,
					   .deleted = true};

		g_ptr_array_add(
			rows, change->text ? g_strdup(change->text) :
					     hub_encode_item(stream, &removal));
	}
}

static void send_answer(relay_hub_subscriber_t *subscriber)
{
	relay_hub_t *hub = subscriber->hub;
	const uint64_t now_ms = clock_boot_ms();
	g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(hub_answer_t) head = hub_answer_new();
	uint64_t until_ms;

	head->received_ms = subscriber->received_ms;
	head->until_ms = may_prove(hub) ? common_until_ms(hub, now_ms) : 0;
	g_ptr_array_add(rows, NULL); /* the head, known last */
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		add_changes(hub, (hub_stream_t)i, subscriber->revisions[i],
			    &head->changes[i], rows);
	until_ms = add_services(subscriber, head->until_ms, rows);
	rows->pdata[0] = hub_encode_head(head);
	delegation_answered(hub->delegation, subscriber->id,
			    head->changes[HUB_STREAM_PRIMARIES].revision,
			    until_ms);
	subscriber->asking = false;
	event_del(subscriber->timer);
	subscriber->reply(subscriber->context, rows);
}

static bool lacks_changes(const relay_hub_subscriber_t *subscriber)
{
	for (uint32_t i = 0; i < HUB_STREAM_COUNT; i++)
		if (change_log_revision(subscriber->hub->logs[i]) >
		    subscriber->revisions[i])
			return true;
	return false;
}

static void answer_subscribers(relay_hub_t *hub, bool lacking_only)
{
	g_autoptr(GPtrArray) list =
		g_ptr_array_copy(hub->subscribers, NULL, NULL);

	for (guint i = 0; i < list->len; i++) {
		relay_hub_subscriber_t *subscriber = list->pdata[i];

		if (!relay_hub_is_open(hub))
			return;
		/* A reply may have ended another subscriber's connection. */
		if (!g_ptr_array_find(hub->subscribers, subscriber, NULL) ||
		    !subscriber->asking)
			continue;
		if (!lacking_only || lacks_changes(subscriber))
			send_answer(subscriber);
	}
}

void relay_hub_put(relay_hub_t *hub, hub_stream_t stream, const kv_item_t *item)
{
	g_autofree char *text = NULL;

	if (!item->deleted && item->value)
		text = hub_encode_item(stream, item);
	change_log_put(hub->logs[stream], item->key, item->revision, text);
}

void relay_hub_synced(relay_hub_t *hub, hub_stream_t stream, int64_t revision)
{
	const bool was_open = relay_hub_is_open(hub);
	const bool was_proving = hub->proving;

	change_log_synced(hub->logs[stream], revision);
	hub->proving = has_proof(hub);
	answer_subscribers(hub, was_open && (was_proving || !hub->proving));
}

bool relay_hub_is_open(const relay_hub_t *hub)
{
	return change_log_revision(hub->logs[HUB_STREAM_CATALOG]) &&
	       change_log_revision(hub->logs[HUB_STREAM_PRIMARIES]);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_hub_subscriber_t *subscriber = context;

	/* A hub that has read nothing yet answers once it has. */
	if (relay_hub_is_open(subscriber->hub))
		send_answer(subscriber);
}

relay_hub_subscriber_t *relay_hub_join(relay_hub_t *hub,
				       relay_hub_reply_t reply, void *context)
{
	relay_hub_subscriber_t *subscriber = g_new0(relay_hub_subscriber_t, 1);

	subscriber->hub = hub;
	subscriber->id = ++hub->next_id;
	subscriber->wants = relay_hub_wants_create(hub->services);
	subscriber->reply = reply;
	subscriber->context = context;
	subscriber->timer =
		evtimer_new(relay_services_settings(hub->services)->base,
			    on_timer, subscriber);
	g_ptr_array_add(hub->subscribers, subscriber);
	return subscriber;
}

void relay_hub_leave(relay_hub_subscriber_t *subscriber)
{
	relay_hub_t *hub = subscriber->hub;

	delegation_left(hub->delegation, subscriber->id, clock_boot_ms());
	g_ptr_array_remove_fast(hub->subscribers, subscriber);
	relay_hub_wants_destroy(subscriber->wants);
	event_free(subscriber->timer);
	g_free(subscriber);
	if (hub->settle_revision)
		event_active(hub->settle_timer, EV_TIMEOUT, 0);
}

/* Ends the wait for the subscribers, or waits for their proofs to expire. */
static void check_settled(relay_hub_t *hub)
{
	const int64_t revision = hub->settle_revision;
	const uint64_t now_ms = clock_boot_ms();
	const uint64_t until_ms =
		revision ?
			delegation_until_ms(hub->delegation, revision, now_ms) :
			0;
	struct timeval delay;

	if (!revision)
		return;
	if (until_ms) {
		delay = clock_timeval(until_ms - now_ms);
		event_add(hub->settle_timer, &delay);
		return;
	}
	hub->settle_revision = 0;
	event_del(hub->settle_timer);
	hub->settled(hub->settled_context, revision);
}

static void on_settle_timer(evutil_socket_t fd, short what, void *context)
{
	check_settled(context);
}

void relay_hub_request(relay_hub_subscriber_t *subscriber,
		       const hub_request_t *request)
{
	const struct timeval hold = clock_timeval(HOLD_MS);
	relay_hub_t *hub = subscriber->hub;
	/* A node that begins to use a service needs its points soon. */
	const bool news = !subscriber->received_ms || request->added.count;

	memcpy(subscriber->revisions, request->revisions,
	       sizeof(request->revisions));
	relay_hub_wants_update(subscriber->wants, request);
	subscriber->received_ms = clock_boot_ms();
	subscriber->asking = true;
	delegation_requested(hub->delegation, subscriber->id,
			     request->revisions[HUB_STREAM_PRIMARIES]);
	event_add(subscriber->timer, &hold);
	if (relay_hub_is_open(hub) && (news || lacks_changes(subscriber)))
		send_answer(subscriber);
	/* Calls back, so that this comes last. */
	check_settled(hub);
}

uint32_t relay_hub_count(const relay_hub_t *hub)
{
	return hub->subscribers->len;
}

void relay_hub_settle(relay_hub_t *hub, int64_t revision,
		      void (*settled)(void *context, int64_t revision),
		      void *context)
{
	hub->settle_revision = revision;
	hub->settled = settled;
	hub->settled_context = context;
	answer_subscribers(hub, revision != DELEGATION_ALL);
	check_settled(hub);
}

bool relay_hub_is_settled(const relay_hub_t *hub)
{
	return !delegation_until_ms(hub->delegation, DELEGATION_ALL,
				    clock_boot_ms());
}

void relay_hub_close(relay_hub_t *hub)
{
	hub->closed = true;
	answer_subscribers(hub, false);
}

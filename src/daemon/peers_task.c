#include "daemon/peers_task.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/membership.h"
#include "daemon/peer_calls.h"
#include "daemon/peer_directory.h"
#include "daemon/peer_served.h"
#include "daemon/peer_traffic.h"
#include "protocol/peer_message.h"
#include "transport/peer_socket.h"

/* Interval of sweeps over calls and links, and of contacts to a seed. */
#define SWEEP_INTERVAL_MS 100
#define SEED_INTERVAL_MS 1000

struct peers_task {
	const settings_t *settings;
	peers_handlers_t handlers;
	peer_socket_t *socket;
	membership_t *membership;
	peer_calls_t *calls;
	peer_served_t *served;
	peer_directory_t *directory;
	struct event *timer;
	struct event *sweep;
	struct event *notify_event; /* calls the members handler */
	uint64_t sequence;
	uint64_t applied_version;
	uint64_t notified_version;
	uint64_t last_seed_ms;
	uint32_t next_seed;
	peer_traffic_t traffic;
};

static void arm(struct event *event, uint64_t delay_ms)
{
	const struct timeval delay = clock_timeval(delay_ms);

	event_add(event, &delay);
}

/* Sending */

static void set_sender(peers_task_t *peers, peer_message_t *message)
{
	g_strlcpy(message->sender, peers->settings->node,
		  sizeof(message->sender));
	message->incarnation = membership_incarnation(peers->membership);
	message->sequence = ++peers->sequence;
}

static bool send_on_link(peers_task_t *peers, peer_link_t *link,
			 const peer_message_t *message)
{
	const peer_lane_t lane = peer_traffic_lane(message->kind);
	const uint64_t tag =
		message->kind == PEER_MESSAGE_REQUEST ? message->call_id : 0;
	peer_message_t outgoing = *message;
	g_autoptr(GBytes) bytes = NULL;

	set_sender(peers, &outgoing);
	bytes = peer_message_encode(&outgoing);
	if (!peer_link_send(link, lane, bytes, tag))
		return false;
	peer_traffic_count(&peers->traffic.sent[peer_traffic_class(message)],
			   g_bytes_get_size(bytes));
	return true;
}

static bool send_heartbeat(peers_task_t *peers, peer_link_t *link,
			   const membership_heartbeat_t *beat)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_HEARTBEAT);
	peer_heartbeat_t *heartbeat = message->heartbeat;

	heartbeat->members_digest = beat->digest;
	heartbeat->wants_reply = beat->wants_reply;
	heartbeat->members_count = beat->records_count;
	memcpy(heartbeat->members, beat->records,
	       beat->records_count * sizeof(*beat->records));
	heartbeat->digest_size_bytes = peers->handlers.digest(
		peers->handlers.context, heartbeat->digest,
		sizeof(heartbeat->digest));
	return send_on_link(peers, link, message);
}

static void introduce(void *context, peer_link_t *link)
{
	peers_task_t *peers = context;
	member_record_t record;
	membership_heartbeat_t beat;

	membership_fill_introduction(peers->membership, &record, &beat);
	send_heartbeat(peers, link, &beat);
}

static peer_link_t *link_to(peers_task_t *peers, const char *node)
{
	return peer_directory_link(peers->directory, node, clock_now_ms());
}

static bool send_to(void *context, const char *node,
		    const peer_message_t *message)
{
	peers_task_t *peers = context;
	peer_link_t *link = link_to(peers, node);

	return link && send_on_link(peers, link, message);
}

static bool withdraw_from(void *context, const char *node, uint64_t call_id)
{
	peers_task_t *peers = context;
	const peer_t *peer = peer_directory_find(peers->directory, node);

	return peer && peer->link && peer_link_withdraw(peer->link, call_id);
}

/* Members */

/* Calls withdraw their queued requests here, before the link is closed. */
static void on_peer_changed(void *context, const peer_t *peer)
{
	peers_task_t *peers = context;
	const uint64_t live_incarnation = peer->is_dead ? 0 : peer->incarnation;

	log_event(LOG_LEVEL_INFO, "peer_changed",
		  "node=%s incarnation=%" G_GUINT64_FORMAT, peer->name,
		  live_incarnation);
	peer_calls_peer_changed(peers->calls, peer->name, live_incarnation);
	peer_served_peer_changed(peers->served, peer->name, live_incarnation,
				 clock_now_ms());
	if (!peer->is_in_view)
		peer_served_forget(peers->served, peer->name);
}

/* Updates links, calls and served requests to match the members. */
static void apply_view(peers_task_t *peers)
{
	const member_view_t *view = membership_view(peers->membership);

	if (view->version == peers->applied_version)
		return;
	peers->applied_version = view->version;
	peer_directory_update(peers->directory, view);
	event_active(peers->notify_event, EV_TIMEOUT, 0);
}

static void notify_members(evutil_socket_t fd, short what, void *context)
{
	peers_task_t *peers = context;
	const member_view_t *view = membership_view(peers->membership);

	peer_calls_run(peers->calls, clock_now_ms());
	if (view->version == peers->notified_version)
		return;
	peers->notified_version = view->version;
	peers->handlers.members(peers->handlers.context, view);
}

static void send_membership(void *context, const member_t *to,
			    const membership_heartbeat_t *beat)
{
	peers_task_t *peers = context;
	peer_link_t *link = link_to(peers, to->name);

	if (link)
		send_heartbeat(peers, link, beat);
}

static void arm_timer(peers_task_t *peers)
{
	const uint64_t next_ms = membership_next_ms(peers->membership);
	const uint64_t now_ms = clock_now_ms();

	arm(peers->timer, next_ms > now_ms ? next_ms - now_ms : 0);
}

/* Must be called after every input to the membership. */
static void after_membership_input(peers_task_t *peers)
{
	apply_view(peers);
	arm_timer(peers);
}

static void run_membership(evutil_socket_t fd, short what, void *context)
{
	peers_task_t *peers = context;

	membership_run(peers->membership, clock_now_ms(), send_membership,
		       peers);
	after_membership_input(peers);
}

/* Receiving */

static void handle_heartbeat(peers_task_t *peers, const peer_message_t *message)
{
	const peer_heartbeat_t *heartbeat = message->heartbeat;
	const membership_heartbeat_t beat = {
		.digest = heartbeat->members_digest,
		.wants_reply = heartbeat->wants_reply,
		.records = heartbeat->members,
		.records_count = heartbeat->members_count,
	};

	membership_handle_heartbeat(peers->membership, &beat, clock_now_ms());
	after_membership_input(peers);
	if (heartbeat->digest_size_bytes)
		peers->handlers.digest_seen(peers->handlers.context,
					    message->sender, heartbeat->digest,
					    heartbeat->digest_size_bytes);
}

static void handle_note(peers_task_t *peers, const peer_message_t *message)
{
	gsize size_bytes;
	const uint8_t *bytes = g_bytes_get_data(message->bytes, &size_bytes);

	if (message->note_kind >= PEERS_NOTE_COUNT ||
	    size_bytes > PEERS_NOTE_SIZE_BYTES_MAX) {
		metric_add(peers->traffic.dropped_malformed, 1);
		return;
	}
	peers->handlers.note(peers->handlers.context, message->sender,
			     (peers_note_kind_t)message->note_kind, bytes,
			     size_bytes);
}

/* Drops a request that was sent to an earlier process of this node. */
static void handle_request(peers_task_t *peers, const peer_message_t *message)
{
	if (message->receiver_incarnation &&
	    message->receiver_incarnation !=
		    membership_incarnation(peers->membership)) {
		metric_add(peers->traffic.dropped_stale, 1);
		return;
	}
	peer_served_request(peers->served, message);
}

static void handle_message(peers_task_t *peers, const peer_message_t *message)
{
	switch (message->kind) {
	case PEER_MESSAGE_REQUEST:
		handle_request(peers, message);
		return;
	case PEER_MESSAGE_CHUNK:
	case PEER_MESSAGE_END:
		peer_calls_answer(peers->calls, message, clock_now_ms());
		return;
	case PEER_MESSAGE_CANCEL:
		peer_served_cancel(peers->served, message, clock_now_ms());
		return;
	case PEER_MESSAGE_INQUIRY:
		peer_served_inquiry(peers->served, message);
		return;
	case PEER_MESSAGE_RELEASE:
		peer_served_release(peers->served, message);
		return;
	case PEER_MESSAGE_NOTE:
		handle_note(peers, message);
		return;
	default:
		return;
	}
}

static void on_received(void *context, const uint8_t *bytes, size_t size_bytes)
{
	peers_task_t *peers = context;
	g_autoptr(peer_message_t) message =
		peer_message_decode(bytes, size_bytes);

	if (!message) {
		metric_add(peers->traffic.dropped_malformed, 1);
		log_event(LOG_LEVEL_WARNING, "peer_message_malformed",
			  "size_bytes=%zu", size_bytes);
		return;
	}
	peer_traffic_count(
		&peers->traffic.received[peer_traffic_class(message)],
		size_bytes);
	if (message->kind == PEER_MESSAGE_HEARTBEAT) {
		handle_heartbeat(peers, message);
		return;
	}
	if (!membership_record_contact(peers->membership, message->sender,
				       message->incarnation, clock_now_ms())) {
		metric_add(peers->traffic.dropped_stale, 1);
		return;
	}
	after_membership_input(peers);
	handle_message(peers, message);
}

/* Sweeping */

static void contact_seed(peers_task_t *peers, uint64_t now_ms)
{
	const settings_t *settings = peers->settings;
	const endpoint_t *seed;

	if (!settings->seeds_count ||
	    now_ms < peers->last_seed_ms + SEED_INTERVAL_MS ||
	    !membership_is_alone(peers->membership))
		return;
	peers->last_seed_ms = now_ms;
	seed = &settings->seeds[peers->next_seed++ % settings->seeds_count];
	introduce(peers,
		  peer_directory_link_seed(peers->directory, seed, now_ms));
}

static void publish_drops(peers_task_t *peers)
{
	const peer_calls_drops_t drops = peer_calls_drops(peers->calls);

	metric_set(peers->traffic.answers_dropped,
		   (int64_t)(drops.late_count + drops.duplicate_count));
	metric_set(peers->traffic.duplicates,
		   (int64_t)peer_served_duplicates(peers->served));
}

static void sweep(evutil_socket_t fd, short what, void *context)
{
	peers_task_t *peers = context;
	const uint64_t now_ms = clock_now_ms();

	peer_calls_run(peers->calls, now_ms);
	peer_served_run(peers->served, now_ms);
	publish_drops(peers);
	peer_directory_close_idle(peers->directory, now_ms);
	contact_seed(peers, now_ms);
	arm(peers->sweep, SWEEP_INTERVAL_MS);
}

/* Construction */

static member_t describe_self(const settings_t *settings, uint16_t port)
{
	member_t self = {
		.peer_port = port,
		/* Identifies this process; never compared with a clock. */
		.incarnation = (uint64_t)g_get_real_time(),
	};

	g_strlcpy(self.name, settings->node, sizeof(self.name));
	g_strlcpy(self.address, settings->peers.address, sizeof(self.address));
	g_strlcpy(self.failure_domain, settings->failure_domain,
		  sizeof(self.failure_domain));
	g_strlcpy(self.region, settings->region, sizeof(self.region));
	return self;
}

static void create_parts(peers_task_t *peers, struct event_base *base)
{
	const peer_calls_link_t calls_link = {
		.send = send_to,
		.withdraw = withdraw_from,
		.context = peers,
	};
	const peer_served_link_t served_link = {
		.send = send_to,
		.context = peers,
	};
	const peer_directory_handlers_t directory_handlers = {
		.opened = introduce,
		.changed = on_peer_changed,
		.context = peers,
	};
	const member_t self =
		describe_self(peers->settings, peer_socket_port(peers->socket));

	peers->directory = peer_directory_create(peers->socket, peers->settings,
						 directory_handlers);
	peers->membership =
		membership_create(&self, self.incarnation, clock_now_ms());
	peers->calls = peer_calls_create(calls_link);
	peers->served = peer_served_create(served_link, &peers->handlers);
	peers->timer = evtimer_new(base, run_membership, peers);
	peers->sweep = evtimer_new(base, sweep, peers);
	peers->notify_event = evtimer_new(base, notify_members, peers);
}

peers_task_t *peers_task_create(struct event_base *base, metrics_t *metrics,
				const settings_t *settings,
				peers_handlers_t handlers, GError **error)
{
	const peer_socket_settings_t socket_settings = {
		.address = settings->peers.address,
		.port = settings->peers.port,
		.public_key = settings->fleet_public_key,
		.secret_key = settings->fleet_secret_key,
	};
	peers_task_t *peers = g_new0(peers_task_t, 1);

	peers->settings = settings;
	peers->handlers = handlers;
	peers->traffic = peer_traffic_make(metrics);
	peers->socket = peer_socket_create(base, &socket_settings, on_received,
					   peers, error);
	if (!peers->socket) {
		g_free(peers);
		return NULL;
	}
	create_parts(peers, base);
	apply_view(peers);
	arm(peers->timer, 0);
	arm(peers->sweep, SWEEP_INTERVAL_MS);
	return peers;
}

void peers_task_destroy(peers_task_t *peers)
{
	if (!peers)
		return;
	event_free(peers->timer);
	event_free(peers->sweep);
	event_free(peers->notify_event);
	peer_directory_destroy(peers->directory);
	peer_socket_destroy(peers->socket);
	peer_calls_destroy(peers->calls);
	peer_served_destroy(peers->served);
	membership_destroy(peers->membership);
	g_free(peers);
}

/* Interface to other tasks */

void peers_task_set_listed(peers_task_t *peers, const member_t *members,
			   uint32_t members_count)
{
	membership_apply_list(peers->membership, members, members_count,
			      clock_now_ms());
	arm_timer(peers);
}

const member_view_t *peers_task_view(const peers_task_t *peers)
{
	return membership_view(peers->membership);
}

void peers_task_submit(peers_task_t *peers, const char *node,
		       const request_t *request, answer_sink_t sink)
{
	const peer_t *peer = peer_directory_find(peers->directory, node);
	const uint64_t now_ms = clock_now_ms();

	if (!peer || peer->is_dead || !peer->port) {
		peer_calls_refuse(peers->calls, request, REASON_UNREACHABLE,
				  sink, now_ms);
		event_active(peers->notify_event, EV_TIMEOUT, 0);
		return;
	}
	peer_calls_submit(peers->calls, node,
			  membership_incarnation(peers->membership),
			  peer->incarnation, request, sink, now_ms);
}

void peers_task_cancel(peers_task_t *peers, uint64_t request_id,
		       void *sink_context)
{
	peer_calls_cancel(peers->calls, request_id, sink_context,
			  clock_now_ms());
}

void peers_task_release(peers_task_t *peers, const char *node,
			uint64_t lease_id)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_RELEASE);

	message->lease_id = lease_id;
	send_to(peers, node, message);
}

void peers_task_send_note(peers_task_t *peers, const char *node,
			  peers_note_kind_t kind, const uint8_t *bytes,
			  size_t size_bytes)
{
	g_autoptr(peer_message_t) message = peer_message_new(PEER_MESSAGE_NOTE);

	g_assert(size_bytes <= PEERS_NOTE_SIZE_BYTES_MAX);
	message->note_kind = kind;
	message->bytes = g_bytes_new(bytes, size_bytes);
	send_to(peers, node, message);
}

void peers_task_leave(peers_task_t *peers)
{
	membership_leave(peers->membership, clock_now_ms());
	arm_timer(peers);
}

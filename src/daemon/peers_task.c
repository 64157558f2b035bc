#include "daemon/peers_task.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/membership.h"
#include "daemon/peer_calls.h"
#include "daemon/peer_served.h"
#include "protocol/peer_message.h"
#include "transport/peer_socket.h"

/* How often calls and links are looked through, and seeds are asked. */
#define SWEEP_MS 100
#define SEED_MS 1000

/* A link that nothing was sent on for so long is closed. */
#define LINK_IDLE_MS 60000

/* One peer as the last view showed it, and the link to it if there is one. */
typedef struct {
	char name[sizeof(((member_t *)0)->name)];
	char address[sizeof(((member_t *)0)->address)];
	uint16_t port;
	uint64_t incarnation;
	bool is_dead;
	bool is_in_view;
	bool is_seed; /* asked by its address; not a member by this name */
	peer_link_t *link;
	uint64_t used_ms;
} peer_t;

typedef struct {
	metric_t *bytes;
	metric_t *messages;
} traffic_t;

struct peers_task {
	const settings_t *settings;
	peers_handlers_t handlers;
	peer_socket_t *socket;
	membership_t *membership;
	peer_calls_t *calls;
	peer_served_t *served;
	GHashTable *peers; /* name to peer_t */
	struct event *timer;
	struct event *sweep;
	struct event *soon; /* tells of a changed view from the loop */
	uint64_t sequence;
	uint64_t seen_version;
	uint64_t told_version;
	uint64_t seeded_ms;
	uint32_t next_seed;
	traffic_t sent[PEER_LANE_COUNT];
	traffic_t received[PEER_LANE_COUNT];
	metric_t *dropped_malformed;
	metric_t *dropped_stale;
	metric_t *answers_dropped;
	metric_t *duplicates;
};

static struct timeval timeval_ms(uint64_t delay_ms)
{
	return (struct timeval){
		.tv_sec = (time_t)(delay_ms / 1000),
		.tv_usec = (suseconds_t)(delay_ms % 1000 * 1000),
	};
}

static void arm(struct event *event, uint64_t delay_ms)
{
	const struct timeval delay = timeval_ms(delay_ms);

	event_add(event, &delay);
}

/* Links */

static void peer_free(gpointer data)
{
	peer_t *peer = data;

	peer_link_destroy(peer->link);
	g_free(peer);
}

static peer_lane_t lane_of(peer_message_kind_t kind)
{
	if (kind == PEER_MESSAGE_HEARTBEAT || kind == PEER_MESSAGE_NOTE)
		return PEER_LANE_CONTROL;
	return PEER_LANE_CALLS;
}

static void count(const traffic_t *traffic, size_t size_bytes)
{
	metric_add(traffic->messages, 1);
	metric_add(traffic->bytes, size_bytes);
}

static void sign(peers_task_t *peers, peer_message_t *message)
{
	g_strlcpy(message->sender, peers->settings->node,
		  sizeof(message->sender));
	message->incarnation = membership_incarnation(peers->membership);
	message->sequence = ++peers->sequence;
}

static bool send_on(peers_task_t *peers, peer_link_t *link,
		    const peer_message_t *message)
{
	const peer_lane_t lane = lane_of(message->kind);
	const uint64_t tag =
		message->kind == PEER_MESSAGE_REQUEST ? message->call_id : 0;
	peer_message_t signed_message = *message;
	g_autoptr(GBytes) bytes = NULL;

	sign(peers, &signed_message);
	bytes = peer_message_encode(&signed_message);
	if (!peer_link_send(link, lane, bytes, tag))
		return false;
	count(&peers->sent[lane], g_bytes_get_size(bytes));
	return true;
}

static bool send_beat(peers_task_t *peers, peer_link_t *link,
		      const membership_beat_t *beat)
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
	return send_on(peers, link, message);
}

static void introduce(peers_task_t *peers, peer_link_t *link)
{
	member_record_t record;
	membership_beat_t beat;

	membership_introduce(peers->membership, &record, &beat);
	send_beat(peers, link, &beat);
}

static peer_link_t *open_link(peers_task_t *peers, const char *address,
			      uint16_t port)
{
	const settings_endpoint_t endpoint =
		settings_route(peers->settings, address, port);
	peer_link_t *link = peer_link_create(peers->socket, endpoint.address,
					     endpoint.port);

	introduce(peers, link);
	return link;
}

static peer_t *add_peer(peers_task_t *peers, const char *name)
{
	peer_t *peer = g_new0(peer_t, 1);

	g_strlcpy(peer->name, name, sizeof(peer->name));
	g_hash_table_insert(peers->peers, peer->name, peer);
	return peer;
}

static peer_link_t *link_to(peers_task_t *peers, const char *node)
{
	peer_t *peer = g_hash_table_lookup(peers->peers, node);

	if (!peer || !peer->port)
		return NULL;
	if (!peer->link)
		peer->link = open_link(peers, peer->address, peer->port);
	peer->used_ms = clock_now_ms();
	return peer->link;
}

static bool send_to(void *context, const char *node,
		    const peer_message_t *message)
{
	peers_task_t *peers = context;
	peer_link_t *link = link_to(peers, node);

	return link && send_on(peers, link, message);
}

static bool withdraw_from(void *context, const char *node, uint64_t call_id)
{
	peers_task_t *peers = context;
	const peer_t *peer = g_hash_table_lookup(peers->peers, node);

	return peer && peer->link && peer_link_withdraw(peer->link, call_id);
}

/* Members */

static void close_link(peer_t *peer)
{
	g_clear_pointer(&peer->link, peer_link_destroy);
}

/* What is still queued is withdrawn by its call before the link goes. */
static void peer_changed(peers_task_t *peers, peer_t *peer, uint64_t lives)
{
	const uint64_t now_ms = clock_now_ms();

	log_event(LOG_LEVEL_INFO, "peer_changed",
		  "node=%s incarnation=%" G_GUINT64_FORMAT, peer->name, lives);
	peer_calls_peer_changed(peers->calls, peer->name, lives);
	peer_served_peer_changed(peers->served, peer->name, lives, now_ms);
}

static void follow_member(peers_task_t *peers, const member_t *member)
{
	peer_t *peer = g_hash_table_lookup(peers->peers, member->name);
	const bool is_dead = member->state == MEMBER_DEAD;
	bool restarted;
	bool moved;
	bool died;

	if (!peer)
		peer = add_peer(peers, member->name);
	restarted =
		peer->incarnation && peer->incarnation != member->incarnation;
	moved = peer->port != member->peer_port ||
		strcmp(peer->address, member->address);
	died = is_dead && !peer->is_dead;
	peer->is_in_view = true;
	peer->is_dead = is_dead;
	peer->incarnation = member->incarnation;
	if (died || restarted)
		peer_changed(peers, peer, is_dead ? 0 : member->incarnation);
	if (died || restarted || moved)
		close_link(peer);
	g_strlcpy(peer->address, member->address, sizeof(peer->address));
	peer->port = member->peer_port;
}

static gboolean is_gone(gpointer key, gpointer value, gpointer context)
{
	peers_task_t *peers = context;
	const peer_t *peer = value;

	if (peer->is_in_view || peer->is_seed)
		return FALSE;
	peer_calls_peer_changed(peers->calls, peer->name, 0);
	peer_served_peer_changed(peers->served, peer->name, UINT64_MAX,
				 clock_now_ms());
	return TRUE;
}

/* Brings links, calls and served requests in line with the members. */
static void follow_view(peers_task_t *peers)
{
	const member_view_t *view = membership_view(peers->membership);
	GHashTableIter iter;
	gpointer value;

	if (view->version == peers->seen_version)
		return;
	peers->seen_version = view->version;
	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((peer_t *)value)->is_in_view = false;
	for (uint32_t i = 0; i < view->members_count; i++)
		if (strcmp(view->members[i].name, peers->settings->node))
			follow_member(peers, &view->members[i]);
	g_hash_table_foreach_remove(peers->peers, is_gone, peers);
	event_active(peers->soon, EV_TIMEOUT, 0);
}

static void tell_members(evutil_socket_t fd, short what, void *context)
{
	peers_task_t *peers = context;
	const member_view_t *view = membership_view(peers->membership);

	peer_calls_run(peers->calls, clock_now_ms());
	if (view->version == peers->told_version)
		return;
	peers->told_version = view->version;
	peers->handlers.members(peers->handlers.context, view);
}

static void send_membership(void *context, const member_t *to,
			    const membership_beat_t *beat)
{
	peers_task_t *peers = context;
	peer_link_t *link = link_to(peers, to->name);

	if (link)
		send_beat(peers, link, beat);
}

static void arm_timer(peers_task_t *peers)
{
	const uint64_t next_ms = membership_next_ms(peers->membership);
	const uint64_t now_ms = clock_now_ms();

	arm(peers->timer, next_ms > now_ms ? next_ms - now_ms : 0);
}

/* To be called after anything that the membership has taken in. */
static void after_membership(peers_task_t *peers)
{
	follow_view(peers);
	arm_timer(peers);
}

static void run_membership(evutil_socket_t fd, short what, void *context)
{
	peers_task_t *peers = context;

	membership_run(peers->membership, clock_now_ms(), send_membership,
		       peers);
	after_membership(peers);
}

/* Receiving */

static void take_heartbeat(peers_task_t *peers, const peer_message_t *message)
{
	const peer_heartbeat_t *heartbeat = message->heartbeat;
	const membership_beat_t beat = {
		.digest = heartbeat->members_digest,
		.wants_reply = heartbeat->wants_reply,
		.records = heartbeat->members,
		.records_count = heartbeat->members_count,
	};

	membership_heard(peers->membership, &beat, clock_now_ms());
	after_membership(peers);
	if (heartbeat->digest_size_bytes)
		peers->handlers.digest_seen(peers->handlers.context,
					    message->sender, heartbeat->digest,
					    heartbeat->digest_size_bytes);
}

static void take_note(peers_task_t *peers, const peer_message_t *message)
{
	gsize size_bytes;
	const uint8_t *bytes = g_bytes_get_data(message->bytes, &size_bytes);

	if (message->note_kind >= PEERS_NOTE_COUNT ||
	    size_bytes > PEERS_NOTE_SIZE_BYTES_MAX) {
		metric_add(peers->dropped_malformed, 1);
		return;
	}
	peers->handlers.note(peers->handlers.context, message->sender,
			     (peers_note_kind_t)message->note_kind, bytes,
			     size_bytes);
}

/* A request meant for an earlier process of this node is not run by this. */
static void take_request(peers_task_t *peers, const peer_message_t *message)
{
	if (message->receiver_incarnation &&
	    message->receiver_incarnation !=
		    membership_incarnation(peers->membership)) {
		metric_add(peers->dropped_stale, 1);
		return;
	}
	peer_served_request(peers->served, message);
}

static void take_answer(peers_task_t *peers, const peer_message_t *message)
{
	const peer_calls_drops_t before = peer_calls_drops(peers->calls);
	peer_calls_drops_t after;

	peer_calls_answer(peers->calls, message, clock_now_ms());
	after = peer_calls_drops(peers->calls);
	metric_add(peers->answers_dropped,
		   after.late_count - before.late_count + after.twice_count -
			   before.twice_count);
}

static void dispatch(peers_task_t *peers, const peer_message_t *message)
{
	switch (message->kind) {
	case PEER_MESSAGE_REQUEST:
		take_request(peers, message);
		return;
	case PEER_MESSAGE_CHUNK:
	case PEER_MESSAGE_END:
		take_answer(peers, message);
		return;
	case PEER_MESSAGE_CANCEL:
		peer_served_cancel(peers->served, message, clock_now_ms());
		return;
	case PEER_MESSAGE_RELEASE:
		peer_served_release(peers->served, message);
		return;
	case PEER_MESSAGE_NOTE:
		take_note(peers, message);
		return;
	default:
		g_assert_not_reached();
	}
}

static void on_received(void *context, const uint8_t *bytes, size_t size_bytes)
{
	peers_task_t *peers = context;
	g_autoptr(peer_message_t) message =
		peer_message_decode(bytes, size_bytes);

	if (!message) {
		metric_add(peers->dropped_malformed, 1);
		log_event(LOG_LEVEL_WARNING, "peer_message_malformed",
			  "size_bytes=%zu", size_bytes);
		return;
	}
	count(&peers->received[lane_of(message->kind)], size_bytes);
	if (message->kind == PEER_MESSAGE_HEARTBEAT) {
		take_heartbeat(peers, message);
		return;
	}
	if (!membership_seen(peers->membership, message->sender,
			     message->incarnation, clock_now_ms())) {
		metric_add(peers->dropped_stale, 1);
		return;
	}
	after_membership(peers);
	dispatch(peers, message);
}

/* Sweeping */

static void close_idle(peers_task_t *peers, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (peer->link && peer->used_ms + LINK_IDLE_MS <= now_ms)
			close_link(peer);
	}
}

static bool knows_a_peer(peers_task_t *peers)
{
	const member_view_t *view = membership_view(peers->membership);

	for (uint32_t i = 0; i < view->members_count; i++) {
		const member_t *member = &view->members[i];

		if (member->incarnation && member->state != MEMBER_DEAD &&
		    strcmp(member->name, peers->settings->node))
			return true;
	}
	return false;
}

/* Seeds have no name yet, so their links stand apart from those of members. */
static void ask_seed(peers_task_t *peers, uint64_t now_ms)
{
	const settings_t *settings = peers->settings;
	const settings_endpoint_t *seed;
	g_autofree char *name = NULL;
	peer_t *peer;

	if (!settings->seeds_count || now_ms < peers->seeded_ms + SEED_MS ||
	    knows_a_peer(peers))
		return;
	peers->seeded_ms = now_ms;
	seed = &settings->seeds[peers->next_seed++ % settings->seeds_count];
	name = g_strdup_printf("%s:%u", seed->address, seed->port);
	peer = g_hash_table_lookup(peers->peers, name);
	if (!peer)
		peer = add_peer(peers, name);
	peer->is_seed = true;
	peer->used_ms = now_ms;
	if (peer->link)
		introduce(peers, peer->link);
	else
		peer->link = open_link(peers, seed->address, seed->port);
}

static void sweep(evutil_socket_t fd, short what, void *context)
{
	peers_task_t *peers = context;
	const uint64_t now_ms = clock_now_ms();

	peer_calls_run(peers->calls, now_ms);
	peer_served_run(peers->served, now_ms);
	metric_set(peers->duplicates,
		   (int64_t)peer_served_duplicates(peers->served));
	close_idle(peers, now_ms);
	ask_seed(peers, now_ms);
	arm(peers->sweep, SWEEP_MS);
}

/* Construction */

static traffic_t make_traffic(metrics_t *metrics, const char *direction,
			      peer_lane_t lane)
{
	g_autofree char *labels = g_strdup_printf(
		"direction=\"%s\",class=\"%s\"", direction,
		lane == PEER_LANE_CONTROL ? "control" : "requests");

	return (traffic_t){
		.bytes = metrics_counter(metrics, "toucanhook_peer_bytes_total",
					 labels),
		.messages = metrics_counter(
			metrics, "toucanhook_peer_messages_total", labels),
	};
}

static void create_metrics(peers_task_t *peers, metrics_t *metrics)
{
	static const char dropped[] = "toucanhook_peer_dropped_total";

	for (uint32_t lane = 0; lane < PEER_LANE_COUNT; lane++) {
		peers->sent[lane] = make_traffic(metrics, "sent", lane);
		peers->received[lane] = make_traffic(metrics, "received", lane);
	}
	peers->dropped_malformed =
		metrics_counter(metrics, dropped, "reason=\"malformed\"");
	peers->dropped_stale =
		metrics_counter(metrics, dropped, "reason=\"stale\"");
	peers->answers_dropped =
		metrics_counter(metrics, dropped, "reason=\"answer\"");
	peers->duplicates =
		metrics_gauge(metrics, "toucanhook_peer_duplicates", "");
}

static member_t describe_self(const settings_t *settings, uint16_t port)
{
	member_t self = {
		.peer_port = port,
		/* Names this process; is never compared with a clock. */
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
	const member_t self =
		describe_self(peers->settings, peer_socket_port(peers->socket));

	peers->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	peers->membership =
		membership_create(&self, self.incarnation, clock_now_ms());
	peers->calls = peer_calls_create(calls_link);
	peers->served = peer_served_create(served_link, &peers->handlers);
	peers->timer = evtimer_new(base, run_membership, peers);
	peers->sweep = evtimer_new(base, sweep, peers);
	peers->soon = evtimer_new(base, tell_members, peers);
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
	create_metrics(peers, metrics);
	peers->socket = peer_socket_create(base, &socket_settings, on_received,
					   peers, error);
	if (!peers->socket) {
		g_free(peers);
		return NULL;
	}
	create_parts(peers, base);
	follow_view(peers);
	arm(peers->timer, 0);
	arm(peers->sweep, SWEEP_MS);
	return peers;
}

void peers_task_destroy(peers_task_t *peers)
{
	if (!peers)
		return;
	event_free(peers->timer);
	event_free(peers->sweep);
	event_free(peers->soon);
	g_hash_table_destroy(peers->peers);
	peer_socket_destroy(peers->socket);
	peer_calls_destroy(peers->calls);
	peer_served_destroy(peers->served);
	membership_destroy(peers->membership);
	g_free(peers);
}

/* Calls from other tasks */

void peers_task_listed(peers_task_t *peers, const member_t *members,
		       uint32_t members_count)
{
	membership_listed(peers->membership, members, members_count,
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
	const peer_t *peer = g_hash_table_lookup(peers->peers, node);
	const uint64_t now_ms = clock_now_ms();

	if (!peer || peer->is_dead || !peer->port) {
		peer_calls_refuse(peers->calls, request, REASON_UNREACHABLE,
				  sink, now_ms);
		event_active(peers->soon, EV_TIMEOUT, 0);
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

void peers_task_note(peers_task_t *peers, const char *node,
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

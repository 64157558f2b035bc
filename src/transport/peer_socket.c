#include "transport/peer_socket.h"

#include <string.h>

#include <zmq.h>

#include "protocol/peer_message.h"
#include "transport/peer_authenticator.h"
#include "transport/socket_watch.h"

#define ENDPOINT_SIZE_BYTES 128
#define ZAP_DOMAIN "fleet"
#define MESSAGES_PER_CALL 64

/* Messages that ZeroMQ queues in each direction of a connection. */
#define HIGH_WATER_MESSAGES 64

#define RECONNECT_MS 100
#define RECONNECT_MS_MAX 2000
#define CONNECT_TIMEOUT_MS 3000
#define HANDSHAKE_TIMEOUT_MS 5000

/*
 * ZeroMQ's heartbeats close a connection that TCP still considers open but on
 * which the peer is unresponsive.
 */
#define PING_INTERVAL_MS 10000
#define PING_TIMEOUT_MS 10000
#define PING_TTL_MS 30000

#define CONTROL_QUEUE_BYTES_MAX (8u * 1024 * 1024)
#define CALLS_QUEUE_BYTES_MAX (64u * 1024 * 1024)

/*
 * Space of the calls lane that is reserved for small messages, so that a full
 * lane still accepts the ends of answers.
 */
#define CALLS_RESERVE_BYTES (1024 * 1024)
#define SMALL_MESSAGE_BYTES_MAX 2048

G_DEFINE_QUARK(peer - socket - error - quark, peer_socket_error)

struct peer_socket {
	struct event_base *base;
	void *zmq_context;
	void *socket;
	peer_authenticator_t *authenticator;
	socket_watch_t *watch;
	char *public_key;
	char *secret_key;
	uint16_t port;
	peer_socket_received_t received;
	void *context;
};

typedef struct {
	GBytes *bytes;
	uint64_t tag;
} queued_t;

typedef struct {
	GQueue messages;   /* queued_t */
	size_t size_bytes; /* total size of the messages */
} lane_t;

struct peer_link {
	void *socket;
	socket_watch_t *watch;
	lane_t lanes[PEER_LANE_COUNT];
};

static void set_int(void *socket, int option, int value)
{
	if (zmq_setsockopt(socket, option, &value, sizeof(value)))
		g_error("socket option %d: %s", option,
			zmq_strerror(zmq_errno()));
}

/* Sets the CURVE keys. @return false if a key from the settings is malformed */
static bool set_keys(void *socket, const char *public_key,
		     const char *secret_key)
{
	return !zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, public_key,
			       strlen(public_key) + 1) &&
	       !zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, secret_key,
			       strlen(secret_key) + 1);
}

static void set_bounds(void *socket)
{
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_IPV6, 1);
	set_int(socket, ZMQ_SNDHWM, HIGH_WATER_MESSAGES);
	set_int(socket, ZMQ_RCVHWM, HIGH_WATER_MESSAGES);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
}

static void format_endpoint(char endpoint[ENDPOINT_SIZE_BYTES],
			    const char *address, uint16_t port)
{
	const bool is_v6 = strchr(address, ':');

	g_snprintf(endpoint, ENDPOINT_SIZE_BYTES,
		   is_v6 ? "tcp://[%s]:%u" : "tcp://%s:%u", address, port);
}

/*
 * Receives one message. The first frame is the identity that ZeroMQ adds; a
 * message with any number of frames but two is ignored.
 *
 * @return false if there is no message
 */
static bool receive_one(peer_socket_t *socket)
{
	zmq_msg_t message;
	bool is_payload;
	bool more = true;

	for (uint32_t frame = 0; more; frame++) {
		zmq_msg_init(&message);
		if (zmq_msg_recv(&message, socket->socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&message);
			return false;
		}
		more = zmq_msg_more(&message);
		is_payload = frame == 1 && !more;
		if (is_payload)
			socket->received(socket->context,
					 zmq_msg_data(&message),
					 zmq_msg_size(&message));
		zmq_msg_close(&message);
	}
	return true;
}

static void receive_available(void *context, socket_state_t state)
{
	for (uint32_t i = 0; i < MESSAGES_PER_CALL; i++)
		if (!receive_one(context))
			return;
}

static bool bind_socket(peer_socket_t *socket,
			const peer_socket_settings_t *settings, GError **error)
{
	char endpoint[ENDPOINT_SIZE_BYTES];
	size_t size_bytes = sizeof(endpoint);

	format_endpoint(endpoint, settings->address, settings->port);
	if (zmq_bind(socket->socket, endpoint)) {
		g_set_error(error, PEER_SOCKET_ERROR, PEER_SOCKET_ERROR_ADDRESS,
			    "cannot bind %s: %s", endpoint,
			    zmq_strerror(zmq_errno()));
		return false;
	}
	zmq_getsockopt(socket->socket, ZMQ_LAST_ENDPOINT, endpoint,
		       &size_bytes);
	socket->port = (uint16_t)g_ascii_strtoull(strrchr(endpoint, ':') + 1,
						  NULL, 10);
	return true;
}

static bool open_socket(peer_socket_t *socket,
			const peer_socket_settings_t *settings, GError **error)
{
	socket->authenticator = peer_authenticator_create(
		socket->base, socket->zmq_context, settings->public_key);
	if (!socket->authenticator ||
	    !set_keys(socket->socket, settings->public_key,
		      settings->secret_key)) {
		g_set_error(error, PEER_SOCKET_ERROR, PEER_SOCKET_ERROR_KEY,
			    "the fleet's key is not a CURVE key in Z85");
		return false;
	}
	set_bounds(socket->socket);
	set_int(socket->socket, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(socket->socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN,
		       strlen(ZAP_DOMAIN));
	if (zmq_setsockopt(socket->socket, ZMQ_MAXMSGSIZE,
			   &(int64_t){PEER_MESSAGE_SIZE_BYTES_MAX},
			   sizeof(int64_t)))
		g_error("cannot set the message size limit");
	return bind_socket(socket, settings, error);
}

peer_socket_t *peer_socket_create(struct event_base *base,
				  const peer_socket_settings_t *settings,
				  peer_socket_received_t received,
				  void *context, GError **error)
{
	peer_socket_t *socket;

	if (!zmq_has("curve")) {
		g_set_error(error, PEER_SOCKET_ERROR,
			    PEER_SOCKET_ERROR_NO_CURVE,
			    "ZeroMQ was built without CURVE");
		return NULL;
	}
	socket = g_new0(peer_socket_t, 1);
	socket->base = base;
	socket->received = received;
	socket->context = context;
	socket->public_key = g_strdup(settings->public_key);
	socket->secret_key = g_strdup(settings->secret_key);
	socket->zmq_context = zmq_ctx_new();
	socket->socket = zmq_socket(socket->zmq_context, ZMQ_ROUTER);
	if (!open_socket(socket, settings, error)) {
		peer_socket_destroy(socket);
		return NULL;
	}
	socket->watch = socket_watch_create(base, socket->socket,
					    receive_available, socket);
	return socket;
}

void peer_socket_destroy(peer_socket_t *socket)
{
	if (!socket)
		return;
	socket_watch_destroy(socket->watch);
	zmq_close(socket->socket);
	peer_authenticator_destroy(socket->authenticator);
	zmq_ctx_term(socket->zmq_context);
	g_free(socket->public_key);
	g_free(socket->secret_key);
	g_free(socket);
}

uint16_t peer_socket_port(const peer_socket_t *socket)
{
	return socket->port;
}

static void queued_free(gpointer data)
{
	queued_t *queued = data;

	g_bytes_unref(queued->bytes);
	g_free(queued);
}

static void lane_push(lane_t *lane, GBytes *bytes, uint64_t tag)
{
	queued_t *queued = g_new0(queued_t, 1);

	queued->bytes = g_bytes_ref(bytes);
	queued->tag = tag;
	lane->size_bytes += g_bytes_get_size(bytes);
	g_queue_push_tail(&lane->messages, queued);
}

static void lane_drop(lane_t *lane, GList *item)
{
	queued_t *queued = item->data;

	lane->size_bytes -= g_bytes_get_size(queued->bytes);
	g_queue_delete_link(&lane->messages, item);
	queued_free(queued);
}

/* Called by a thread of ZeroMQ after the bytes were written. */
static void unref_sent(void *data, void *hint)
{
	g_bytes_unref(hint);
}

static bool send_bytes(void *socket, GBytes *bytes)
{
	zmq_msg_t message;
	gsize size_bytes;
	const void *data = g_bytes_get_data(bytes, &size_bytes);

	zmq_msg_init_data(&message, (void *)data, size_bytes, unref_sent,
			  g_bytes_ref(bytes));
	if (zmq_msg_send(&message, socket, ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(&message);
	return false;
}

static uint32_t first_waiting_lane(const peer_link_t *link)
{
	uint32_t lane = 0;

	while (lane < PEER_LANE_COUNT && !link->lanes[lane].messages.length)
		lane++;
	return lane;
}

static void flush(void *context, socket_state_t state)
{
	peer_link_t *link = context;

	for (uint32_t i = 0; i < MESSAGES_PER_CALL; i++) {
		uint32_t first = first_waiting_lane(link);
		const queued_t *queued;

		if (first == PEER_LANE_COUNT)
			break;
		queued = g_queue_peek_head(&link->lanes[first].messages);
		if (!send_bytes(link->socket, queued->bytes))
			break;
		lane_drop(&link->lanes[first],
			  link->lanes[first].messages.head);
	}
	socket_watch_want_write(link->watch,
				first_waiting_lane(link) != PEER_LANE_COUNT);
}

peer_link_t *peer_link_create(peer_socket_t *socket, const char *address,
			      uint16_t port)
{
	peer_link_t *link = g_new0(peer_link_t, 1);
	char endpoint[ENDPOINT_SIZE_BYTES];

	for (uint32_t i = 0; i < PEER_LANE_COUNT; i++)
		g_queue_init(&link->lanes[i].messages);
	link->socket = zmq_socket(socket->zmq_context, ZMQ_DEALER);
	if (!link->socket)
		g_error("cannot create a socket: %s",
			zmq_strerror(zmq_errno()));
	set_bounds(link->socket);
	set_int(link->socket, ZMQ_IMMEDIATE, 1);
	set_int(link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MS_MAX);
	set_int(link->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(link->socket, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS);
	set_int(link->socket, ZMQ_HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS);
	set_int(link->socket, ZMQ_HEARTBEAT_TTL, PING_TTL_MS);
	set_keys(link->socket, socket->public_key, socket->secret_key);
	zmq_setsockopt(link->socket, ZMQ_CURVE_SERVERKEY, socket->public_key,
		       strlen(socket->public_key) + 1);
	format_endpoint(endpoint, address, port);
	zmq_connect(link->socket, endpoint);
	link->watch =
		socket_watch_create(socket->base, link->socket, flush, link);
	return link;
}

void peer_link_destroy(peer_link_t *link)
{
	if (!link)
		return;
	socket_watch_destroy(link->watch);
	zmq_close(link->socket);
	for (uint32_t i = 0; i < PEER_LANE_COUNT; i++)
		g_queue_clear_full(&link->lanes[i].messages, queued_free);
	g_free(link);
}

static bool reserve_space(peer_link_t *link, peer_lane_t which,
			  size_t size_bytes)
{
	lane_t *lane = &link->lanes[which];
	size_t limit_bytes = CALLS_QUEUE_BYTES_MAX;

	if (which == PEER_LANE_CALLS) {
		if (size_bytes <= SMALL_MESSAGE_BYTES_MAX)
			limit_bytes += CALLS_RESERVE_BYTES;
		return lane->size_bytes + size_bytes <= limit_bytes;
	}
	while (lane->messages.length &&
	       lane->size_bytes + size_bytes > CONTROL_QUEUE_BYTES_MAX)
		lane_drop(lane, lane->messages.head);
	return true;
}

bool peer_link_send(peer_link_t *link, peer_lane_t lane, GBytes *bytes,
		    uint64_t tag)
{
	if (!reserve_space(link, lane, g_bytes_get_size(bytes)))
		return false;
	lane_push(&link->lanes[lane], bytes, tag);
	socket_watch_want_write(link->watch, true);
	socket_watch_schedule(link->watch);
	return true;
}

bool peer_link_withdraw(peer_link_t *link, uint64_t tag)
{
	lane_t *lane = &link->lanes[PEER_LANE_CALLS];

	for (GList *item = lane->messages.head; item; item = item->next) {
		if (((const queued_t *)item->data)->tag != tag)
			continue;
		lane_drop(lane, item);
		return true;
	}
	return false;
}

size_t peer_link_queued_bytes(const peer_link_t *link, peer_lane_t lane)
{
	return link->lanes[lane].size_bytes;
}

#include "transport/peer_authenticator.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>
#include <zmq.h>

#include "base/log.h"
#include "transport/socket_watch.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define KEY_SIZE_BYTES 32
#define KEY_Z85_LENGTH 40
#define FRAME_SIZE_BYTES_MAX 256
#define REQUESTS_PER_CALL 16

/* Frames of a ZAP request in the order of ZeroMQ's RFC 27. */
typedef enum {
	FRAME_VERSION,
	FRAME_REQUEST_ID,
	FRAME_DOMAIN,
	FRAME_ADDRESS,
	FRAME_IDENTITY,
	FRAME_MECHANISM,
	FRAME_CREDENTIALS,
	FRAME_COUNT,
} zap_frame_t;

typedef struct {
	uint8_t bytes[FRAME_SIZE_BYTES_MAX];
	size_t size_bytes;
} frame_t;

struct peer_authenticator {
	void *socket;
	socket_watch_t *watch;
	uint8_t key[KEY_SIZE_BYTES]; /* public key of the fleet */
};

static bool frame_is(const frame_t *frame, const char *text)
{
	return frame->size_bytes == strlen(text) &&
	       !memcmp(frame->bytes, text, frame->size_bytes);
}

/*
 * Receives one request.
 *
 * @param valid set to false if the request has another number of frames or a
 *        frame is too large
 * @return false if there is no request
 */
static bool receive(void *socket, frame_t frames[FRAME_COUNT], bool *valid)
{
	uint32_t count = 0;
	int more = 1;
	size_t more_size_bytes = sizeof(more);

	*valid = true;
	while (more) {
		frame_t spare;
		frame_t *frame = count < FRAME_COUNT ? &frames[count] : &spare;
		int size_bytes = zmq_recv(socket, frame->bytes,
					  sizeof(frame->bytes), ZMQ_DONTWAIT);

		if (size_bytes < 0)
			return false;
		if ((size_t)size_bytes > sizeof(frame->bytes))
			*valid = false;
		frame->size_bytes =
			MIN((size_t)size_bytes, sizeof(frame->bytes));
		count++;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &more_size_bytes);
	}
	*valid = *valid && count == FRAME_COUNT;
	return true;
}

static bool is_admitted(const peer_authenticator_t *authenticator,
			const frame_t *frames)
{
	return frame_is(&frames[FRAME_VERSION], ZAP_VERSION) &&
	       frame_is(&frames[FRAME_MECHANISM], "CURVE") &&
	       frames[FRAME_CREDENTIALS].size_bytes == KEY_SIZE_BYTES &&
	       !sodium_memcmp(frames[FRAME_CREDENTIALS].bytes,
			      authenticator->key, KEY_SIZE_BYTES);
}

static void reply(const peer_authenticator_t *authenticator,
		  const frame_t *request_id, bool admitted)
{
	const char *status = admitted ? "200" : "400";
	const char *text = admitted ? "OK" : "unknown key";

	zmq_send(authenticator->socket, ZAP_VERSION, strlen(ZAP_VERSION),
		 ZMQ_SNDMORE);
	zmq_send(authenticator->socket, request_id->bytes,
		 request_id->size_bytes, ZMQ_SNDMORE);
	zmq_send(authenticator->socket, status, strlen(status), ZMQ_SNDMORE);
	zmq_send(authenticator->socket, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(authenticator->socket, "", 0, ZMQ_SNDMORE);
	zmq_send(authenticator->socket, "", 0, 0);
}

static void handle_requests(void *context, socket_state_t state)
{
	peer_authenticator_t *authenticator = context;

	for (uint32_t i = 0; i < REQUESTS_PER_CALL; i++) {
		frame_t frames[FRAME_COUNT] = {0};
		bool valid;
		bool admitted;

		if (!receive(authenticator->socket, frames, &valid))
			return;
		admitted = valid && is_admitted(authenticator, frames);
		if (!admitted)
			log_event(LOG_LEVEL_WARNING, "peer_refused",
				  "address=%.*s",
				  (int)frames[FRAME_ADDRESS].size_bytes,
				  (const char *)frames[FRAME_ADDRESS].bytes);
		reply(authenticator, &frames[FRAME_REQUEST_ID], admitted);
	}
}

peer_authenticator_t *peer_authenticator_create(struct event_base *base,
						void *zmq_context,
						const char *public_key)
{
	peer_authenticator_t *authenticator;
	uint8_t key[KEY_SIZE_BYTES];

	if (strlen(public_key) != KEY_Z85_LENGTH ||
	    !zmq_z85_decode(key, public_key))
		return NULL;
	authenticator = g_new0(peer_authenticator_t, 1);
	memcpy(authenticator->key, key, sizeof(key));
	authenticator->socket = zmq_socket(zmq_context, ZMQ_REP);
	if (!authenticator->socket ||
	    zmq_bind(authenticator->socket, ZAP_ENDPOINT))
		g_error("cannot open the ZAP socket: %s",
			zmq_strerror(zmq_errno()));
	authenticator->watch = socket_watch_create(
		base, authenticator->socket, handle_requests, authenticator);
	return authenticator;
}

void peer_authenticator_destroy(peer_authenticator_t *authenticator)
{
	if (!authenticator)
		return;
	socket_watch_destroy(authenticator->watch);
	zmq_close(authenticator->socket);
	g_free(authenticator);
}

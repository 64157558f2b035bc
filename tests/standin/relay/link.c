#include "standin/relay/link.h"

#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "base/clock.h"

#define LISTEN_BACKLOG 512
/** Payload of a TCP segment with timestamps at an MTU of 1500 bytes. */
#define SEGMENT_SIZE_BYTES 1448u
/** Delay of a direction for each lost segment. */
#define RETRANSMIT_MS 200u
/** A direction is not read from while this much is in flight. */
#define IN_FLIGHT_SIZE_BYTES_MAX (8u * 1024 * 1024)
/** Interval at which a frozen or muted direction is tried again. */
#define FROZEN_POLL_MS 5u
/** Interval at which a reset checks for unsent output. */
#define FLUSH_POLL_US 200u

struct flow;

/** Bytes in flight, or the end of the stream behind them. */
typedef struct {
	uint64_t due_us;	/**< when the chunk is forwarded */
	struct evbuffer *bytes; /**< NULL for the end of the stream */
	bool reset;		/**< the stream ends with a reset */
} chunk_t;

/** One direction of a connection. */
typedef struct {
	struct flow *flow;
	struct bufferevent *from;
	struct bufferevent *to;
	struct event *timer;
	GQueue chunks;	      /**< of chunk_t, in order of their due_us */
	size_t size_bytes;    /**< bytes in the chunks */
	uint64_t last_due_us; /**< due_us of the newest chunk */
	bool ended;	      /**< the end of the stream was forwarded */
} direction_t;

/** One forwarded connection. */
typedef struct flow {
	link_t *link;
	direction_t directions[2]; /**< to the target, and back */
	bool connected;		   /**< the target has accepted */
} flow_t;

static void direction_pump(direction_t *direction);

/* The splitmix64 generator. */
static uint64_t next_random(uint64_t *state)
{
	uint64_t mixed = (*state += 0x9e3779b97f4a7c15u);

	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
	return mixed ^ (mixed >> 31);
}

/* @return a random number in [0, 1). */
static double next_fraction(uint64_t *state)
{
	return (double)(next_random(state) >> 11) / (double)(1ull << 53);
}

static void chunk_free(void *data)
{
	chunk_t *chunk = data;

	if (chunk->bytes)
		evbuffer_free(chunk->bytes);
	g_free(chunk);
}

/* Makes the close of a socket send a TCP reset. */
static void reset_socket(struct bufferevent *bev)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

static void flow_free(void *data)
{
	flow_t *flow = data;

	for (int i = 0; i < 2; i++) {
		direction_t *direction = &flow->directions[i];

		event_free(direction->timer);
		g_queue_clear_full(&direction->chunks, chunk_free);
	}
	bufferevent_free(flow->directions[0].from);
	bufferevent_free(flow->directions[1].from);
	g_free(flow);
}

static void flow_end(flow_t *flow)
{
	g_ptr_array_remove_fast(flow->link->flows, flow);
}

static void flow_reset(flow_t *flow)
{
	reset_socket(flow->directions[0].from);
	reset_socket(flow->directions[1].from);
	flow_end(flow);
}

static bool link_forwards(const link_t *link)
{
	return !link->settings.cut &&
	       clock_now_ms() >= link->settings.frozen_until_ms;
}

static bool direction_forwards(const direction_t *direction)
{
	const flow_t *flow = direction->flow;
	const bool from_target = direction == &flow->directions[1];

	return link_forwards(flow->link) &&
	       !(from_target && flow->link->settings.mute);
}

static void wait_us(struct event *timer, uint64_t delay_us)
{
	struct timeval wait = {.tv_sec = (time_t)(delay_us / 1000000),
			       .tv_usec = (suseconds_t)(delay_us % 1000000)};

	event_add(timer, &wait);
}

/* @return when bytes read now are due, never before the chunks ahead */
static uint64_t arrival_us(direction_t *direction, size_t size_bytes)
{
	link_t *link = direction->flow->link;
	const link_settings_t *settings = &link->settings;
	size_t segments = size_bytes / SEGMENT_SIZE_BYTES + 1;
	uint64_t due_us = clock_now_us() + settings->delay_ms * 1000u;

	if (settings->jitter_ms)
		due_us += next_random(link->random_state) %
			  (settings->jitter_ms * 1000u);
	for (size_t i = 0; settings->loss_percent > 0 && i < segments; i++) {
		if (next_fraction(link->random_state) * 100 >=
		    settings->loss_percent)
			continue;
		link->counts.segments_lost++;
		due_us += RETRANSMIT_MS * 1000u;
	}
	direction->last_due_us = MAX(direction->last_due_us, due_us);
	return direction->last_due_us;
}

static void direction_send(direction_t *direction, struct evbuffer *bytes,
			   bool reset)
{
	chunk_t *chunk = g_new0(chunk_t, 1);
	size_t size_bytes = bytes ? evbuffer_get_length(bytes) : 0;

	chunk->bytes = bytes;
	chunk->reset = reset;
	chunk->due_us = arrival_us(direction, size_bytes);
	direction->size_bytes += size_bytes;
	direction->flow->link->counts.bytes += size_bytes;
	g_queue_push_tail(&direction->chunks, chunk);
	if (direction->size_bytes > IN_FLIGHT_SIZE_BYTES_MAX)
		bufferevent_disable(direction->from, EV_READ);
	direction_pump(direction);
}

/* Forwards the end of a stream. @return false if the flow was freed */
static bool direction_finish(direction_t *direction, bool reset)
{
	flow_t *flow = direction->flow;

	if (reset) {
		flow_reset(flow);
		return false;
	}
	direction->ended = true;
	if (flow->directions[0].ended && flow->directions[1].ended) {
		flow_end(flow);
		return false;
	}
	if (!evbuffer_get_length(bufferevent_get_output(direction->to)))
		shutdown(bufferevent_getfd(direction->to), SHUT_WR);
	return true;
}

static void direction_pump(direction_t *direction)
{
	chunk_t *chunk;

	if (!direction->flow->connected)
		return;
	if (!direction_forwards(direction)) {
		if (!direction->flow->link->settings.cut)
			wait_us(direction->timer, FROZEN_POLL_MS * 1000u);
		return;
	}
	while ((chunk = g_queue_peek_head(&direction->chunks))) {
		uint64_t now_us = clock_now_us();

		if (chunk->due_us > now_us) {
			wait_us(direction->timer, chunk->due_us - now_us);
			return;
		}
		/* A reset discards unsent output: wait until all is sent. */
		if (chunk->reset && evbuffer_get_length(bufferevent_get_output(
					    direction->to))) {
			wait_us(direction->timer, FLUSH_POLL_US);
			return;
		}
		g_queue_pop_head(&direction->chunks);
		if (!chunk->bytes) {
			const bool reset = chunk->reset;

			chunk_free(chunk);
			if (!direction_finish(direction, reset))
				return;
			continue;
		}
		direction->size_bytes -= evbuffer_get_length(chunk->bytes);
		bufferevent_write_buffer(direction->to, chunk->bytes);
		chunk_free(chunk);
		if (direction->size_bytes <= IN_FLIGHT_SIZE_BYTES_MAX)
			bufferevent_enable(direction->from, EV_READ);
	}
}

static void on_due(evutil_socket_t fd, short what, void *context)
{
	direction_pump(context);
}

static void on_read(struct bufferevent *bev, void *context)
{
	direction_t *direction = context;
	struct evbuffer *bytes = evbuffer_new();

	evbuffer_add_buffer(bytes, bufferevent_get_input(bev));
	direction_send(direction, bytes, false);
}

static void on_written(struct bufferevent *bev, void *context)
{
	const direction_t *reading = context;
	const flow_t *flow = reading->flow;
	const direction_t *writing =
		&flow->directions[reading == &flow->directions[0] ? 1 : 0];

	if (writing->ended)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	direction_t *direction = context;
	flow_t *flow = direction->flow;

	if (what & BEV_EVENT_CONNECTED) {
		flow->connected = true;
		direction_pump(&flow->directions[0]);
		return;
	}
	if (what & BEV_EVENT_ERROR && !flow->connected)
		flow_reset(flow);
	else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		direction_send(direction, NULL, what & BEV_EVENT_ERROR);
}

static void direction_open(flow_t *flow, int index, struct bufferevent *from,
			   struct bufferevent *to)
{
	direction_t *direction = &flow->directions[index];

	direction->flow = flow;
	direction->from = from;
	direction->to = to;
	direction->timer =
		event_new(flow->link->base, -1, 0, on_due, direction);
	g_queue_init(&direction->chunks);
	bufferevent_setcb(from, on_read, on_written, on_event, direction);
}

static void flow_connect(flow_t *flow)
{
	link_t *link = flow->link;
	g_autofree char *text = g_strdup_printf("%s:%u", link->target.address,
						link->target.port);
	struct sockaddr_storage address;
	int size = sizeof(address);

	evutil_parse_sockaddr_port(text, (struct sockaddr *)&address, &size);
	bufferevent_enable(flow->directions[0].from, EV_READ | EV_WRITE);
	bufferevent_enable(flow->directions[1].from, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(flow->directions[1].from,
				       (struct sockaddr *)&address, size))
		flow_reset(flow);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	link_t *link = context;
	flow_t *flow = g_new0(flow_t, 1);
	struct bufferevent *inbound =
		bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	struct bufferevent *outbound =
		bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);

	flow->link = link;
	direction_open(flow, 0, inbound, outbound);
	direction_open(flow, 1, outbound, inbound);
	/* The handshake's round trip and one way delay the first bytes. */
	flow->directions[0].last_due_us =
		clock_now_us() + 3000u * link->settings.delay_ms;
	link->counts.flows++;
	g_ptr_array_add(link->flows, flow);
	if (!link->settings.cut)
		flow_connect(flow);
}

link_t *link_create(struct event_base *base, const char *tag,
		    const endpoint_t *listen, const endpoint_t *target,
		    uint64_t *random_state)
{
	link_t *link = g_new0(link_t, 1);
	g_autofree char *text =
		g_strdup_printf("%s:%u", listen->address, listen->port);
	struct sockaddr_storage address;
	int size = sizeof(address);

	link->base = base;
	link->tag = g_strdup(tag);
	link->target = *target;
	link->random_state = random_state;
	link->flows = g_ptr_array_new_with_free_func(flow_free);
	if (!evutil_parse_sockaddr_port(text, (struct sockaddr *)&address,
					&size) &&
	    evconnlistener_new_bind(base, on_accept, link,
				    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE,
				    LISTEN_BACKLOG, (struct sockaddr *)&address,
				    size))
		return link;
	g_ptr_array_unref(link->flows);
	g_free(link->tag);
	g_free(link);
	return NULL;
}

static void flow_set_paused(flow_t *flow, bool paused)
{
	if (!paused && bufferevent_getfd(flow->directions[1].from) < 0) {
		flow_connect(flow);
		return;
	}
	for (int i = 0; i < 2; i++) {
		direction_t *direction = &flow->directions[i];

		if (paused) {
			bufferevent_disable(direction->from, EV_READ);
			continue;
		}
		bufferevent_enable(direction->from, EV_READ);
		wait_us(direction->timer, 0);
	}
}

void link_set(link_t *link, const link_settings_t *settings, bool keep_flows)
{
	bool restored = link->settings.cut && !settings->cut;

	link->settings = *settings;
	if (restored && !keep_flows) {
		while (link->flows->len)
			flow_reset(link->flows->pdata[0]);
		return;
	}
	for (guint i = 0; i < link->flows->len; i++)
		flow_set_paused(link->flows->pdata[i], settings->cut);
}

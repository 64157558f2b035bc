#include "standin/backend/stream.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "base/clock.h"
#include "base/log.h"
#include "standin/backend/wire.h"

#define HEARTBEAT_MS 100u
#define RECONNECT_MS 50u
/** Shipping pauses while this much output is unsent. */
#define SHIP_BUFFER_SIZE_BYTES (1024u * 1024)
/** PostgreSQL protocol 3.0. */
#define PROTOCOL_VERSION 196608u

struct follower {
	server_t *server;
	struct bufferevent *bev;
	struct event *ship_timer;
	struct event *heartbeat_timer;
	uint64_t term; /**< of the primary when the replica connected */
	uint64_t next; /**< position of the next record to ship */
};

struct upstream {
	server_t *server;
	char *address;
	uint16_t port;
	uint64_t term;
	struct bufferevent *bev; /**< NULL between connection attempts */
	struct event *timer;	 /**< next connection attempt */
	bool synchronized;	 /**< the first line was applied */
};

static struct timeval milliseconds(uint64_t ms)
{
	return (struct timeval){.tv_sec = (time_t)(ms / 1000),
				.tv_usec = (suseconds_t)(ms % 1000 * 1000)};
}

static void follower_free(void *data)
{
	follower_t *follower = data;

	event_free(follower->ship_timer);
	event_free(follower->heartbeat_timer);
	bufferevent_free(follower->bev);
	g_free(follower);
}

static void follower_send(follower_t *follower, json_t *line)
{
	g_autofree char *text = json_dumps(line, JSON_COMPACT);

	bufferevent_write(follower->bev, text, strlen(text));
	bufferevent_write(follower->bev, "\n", 1);
	json_decref(line);
}

/*
 * @return whether the server is no longer the primary of the stream's term. The
 *         position agreed with the replica holds in that term only.
 */
static bool follower_is_stale(const follower_t *follower)
{
	const engine_t *engine = &follower->server->engine;

	return !engine->primary || engine->term != follower->term;
}

static void follower_ship(follower_t *follower)
{
	struct evbuffer *output = bufferevent_get_output(follower->bev);
	const server_t *server = follower->server;
	uint64_t now_ms = clock_now_ms();
	const record_t *record;

	while (!follower_is_stale(follower) &&
	       evbuffer_get_length(output) < SHIP_BUFFER_SIZE_BYTES &&
	       (record = journal_at(&server->engine.journal, follower->next))) {
		uint64_t due_ms = record->arrived_ms + server->ship_delay_ms;

		if (due_ms > now_ms) {
			struct timeval wait = milliseconds(due_ms - now_ms);

			event_add(follower->ship_timer, &wait);
			return;
		}
		follower_send(follower, record_to_json(record));
		follower->next++;
	}
}

static void on_ship_due(evutil_socket_t fd, short what, void *context)
{
	follower_ship(context);
}

static void on_written(struct bufferevent *bev, void *context)
{
	follower_ship(context);
}

static void on_heartbeat(evutil_socket_t fd, short what, void *context)
{
	follower_t *follower = context;

	if (follower_is_stale(follower)) {
		g_ptr_array_remove_fast(follower->server->followers, follower);
		return;
	}
	follower_send(follower,
		      json_pack("{s:I}", "term", (json_int_t)follower->term));
	follower_ship(follower);
}

static void on_follower_event(struct bufferevent *bev, short what,
			      void *context)
{
	follower_t *follower = context;

	g_ptr_array_remove_fast(follower->server->followers, follower);
}

void follower_start(server_t *server, struct bufferevent *bev,
		    const char *term_ends)
{
	follower_t *follower = g_new0(follower_t, 1);
	json_t *replica_term_ends = json_loads(term_ends, 0, NULL);
	uint64_t common = journal_common_position(&server->engine.journal,
						  replica_term_ends);
	struct timeval interval = milliseconds(HEARTBEAT_MS);

	json_decref(replica_term_ends);
	if (!server->followers->pdata)
		g_ptr_array_set_free_func(server->followers, follower_free);
	follower->server = server;
	follower->bev = bev;
	follower->term = server->engine.term;
	follower->next = common + 1;
	follower->ship_timer =
		event_new(server->base, -1, 0, on_ship_due, follower);
	follower->heartbeat_timer =
		event_new(server->base, -1, EV_PERSIST, on_heartbeat, follower);
	event_add(follower->heartbeat_timer, &interval);
	bufferevent_setcb(bev, NULL, on_written, on_follower_event, follower);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	g_ptr_array_add(server->followers, follower);
	follower_send(follower,
		      json_pack("{s:I,s:I}", "term", (json_int_t)follower->term,
				"from", (json_int_t)common));
	follower_ship(follower);
}

void follower_ship_all(server_t *server)
{
	for (guint i = 0; i < server->followers->len; i++)
		follower_ship(server->followers->pdata[i]);
}

void follower_stop_all(server_t *server)
{
	g_ptr_array_set_free_func(server->followers, follower_free);
	g_ptr_array_set_size(server->followers, 0);
}

static void upstream_retry(struct upstream *upstream)
{
	struct timeval wait = milliseconds(RECONNECT_MS);

	if (upstream->bev)
		bufferevent_free(upstream->bev);
	upstream->bev = NULL;
	upstream->synchronized = false;
	event_add(upstream->timer, &wait);
}

/* Applies one line. @return false if the connection must be reopened */
static bool upstream_apply_line(struct upstream *upstream, const char *line)
{
	server_t *server = upstream->server;
	json_t *node = json_loads(line, 0, NULL);
	const json_t *from = json_object_get(node, "from");
	const json_t *term = json_object_get(node, "term");
	record_t *record;
	bool applied =
		node && engine_accepts_records(&server->engine, upstream->term);

	if (applied && term)
		applied = (uint64_t)json_integer_value(term) == upstream->term;
	if (applied && from) {
		engine_truncate(&server->engine,
				(uint64_t)json_integer_value(from));
		upstream->synchronized = true;
	} else if (applied && !term) {
		record = record_from_json(node, clock_now_ms());
		applied = record && upstream->synchronized;
		if (applied)
			engine_receive(&server->engine, record);
	}
	json_decref(node);
	if (applied)
		server->engine.upstream_contact_ms = clock_now_ms();
	return applied;
}

static void on_upstream_read(struct bufferevent *bev, void *context)
{
	struct upstream *upstream = context;
	struct evbuffer *input = bufferevent_get_input(bev);
	char *line;

	while ((line = evbuffer_readln(input, NULL, EVBUFFER_EOL_LF))) {
		bool applied = upstream_apply_line(upstream, line);

		free(line);
		if (!applied) {
			upstream_retry(upstream);
			break;
		}
	}
	server_replay(upstream->server);
}

static void send_startup(struct upstream *upstream)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	json_t *term_ends =
		journal_term_ends(&upstream->server->engine.journal);
	g_autofree char *text = json_dumps(term_ends, JSON_COMPACT);
	uint32_t length;

	wire_int32(out, 0);
	wire_int32(out, PROTOCOL_VERSION);
	wire_string(out, "replication");
	wire_string(out, text);
	wire_byte(out, 0);
	length = GUINT32_TO_BE(out->len);
	memcpy(out->data, &length, sizeof(length));
	bufferevent_write(upstream->bev, out->data, out->len);
	json_decref(term_ends);
}

static void on_upstream_event(struct bufferevent *bev, short what,
			      void *context)
{
	if (what & BEV_EVENT_CONNECTED)
		send_startup(context);
	else
		upstream_retry(context);
}

static void on_connect_due(evutil_socket_t fd, short what, void *context)
{
	struct upstream *upstream = context;
	server_t *server = upstream->server;
	const char *address = upstream->address;
	uint16_t port = upstream->port;
	struct sockaddr_storage target;
	int size = sizeof(target);
	g_autofree char *text = NULL;

	if (!engine_accepts_records(&server->engine, upstream->term)) {
		upstream_retry(upstream);
		return;
	}
	for (guint i = 0; i < server->routes->len; i++) {
		const server_route_t *route = server->routes->pdata[i];

		if (route->port == port && !strcmp(route->address, address)) {
			address = route->via_address;
			port = route->via_port;
			break;
		}
	}
	text = g_strdup_printf("%s:%u", address, port);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&target, &size))
		return;
	upstream->bev =
		bufferevent_socket_new(server->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(upstream->bev, on_upstream_read, NULL,
			  on_upstream_event, upstream);
	bufferevent_enable(upstream->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(upstream->bev,
				       (struct sockaddr *)&target, size))
		upstream_retry(upstream);
}

void upstream_start(server_t *server, const char *address, uint16_t port)
{
	struct upstream *upstream = server->upstream;
	struct timeval now = {0, 0};

	if (upstream && upstream->term == server->engine.term &&
	    upstream->port == port && !strcmp(upstream->address, address))
		return;
	upstream_stop(server);
	upstream = g_new0(struct upstream, 1);
	upstream->server = server;
	upstream->address = g_strdup(address);
	upstream->port = port;
	upstream->term = server->engine.term;
	upstream->timer =
		event_new(server->base, -1, 0, on_connect_due, upstream);
	event_add(upstream->timer, &now);
	server->upstream = upstream;
	log_event(LOG_LEVEL_NOTICE, "follow_started",
		  "primary=%s:%u term=%" G_GUINT64_FORMAT, address, port,
		  upstream->term);
}

void upstream_stop(server_t *server)
{
	struct upstream *upstream = server->upstream;

	if (!upstream)
		return;
	if (upstream->bev)
		bufferevent_free(upstream->bev);
	event_free(upstream->timer);
	g_free(upstream->address);
	g_free(upstream);
	server->upstream = NULL;
}

void upstream_cut(server_t *server)
{
	if (server->upstream)
		upstream_retry(server->upstream);
}

#include "transport/server_connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "transport/server_cancel.h"

#define SQLSTATE_SIZE 6
#define READ_SIZE_BYTES (256u * 1024) /* size limit of one read */
#define AUTHENTICATION_OK 0

struct server_connection {
	struct bufferevent *bev;
	struct event *timer;
	server_connection_handlers_t handlers;
	bool ready;	 /* the login has succeeded */
	bool *destroyed; /* flag of on_read(), NULL outside of it */
	char sqlstate[SQLSTATE_SIZE]; /* SQLSTATE for closed(), or "" */
	struct event_base *base;
	struct sockaddr_in address;
	uint32_t process_id; /* from BackendKeyData; 0 until then */
	uint32_t secret;
};

static void notify_closed(server_connection_t *connection)
{
	bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
	connection->handlers.closed(connection->handlers.context,
				    connection->sqlstate);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	notify_closed(context);
}

static bool is_fatal(const pg_message_t *message)
{
	const char *severity = pg_error_field(message, 'V');

	if (!severity)
		severity = pg_error_field(message, 'S');
	return severity && strcmp(severity, "ERROR") != 0;
}

static void save_sqlstate(server_connection_t *connection,
			  const pg_message_t *message)
{
	const char *sqlstate = pg_error_field(message, 'C');

	if (sqlstate)
		g_strlcpy(connection->sqlstate, sqlstate, SQLSTATE_SIZE);
}

/* Handles a message before the login has ended. @return false if it failed */
static bool handle_login(server_connection_t *connection,
			 const pg_message_t *message)
{
	pg_reader_t reader = pg_reader(message);

	if (message->type == 'E') {
		save_sqlstate(connection, message);
		return false;
	}
	/* Backend servers trust the proxy's address and need no password. */
	if (message->type == 'R' && pg_read_u32(&reader) != AUTHENTICATION_OK)
		return false;
	if (message->type == 'K') {
		connection->process_id = pg_read_u32(&reader);
		connection->secret = pg_read_u32(&reader);
	}
	if (message->type == 'Z') {
		connection->ready = true;
		event_del(connection->timer);
		connection->handlers.ready(connection->handlers.context);
	}
	return true;
}

/* @return false if no further message may be read */
static bool handle_message(server_connection_t *connection,
			   const pg_message_t *message)
{
	if (!connection->ready) {
		if (handle_login(connection, message))
			return true;
		notify_closed(connection);
		return false;
	}
	if (message->type == 'S')
		return true;
	/* The server closes the connection after a FATAL error. */
	if (message->type == 'E' && is_fatal(message)) {
		save_sqlstate(connection, message);
		notify_closed(connection);
		return false;
	}
	connection->handlers.message(connection->handlers.context, message);
	return true;
}

/* Processes one complete message. @return false if reading must stop */
static bool process_one(server_connection_t *connection, const bool *destroyed)
{
	struct evbuffer *input = bufferevent_get_input(connection->bev);
	uint8_t header[PG_HEADER_SIZE_BYTES];
	const ev_ssize_t copied =
		evbuffer_copyout(input, header, sizeof(header));
	pg_message_t message = {0};
	const uint8_t *bytes = NULL;

	if (copied < PG_HEADER_SIZE_BYTES)
		return false;
	if (pg_frame_next(header, sizeof(header),
			  SERVER_CONNECTION_MESSAGE_SIZE_BYTES_MAX,
			  &message) == PG_FRAME_INVALID) {
		notify_closed(connection);
		return false;
	}
	if (evbuffer_get_length(input) < message.size_bytes)
		return false;
	bytes = evbuffer_pullup(input, (ev_ssize_t)message.size_bytes);
	message.body = bytes + PG_HEADER_SIZE_BYTES;
	if (!handle_message(connection, &message) || *destroyed)
		return false;
	evbuffer_drain(input, message.size_bytes);
	return true;
}

static void on_read(struct bufferevent *bev, void *context)
{
	server_connection_t *connection = context;
	bool destroyed = false;

	connection->destroyed = &destroyed;
	while (process_one(connection, &destroyed))
		;
	if (destroyed)
		return;
	connection->destroyed = NULL;
	connection->handlers.paused(connection->handlers.context);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		notify_closed(context);
}

static void send_startup(server_connection_t *connection,
			 const server_connection_target_t *target)
{
	const char *const parameters[] = {
		"user",
		target->user,
		"database",
		target->database,
		"application_name",
		"toucanhook",
		"client_encoding",
		"UTF8",
		"DateStyle",
		"ISO, MDY",
		"TimeZone",
		"UTC",
		"extra_float_digits",
		"1",
	};
	g_autoptr(GByteArray) out = g_byte_array_new();
	uint32_t length = 0;
	size_t i;

	pg_write_u32(out, 0);
	pg_write_u32(out, PG_CODE_VERSION_3);
	for (i = 0; i < G_N_ELEMENTS(parameters); i++)
		pg_write_string(out, parameters[i]);
	pg_write_u8(out, 0);
	length = GUINT32_TO_BE(out->len);
	memcpy(out->data, &length, sizeof(length));
	bufferevent_write(connection->bev, out->data, out->len);
}

static void set_no_delay(server_connection_t *connection)
{
	const int on = 1;

	setsockopt(bufferevent_getfd(connection->bev), IPPROTO_TCP, TCP_NODELAY,
		   &on, sizeof(on));
}

server_connection_t *
server_connection_create(struct event_base *base,
			 const server_connection_target_t *target,
			 server_connection_handlers_t handlers)
{
	server_connection_t *connection = g_new0(server_connection_t, 1);
	const struct timeval timeout = {
		.tv_sec = SERVER_CONNECTION_OPEN_TIMEOUT_MS / 1000,
	};
	const struct timeval now = {0};

	connection->base = base;
	connection->address.sin_family = AF_INET;
	connection->address.sin_port = htons(target->port);
	connection->handlers = handlers;
	connection->timer = evtimer_new(base, on_timer, connection);
	connection->bev = bufferevent_socket_new(
		base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(connection->bev, on_read, NULL, on_event, connection);
	bufferevent_set_max_single_read(connection->bev, READ_SIZE_BYTES);
	bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
	send_startup(connection, target);
	if (inet_pton(AF_INET, target->address,
		      &connection->address.sin_addr) != 1 ||
	    bufferevent_socket_connect(connection->bev,
				       (struct sockaddr *)&connection->address,
				       sizeof(connection->address)) < 0) {
		event_add(connection->timer, &now);
		return connection;
	}
	set_no_delay(connection);
	event_add(connection->timer, &timeout);
	return connection;
}

void server_connection_destroy(server_connection_t *connection)
{
	if (!connection)
		return;
	if (connection->destroyed)
		*connection->destroyed = true;
	event_free(connection->timer);
	bufferevent_free(connection->bev);
	g_free(connection);
}

void server_connection_send(server_connection_t *connection,
			    const uint8_t *bytes, size_t size_bytes)
{
	bufferevent_write(connection->bev, bytes, size_bytes);
}

void server_connection_cancel(const server_connection_t *connection)
{
	if (connection->process_id)
		server_cancel(connection->base, &connection->address,
			      connection->process_id, connection->secret);
}

#ifndef TRANSPORT_SERVER_CONNECTION_H
#define TRANSPORT_SERVER_CONNECTION_H

#include <event2/event.h>
#include <glib.h>

#include "protocol/pg_frame.h"

/** Size limit of a message from a backend server, in bytes. */
#define SERVER_CONNECTION_MESSAGE_SIZE_BYTES_MAX (64u * 1024 * 1024)

/** Maximum time from connect to the first ReadyForQuery. */
#define SERVER_CONNECTION_OPEN_TIMEOUT_MS 2000

/** Connection to a backend server; delivers messages as they arrive. */
typedef struct server_connection server_connection_t;

/** Callbacks of a connection; each may destroy the connection. */
typedef struct {
	/** The login has succeeded; statements may be sent. */
	void (*ready)(void *context);
	/** Delivers a message of the server; valid during the call. */
	void (*message)(void *context, const pg_message_t *message);
	/** All messages received so far have been delivered. */
	void (*paused)(void *context);
	/**
	 * The connection failed or was refused, and must be destroyed.
	 *
	 * @param sqlstate SQLSTATE of the server's FATAL error, or ""
	 */
	void (*closed)(void *context, const char *sqlstate);
	void *context;
} server_connection_handlers_t;

/** Address of the server, user and database. */
typedef struct {
	const char *address; /**< IPv4 address */
	uint16_t port;
	const char *user;
	const char *database;
} server_connection_target_t;

/** Starts to connect; an immediate failure is reported by closed() later. */
server_connection_t *
server_connection_create(struct event_base *base,
			 const server_connection_target_t *target,
			 server_connection_handlers_t handlers);

/** Closes the connection; no handler is called any more. */
void server_connection_destroy(server_connection_t *connection);

/**
 * Requests over a separate connection that the server cancel the running
 * statement. The result is not reported; the caller closes the connection
 * next.
 */
void server_connection_cancel(const server_connection_t *connection);

/** Queues bytes to send to the server; copies @p bytes. */
void server_connection_send(server_connection_t *connection,
			    const uint8_t *bytes, size_t size_bytes);

#endif

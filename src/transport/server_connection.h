#ifndef TRANSPORT_SERVER_CONNECTION_H
#define TRANSPORT_SERVER_CONNECTION_H

#include <event2/event.h>
#include <glib.h>

#include "protocol/pg_frame.h"

/** Largest message of a backend server. */
#define SERVER_CONNECTION_MESSAGE_SIZE_BYTES_MAX (64u * 1024 * 1024)

/** Longest time from connect to the first ReadyForQuery. */
#define SERVER_CONNECTION_OPEN_TIMEOUT_MS 2000

/** One connection to a backend server; relays messages as they come. */
typedef struct server_connection server_connection_t;

/** What its owner is told. Each may destroy the connection. */
typedef struct {
	/** The login is over; statements may be sent. */
	void (*ready)(void *context);
	/** A message of an answer; valid during the call. */
	void (*message)(void *context, const pg_message_t *message);
	/** What was received has been handed over for now. */
	void (*paused)(void *context);
	/**
	 * The connection broke or was refused; it must be destroyed.
	 *
	 * @param sqlstate of the server's last FATAL error, or ""
	 */
	void (*closed)(void *context, const char *sqlstate);
	void *context;
} server_connection_handlers_t;

/** Where to connect and as whom. */
typedef struct {
	const char *address; /**< IP number */
	uint16_t port;
	const char *user;
	const char *database;
} server_connection_target_t;

/** Starts to connect; even a failure is told later. */
server_connection_t *
server_connection_create(struct event_base *base,
			 const server_connection_target_t *target,
			 server_connection_handlers_t handlers);

/** Closes at once; no handler is called any more. */
void server_connection_destroy(server_connection_t *connection);

/**
 * Asks the server to stop what runs on the connection, by a short connection
 * of its own. Nothing is heard of it; the connection is closed next.
 */
void server_connection_cancel(const server_connection_t *connection);

void server_connection_send(server_connection_t *connection,
			    const uint8_t *bytes, size_t size_bytes);

#endif

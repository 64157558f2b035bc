#ifndef TRANSPORT_SERVER_CANCEL_H
#define TRANSPORT_SERVER_CANCEL_H

#include <netinet/in.h>
#include <stdint.h>

#include <event2/event.h>

/** Lifetime limit of the connection that carries a CancelRequest. */
#define SERVER_CANCEL_TIMEOUT_MS 2000

/**
 * Sends a CancelRequest to a backend server on a new connection. The
 * connection is freed when the server closes it, on a failure or after
 * SERVER_CANCEL_TIMEOUT_MS.
 *
 * @param process_id process from the server's BackendKeyData
 * @param secret     secret key from the server's BackendKeyData
 */
void server_cancel(struct event_base *base, const struct sockaddr_in *address,
		   uint32_t process_id, uint32_t secret);

#endif

#ifndef TRANSPORT_SOCKET_WATCH_H
#define TRANSPORT_SOCKET_WATCH_H

#include <stdbool.h>

#include <event2/event.h>

/**
 * Joins a ZeroMQ socket to a libevent base. The descriptor of such a socket
 * only tells that its state may have changed, so the state is read again
 * after each call and whoever wants more is called again from the loop.
 */
typedef struct socket_watch socket_watch_t;

/** What a socket can do at the moment. */
typedef struct {
	bool readable;
	bool writable;
} socket_state_t;

/** Uses the socket, for a bounded number of messages in one call. */
typedef void (*socket_watch_ready_t)(void *context, socket_state_t state);

/** @param socket stays the caller's; to be closed after the watch */
socket_watch_t *socket_watch_create(struct event_base *base, void *socket,
				    socket_watch_ready_t ready, void *context);

/** Frees the watch; NULL is allowed. */
void socket_watch_destroy(socket_watch_t *watch);

/** Sets whether to be called while the socket is writable. */
void socket_watch_want_write(socket_watch_t *watch, bool wanted);

/** Looks at the socket from the loop; needed after each use of the socket. */
void socket_watch_kick(socket_watch_t *watch);

#endif

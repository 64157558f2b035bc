#ifndef TRANSPORT_SOCKET_WATCH_H
#define TRANSPORT_SOCKET_WATCH_H

#include <stdbool.h>

#include <event2/event.h>

/**
 * Connects a ZeroMQ socket to a libevent base. The descriptor of a ZeroMQ
 * socket only signals that the socket's state may have changed. The watch
 * therefore reads the state after each callback and, while the socket is
 * ready, schedules another callback from the loop.
 */
typedef struct socket_watch socket_watch_t;

/** Current state of a socket. */
typedef struct {
	bool readable;
	bool writable;
} socket_state_t;

/** Called while the socket is ready; handles a limited number of messages. */
typedef void (*socket_watch_ready_t)(void *context, socket_state_t state);

/**
 * Creates a watch.
 *
 * @param socket ZeroMQ socket of the caller, to be closed after the watch is
 *        destroyed
 */
socket_watch_t *socket_watch_create(struct event_base *base, void *socket,
				    socket_watch_ready_t ready, void *context);

/** Frees the watch; NULL is allowed. */
void socket_watch_destroy(socket_watch_t *watch);

/** Sets whether the callback is called while the socket is writable. */
void socket_watch_want_write(socket_watch_t *watch, bool wanted);

/**
 * Schedules a check of the socket's state from the loop. Required after each
 * use of the socket outside of the callback.
 */
void socket_watch_schedule(socket_watch_t *watch);

#endif

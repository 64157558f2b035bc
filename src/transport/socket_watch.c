#include "transport/socket_watch.h"

#include <glib.h>
#include <zmq.h>

struct socket_watch {
	void *socket;
	struct event *event;
	socket_watch_ready_t ready;
	void *context;
	bool wants_write;
};

static socket_state_t read_state(const socket_watch_t *watch)
{
	int events = 0;
	size_t size_bytes = sizeof(events);

	if (zmq_getsockopt(watch->socket, ZMQ_EVENTS, &events, &size_bytes))
		return (socket_state_t){0};
	return (socket_state_t){
		.readable = events & ZMQ_POLLIN,
		.writable = watch->wants_write && (events & ZMQ_POLLOUT),
	};
}

static void check_socket(evutil_socket_t fd, short what, void *context)
{
	socket_watch_t *watch = context;
	socket_state_t state = read_state(watch);

	if (!state.readable && !state.writable)
		return;
	watch->ready(watch->context, state);
	state = read_state(watch);
	if (state.readable || state.writable)
		socket_watch_schedule(watch);
}

socket_watch_t *socket_watch_create(struct event_base *base, void *socket,
				    socket_watch_ready_t ready, void *context)
{
	socket_watch_t *watch = g_new0(socket_watch_t, 1);
	evutil_socket_t fd = -1;
	size_t size_bytes = sizeof(fd);

	watch->socket = socket;
	watch->ready = ready;
	watch->context = context;
	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size_bytes))
		g_error("cannot get the descriptor of a socket: %s",
			zmq_strerror(zmq_errno()));
	watch->event =
		event_new(base, fd, EV_READ | EV_PERSIST, check_socket, watch);
	if (!watch->event || event_add(watch->event, NULL))
		g_error("cannot create the event of a socket");
	socket_watch_schedule(watch);
	return watch;
}

void socket_watch_destroy(socket_watch_t *watch)
{
	if (!watch)
		return;
	event_free(watch->event);
	g_free(watch);
}

void socket_watch_want_write(socket_watch_t *watch, bool wanted)
{
	watch->wants_write = wanted;
}

void socket_watch_schedule(socket_watch_t *watch)
{
	event_active(watch->event, EV_READ, 0);
}

#include "transport/port_probe.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <glib.h>

#include "base/clock.h"

typedef struct {
	struct bufferevent *bev;
	port_probe_done_t done;
	void *context;
} probe_t;

static void on_event(struct bufferevent *bev, short what, void *context)
{
	probe_t *probe = context;
	const port_probe_done_t done = probe->done;
	void *const done_context = probe->context;

	bufferevent_free(probe->bev);
	g_free(probe);
	done(done_context, what & BEV_EVENT_CONNECTED);
}

void port_probe_start(struct event_base *base, const endpoint_t *endpoint,
		      uint32_t timeout_ms, port_probe_done_t done,
		      void *context)
{
	probe_t *probe = g_new0(probe_t, 1);
	const struct timeval timeout = clock_timeval(timeout_ms);
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(endpoint->port)};

	inet_pton(AF_INET, endpoint->address, &address.sin_addr);
	probe->done = done;
	probe->context = context;
	probe->bev = bufferevent_socket_new(
		base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(probe->bev, NULL, NULL, on_event, probe);
	bufferevent_set_timeouts(probe->bev, &timeout, &timeout);
	bufferevent_enable(probe->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(probe->bev, (struct sockaddr *)&address,
				   sizeof(address));
}

#include "transport/server_cancel.h"

#include <event2/bufferevent.h>

#include "base/clock.h"
#include "protocol/pg_frame.h"

#define CANCEL_SIZE_BYTES 16 /* size of a CancelRequest */

/*
 * Frees the connection. The server closes it after it has read the request, so
 * success cannot be distinguished from a failure.
 */
static void on_event(struct bufferevent *bev, short what, void *context)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		bufferevent_free(bev);
}

void server_cancel(struct event_base *base, const struct sockaddr_in *address,
		   uint32_t process_id, uint32_t secret)
{
	const struct timeval timeout = clock_timeval(SERVER_CANCEL_TIMEOUT_MS);
	struct bufferevent *bev =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_autoptr(GByteArray) out = g_byte_array_new();

	pg_write_u32(out, CANCEL_SIZE_BYTES);
	pg_write_u32(out, PG_CODE_CANCEL);
	pg_write_u32(out, process_id);
	pg_write_u32(out, secret);
	bufferevent_setcb(bev, NULL, NULL, on_event, NULL);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_write(bev, out->data, out->len);
	if (bufferevent_socket_connect(bev, (const struct sockaddr *)address,
				       sizeof(*address)) < 0)
		bufferevent_free(bev);
}

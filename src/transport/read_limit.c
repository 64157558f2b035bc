#include "transport/read_limit.h"

#include <stdbool.h>

#include <event2/buffer.h>
#include <event2/event.h>

void read_limit_apply(struct bufferevent *bev, size_t limit_bytes)
{
	const bool reads = bufferevent_get_enabled(bev) & EV_READ;
	const bool full =
		evbuffer_get_length(bufferevent_get_input(bev)) >= limit_bytes;

	if (reads && full)
		bufferevent_disable(bev, EV_READ);
	else if (!reads && !full)
		bufferevent_enable(bev, EV_READ);
}

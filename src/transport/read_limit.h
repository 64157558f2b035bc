#ifndef TRANSPORT_READ_LIMIT_H
#define TRANSPORT_READ_LIMIT_H

#include <stddef.h>

#include <event2/bufferevent.h>

/**
 * Stops reading from a connection while its input holds @p limit_bytes or more,
 * and goes on below that. To be called after each read, and after input was
 * taken out at another moment. One read more may exceed the limit.
 *
 * A high watermark is no substitute: libevent calls the read callback again and
 * again, without a pause, for as long as the input stays above it.
 */
void read_limit_apply(struct bufferevent *bev, size_t limit_bytes);

#endif

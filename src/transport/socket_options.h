#ifndef TRANSPORT_SOCKET_OPTIONS_H
#define TRANSPORT_SOCKET_OPTIONS_H

#include <event2/util.h>

/**
 * Sends small messages at once, and has the kernel end a TCP connection
 * whose other end has been silent for about @p silence_s seconds. A failure
 * is logged; the connection then works without.
 */
void socket_options_set(evutil_socket_t fd, int silence_s);

#endif

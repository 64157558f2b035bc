#ifndef TRANSPORT_SOCKET_OPTIONS_H
#define TRANSPORT_SOCKET_OPTIONS_H

#include <event2/util.h>

/**
 * Disables Nagle's algorithm and lets the kernel close a TCP connection whose
 * peer has been unresponsive for about @p timeout_s seconds. A failure is
 * logged; the connection then works without the option.
 */
void socket_options_set(evutil_socket_t fd, int timeout_s);

#endif

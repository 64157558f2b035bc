#include "transport/socket_options.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"

/* Unanswered keepalive probes after which the kernel closes a connection. */
#define KEEPALIVE_PROBES 2

static void set_option(evutil_socket_t fd, int level, int option, int value)
{
	if (setsockopt(fd, level, option, &value, sizeof(value)))
		log_event(LOG_LEVEL_WARNING, "socket_option_refused",
			  "option=%d reason=\"%s\"", option, strerror(errno));
}

void socket_options_set(evutil_socket_t fd, int timeout_s)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE,
		   timeout_s > KEEPALIVE_PROBES ? timeout_s - KEEPALIVE_PROBES :
						  1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_s * 1000);
}

#ifndef TRANSPORT_HTTP_ADDRESS_H
#define TRANSPORT_HTTP_ADDRESS_H

#include <stdbool.h>

#include <event2/http.h>

/**
 * @return whether the path and the query of a request are texts: libevent
 *         decodes them to C strings, which end at an escaped NUL
 */
bool http_address_is_whole(const struct evhttp_request *request);

#endif

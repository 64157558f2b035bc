#include "transport/http_address.h"

#include <string.h>

#define ESCAPED_NUL "%00"

bool http_address_is_whole(const struct evhttp_request *request)
{
	return !strstr(evhttp_request_get_uri(request), ESCAPED_NUL);
}

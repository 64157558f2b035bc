#include "state/endpoint.h"

#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

#include "base/text.h"

bool endpoint_parse(const char *text, endpoint_t *endpoint)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *host = NULL;
	struct in_addr ip;
	guint64 number;

	if (!colon)
		return false;
	host = text_new(text, (size_t)(colon - text));
	if (inet_pton(AF_INET, host, &ip) != 1)
		return false;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &number,
					NULL))
		return false;
	endpoint->address = g_steal_pointer(&host);
	endpoint->port = (uint16_t)number;
	return true;
}

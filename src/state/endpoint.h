#ifndef STATE_ENDPOINT_H
#define STATE_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

/** An IP address and port. */
typedef struct {
	char *address;
	uint16_t port;
} endpoint_t;

/**
 * Splits "IP:PORT".
 *
 * @param endpoint receives the port and a copy of the IPv4 address, to be freed
 *        with g_free()
 * @return false, with @p endpoint unchanged, for any other text
 */
bool endpoint_parse(const char *text, endpoint_t *endpoint);

#endif

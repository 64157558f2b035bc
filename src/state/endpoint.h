#ifndef STATE_ENDPOINT_H
#define STATE_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

/** An IP number and port. */
typedef struct {
	char *address;
	uint16_t port;
} endpoint_t;

/**
 * Splits "IP:PORT".
 *
 * @param endpoint receives a copy of the address; free that with g_free()
 * @return false, with nothing set, when the text is anything else
 */
bool endpoint_parse(const char *text, endpoint_t *endpoint);

#endif

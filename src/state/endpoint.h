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
 * @param address receives a copy; free with g_free()
 * @return false, with nothing set, when the text is anything else
 */
bool endpoint_parse(const char *text, char **address, uint16_t *port);

#endif

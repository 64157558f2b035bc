#ifndef WORLD_HTTP_ASK_H
#define WORLD_HTTP_ASK_H

#include <stdint.h>

#include <jansson.h>

/** Methods that the world uses. */
typedef enum {
	HTTP_ASK_GET,
	HTTP_ASK_PUT,
	HTTP_ASK_POST,
} http_ask_method_t;

/**
 * Makes one call to a port of this machine and waits for the answer.
 *
 * @param body   what is sent, or NULL
 * @param answer receives the answer's text, to be freed by g_free(), or NULL
 * @return the status, or 0 when there was no answer within two seconds
 */
int http_ask(http_ask_method_t method, uint16_t port, const char *path,
	     const char *body, char **answer);

/** @return the answer of a GET as JSON, or NULL. */
json_t *http_ask_json(uint16_t port, const char *path);

#endif

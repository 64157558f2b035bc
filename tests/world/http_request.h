#ifndef WORLD_HTTP_REQUEST_H
#define WORLD_HTTP_REQUEST_H

#include <stdint.h>

#include <jansson.h>

/** HTTP methods that the tests use. */
typedef enum {
	HTTP_REQUEST_GET,
	HTTP_REQUEST_PUT,
	HTTP_REQUEST_POST,
} http_request_method_t;

/**
 * Sends one HTTP request to a port of this machine and waits for the response.
 *
 * @param body   request body, or NULL
 * @param answer receives the response body, to be freed with g_free(); may be
 *               NULL
 * @return the status code, or 0 if no response came within two seconds
 */
int http_request(http_request_method_t method, uint16_t port, const char *path,
		 const char *body, char **answer);

/**
 * Sends a GET request and parses the response.
 *
 * @return the JSON value, or NULL if the status is not 200 or the body is not
 *         JSON
 */
json_t *http_get_json(uint16_t port, const char *path);

#endif

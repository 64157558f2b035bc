#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

/** Connections that one client holds at most. */
#define HTTP_CLIENT_CONNECTIONS_MAX 16
/** Requests that wait for a connection; further ones are not sent. */
#define HTTP_CLIENT_QUEUE_MAX 1024
/** Largest answer, in bytes; a megabyte in base64 and what is around it. */
#define HTTP_CLIENT_BODY_SIZE_BYTES_MAX (2u * 1024 * 1024)

/** Sends HTTP requests to one server and reuses its connections. */
typedef struct http_client http_client_t;

typedef enum {
	HTTP_GET,
	HTTP_PUT,
	HTTP_POST,
	HTTP_DELETE,
} http_method_t;

/** What came back. */
typedef struct {
	uint32_t status; /**< 0 when there was no whole answer in time */
	bool sent;	 /**< false when the request surely never left */
	const uint8_t *bytes;
	size_t size_bytes;
	void *request; /**< for http_response_header() */
} http_response_t;

/** Called once for each request, never from inside the call that sends. */
typedef void (*http_done_t)(void *context, const http_response_t *response);

http_client_t *http_client_create(struct event_base *base, const char *address,
				  uint16_t port);

/**
 * Ends the client; callbacks that wait are not called, their contexts are
 * released. NULL is allowed.
 */
void http_client_destroy(http_client_t *client);

/**
 * @param path       path and query, escaped
 * @param bytes      body, copied; NULL for none
 * @param timeout_ms time until the whole answer must be there
 * @param release    frees @p context after the call; NULL for none
 */
void http_client_send(http_client_t *client, http_method_t method,
		      const char *path, const uint8_t *bytes, size_t size_bytes,
		      uint32_t timeout_ms, http_done_t done, void *context,
		      void (*release)(void *context));

/** A header of a request. */
typedef struct {
	const char *name;
	const char *value;
} http_header_t;

/** As http_client_send(), with headers of its own. */
void http_client_send_with(http_client_t *client, http_method_t method,
			   const char *path, const http_header_t *headers,
			   size_t headers_count, const uint8_t *bytes,
			   size_t size_bytes, uint32_t timeout_ms,
			   http_done_t done, void *context,
			   void (*release)(void *context));

/** @return a header of the answer, or NULL. */
const char *http_response_header(const http_response_t *response,
				 const char *name);

#endif

#ifndef TRANSPORT_HTTP_CLIENT_H
#define TRANSPORT_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>

/** Maximum number of connections of one client. */
#define HTTP_CLIENT_CONNECTIONS_MAX 16
/** Maximum number of requests that wait for a connection. */
#define HTTP_CLIENT_QUEUE_MAX 1024
/** Size limit of an answer, in bytes: a page of 1 MB and a value more. */
#define HTTP_CLIENT_BODY_SIZE_BYTES_MAX (4u * 1024 * 1024)

/** HTTP client of one server with a pool of connections. */
typedef struct http_client http_client_t;

/** Method of a request. */
typedef enum {
	HTTP_GET,
	HTTP_PUT,
	HTTP_POST,
	HTTP_DELETE,
} http_method_t;

/** Result of a request. */
typedef struct {
	uint32_t status; /**< HTTP status; 0 without a complete answer */
	bool sent;	 /**< false if the request was certainly not sent */
	bool too_large;	 /**< the answer exceeds the size limit */
	const uint8_t *bytes; /**< body; valid during the callback */
	size_t size_bytes;    /**< size of the body */
	void *request;	      /**< used by http_response_header() */
} http_response_t;

/** Called once for each request, never from within the sending call. */
typedef void (*http_done_t)(void *context, const http_response_t *response);

/** Creates a client; copies @p address. */
http_client_t *http_client_create(struct event_base *base, const char *address,
				  uint16_t port);

/**
 * Destroys the client. Pending callbacks are not called; their contexts are
 * released. NULL is allowed.
 */
void http_client_destroy(http_client_t *client);

/**
 * Sends a request. If HTTP_CLIENT_QUEUE_MAX requests already wait, the request
 * is not sent and @p done reports that.
 *
 * @param path       path and query, escaped
 * @param bytes      body, copied; NULL for none
 * @param timeout_ms time limit for the complete answer
 * @param release    frees @p context after @p done; NULL for none
 */
void http_client_send(http_client_t *client, http_method_t method,
		      const char *path, const uint8_t *bytes, size_t size_bytes,
		      uint32_t timeout_ms, http_done_t done, void *context,
		      void (*release)(void *context));

/** Header of a request. */
typedef struct {
	const char *name;
	const char *value;
} http_header_t;

/** Like http_client_send(), with additional headers. */
void http_client_send_with(http_client_t *client, http_method_t method,
			   const char *path, const http_header_t *headers,
			   size_t headers_count, const uint8_t *bytes,
			   size_t size_bytes, uint32_t timeout_ms,
			   http_done_t done, void *context,
			   void (*release)(void *context));

/** @return the value of a header of the answer, or NULL. */
const char *http_response_header(const http_response_t *response,
				 const char *name);

#endif

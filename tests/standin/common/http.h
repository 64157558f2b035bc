#ifndef STANDIN_COMMON_HTTP_H
#define STANDIN_COMMON_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "state/endpoint.h"

/** Starts an HTTP server. @return NULL if it cannot listen */
struct evhttp *http_listen(struct event_base *base, const char *address,
			   uint16_t port);

/** @return a query parameter, or NULL if absent; free with g_free(). */
char *http_argument(struct evhttp_request *request, const char *name);

/** @return a query parameter as a number, or @p default_value if absent. */
int64_t http_number(struct evhttp_request *request, const char *name,
		    int64_t default_value);

/** @return the request's body as a text; free with g_free(). */
char *http_body(struct evhttp_request *request);

/** Answers 200 with @p node and takes ownership of it. */
void http_reply_json(struct evhttp_request *request, json_t *node);

/** Answers with a status and a text. */
void http_reply_text(struct evhttp_request *request, int status,
		     const char *text);

#endif

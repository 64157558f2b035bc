#include "world/http_request.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#define REQUEST_TIMEOUT_SECONDS 2

typedef struct {
	struct event_base *base;
	int status;
	char *answer;
} http_call_t;

static void on_response(struct evhttp_request *request, void *context)
{
	http_call_t *call = context;
	struct evbuffer *input;
	size_t size_bytes;

	event_base_loopbreak(call->base);
	if (!request)
		return;
	call->status = evhttp_request_get_response_code(request);
	input = evhttp_request_get_input_buffer(request);
	size_bytes = evbuffer_get_length(input);
	call->answer = g_malloc0(size_bytes + 1);
	evbuffer_copyout(input, call->answer, size_bytes);
}

static enum evhttp_cmd_type request_type(http_request_method_t method)
{
	switch (method) {
	case HTTP_REQUEST_PUT:
		return EVHTTP_REQ_PUT;
	case HTTP_REQUEST_POST:
		return EVHTTP_REQ_POST;
	default:
		return EVHTTP_REQ_GET;
	}
}

int http_request(http_request_method_t method, uint16_t port, const char *path,
		 const char *body, char **answer)
{
	http_call_t call = {.base = event_base_new()};
	struct evhttp_connection *connection =
		evhttp_connection_base_new(call.base, NULL, "127.0.0.1", port);
	struct evhttp_request *request = evhttp_request_new(on_response, &call);

	evhttp_connection_set_timeout(connection, REQUEST_TIMEOUT_SECONDS);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  "127.0.0.1");
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Connection", "close");
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	if (!evhttp_make_request(connection, request, request_type(method),
				 path))
		event_base_dispatch(call.base);
	evhttp_connection_free(connection);
	event_base_free(call.base);
	if (answer)
		*answer = call.answer;
	else
		g_free(call.answer);
	return call.status;
}

json_t *http_get_json(uint16_t port, const char *path)
{
	g_autofree char *text = NULL;

	if (http_request(HTTP_REQUEST_GET, port, path, NULL, &text) != 200 ||
	    !text)
		return NULL;
	return json_loads(text, 0, NULL);
}

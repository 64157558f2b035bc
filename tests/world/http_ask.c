#include "world/http_ask.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#define ASK_TIMEOUT_SECONDS 2

typedef struct {
	struct event_base *base;
	int status;
	char *answer;
} ask_t;

static void on_answer(struct evhttp_request *request, void *context)
{
	ask_t *ask = context;
	struct evbuffer *input;
	size_t size_bytes;

	event_base_loopbreak(ask->base);
	if (!request)
		return;
	ask->status = evhttp_request_get_response_code(request);
	input = evhttp_request_get_input_buffer(request);
	size_bytes = evbuffer_get_length(input);
	ask->answer = g_malloc0(size_bytes + 1);
	evbuffer_copyout(input, ask->answer, size_bytes);
}

static enum evhttp_cmd_type command(http_ask_method_t method)
{
	switch (method) {
	case HTTP_ASK_PUT:
		return EVHTTP_REQ_PUT;
	case HTTP_ASK_POST:
		return EVHTTP_REQ_POST;
	default:
		return EVHTTP_REQ_GET;
	}
}

int http_ask(http_ask_method_t method, uint16_t port, const char *path,
	     const char *body, char **answer)
{
	ask_t ask = {.base = event_base_new()};
	struct evhttp_connection *connection =
		evhttp_connection_base_new(ask.base, NULL, "127.0.0.1", port);
	struct evhttp_request *request = evhttp_request_new(on_answer, &ask);

	evhttp_connection_set_timeout(connection, ASK_TIMEOUT_SECONDS);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  "127.0.0.1");
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Connection", "close");
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	if (!evhttp_make_request(connection, request, command(method), path))
		event_base_dispatch(ask.base);
	evhttp_connection_free(connection);
	event_base_free(ask.base);
	if (answer)
		*answer = ask.answer;
	else
		g_free(ask.answer);
	return ask.status;
}

json_t *http_ask_json(uint16_t port, const char *path)
{
	g_autofree char *text = NULL;

	if (http_ask(HTTP_ASK_GET, port, path, NULL, &text) != 200 || !text)
		return NULL;
	return json_loads(text, 0, NULL);
}

#include "standin/common/http.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#define BODY_SIZE_BYTES_MAX (4 * 1024 * 1024)

struct evhttp *http_listen(struct event_base *base, const char *address,
			   uint16_t port)
{
	struct evhttp *http = evhttp_new(base);

	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
						 EVHTTP_REQ_POST |
						 EVHTTP_REQ_DELETE);
	evhttp_set_max_body_size(http, BODY_SIZE_BYTES_MAX);
	if (evhttp_bind_socket(http, address, port)) {
		evhttp_free(http);
		return NULL;
	}
	return http;
}

char *http_argument(struct evhttp_request *request, const char *name)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	struct evkeyvalq arguments;
	char *value;

	evhttp_parse_query_str(evhttp_uri_get_query(uri) ?: "", &arguments);
	value = g_strdup(evhttp_find_header(&arguments, name));
	evhttp_clear_headers(&arguments);
	return value;
}

int64_t http_number(struct evhttp_request *request, const char *name,
		    int64_t default_value)
{
	g_autofree char *text = http_argument(request, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : default_value;
}

char *http_body(struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t size_bytes = evbuffer_get_length(input);
	char *body = g_malloc0(size_bytes + 1);

	evbuffer_copyout(input, body, size_bytes);
	return body;
}

void http_reply_text(struct evhttp_request *request, int status,
		     const char *text)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, text, strlen(text));
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
}

void http_reply_json(struct evhttp_request *request, json_t *node)
{
	g_autofree char *text =
		json_dumps(node, JSON_COMPACT | JSON_ENCODE_ANY);

	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	http_reply_text(request, HTTP_OK, text);
	json_decref(node);
}

#include "transport/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <glib.h>

#include "transport/socket_options.h"

#define HEADERS_SIZE_BYTES_MAX (16 * 1024)

/* Time after which a connection to an unresponsive host is closed. */
#define KEEPALIVE_TIMEOUT_S 3

typedef struct {
	http_client_t *client;
	http_method_t method;
	char *path;
	GBytes *body;
	GPtrArray *headers; /* char *: alternating name and value */
	uint32_t timeout_ms;
	http_done_t done;
	void *context;
	void (*release)(void *context);
	struct evhttp_connection *connection; /* NULL while the call waits */
	struct evhttp_request *answer;	      /* owned; NULL until it arrives */
	struct event *timer;		      /* fires on_end() */
	bool sent;
	bool too_large; /* the answer exceeds the size limit */
} call_t;

struct http_client {
	struct event_base *base;
	char *address;
	uint16_t port;
	GPtrArray *idle;   /* struct evhttp_connection *, unused */
	GPtrArray *active; /* call_t * with a connection */
	GQueue waiting;	   /* call_t * without a connection */
};

http_client_t *http_client_create(struct event_base *base, const char *address,
				  uint16_t port)
{
	http_client_t *client = g_new0(http_client_t, 1);

	client->base = base;
	client->address = g_strdup(address);
	client->port = port;
	client->idle = g_ptr_array_new();
	client->active = g_ptr_array_new();
	g_queue_init(&client->waiting);
	return client;
}

static void call_delete(call_t *call)
{
	if (call->answer)
		evhttp_request_free(call->answer);
	if (call->release)
		call->release(call->context);
	event_free(call->timer);
	g_free(call->path);
	g_bytes_unref(call->body);
	g_ptr_array_unref(call->headers);
	g_free(call);
}

void http_client_destroy(http_client_t *client)
{
	if (!client)
		return;
	for (guint i = 0; i < client->active->len; i++) {
		call_t *call = client->active->pdata[i];

		if (call->connection)
			evhttp_connection_free(call->connection);
		call_delete(call);
	}
	g_queue_clear_full(&client->waiting, (GDestroyNotify)call_delete);
	for (guint i = 0; i < client->idle->len; i++)
		evhttp_connection_free(client->idle->pdata[i]);
	g_ptr_array_unref(client->idle);
	g_ptr_array_unref(client->active);
	g_free(client->address);
	g_free(client);
}

static void on_answer(struct evhttp_request *request, void *context)
{
	call_t *call = context;

	if (request && evhttp_request_get_response_code(request)) {
		evhttp_request_own(request);
		call->answer = request;
	}
	/* A connection must not be freed or reused inside its own callback. */
	event_active(call->timer, EV_TIMEOUT, 0);
}

static void on_error(enum evhttp_request_error error, void *context)
{
	call_t *call = context;

	call->too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
}

static struct evhttp_connection *connection_new(const http_client_t *client)
{
	struct evhttp_connection *connection = evhttp_connection_base_new(
		client->base, NULL, client->address, client->port);

	evhttp_connection_set_max_body_size(connection,
					    HTTP_CLIENT_BODY_SIZE_BYTES_MAX);
	evhttp_connection_set_max_headers_size(connection,
					       HEADERS_SIZE_BYTES_MAX);
	return connection;
}

static struct evhttp_request *request_new_for(call_t *call)
{
	struct evhttp_request *request = evhttp_request_new(on_answer, call);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	g_autofree char *host = g_strdup_printf(
		strchr(call->client->address, ':') ? "[%s]:%u" : "%s:%u",
		call->client->address, call->client->port);

	evhttp_request_set_error_cb(request, on_error);
	evhttp_add_header(headers, "Host", host);
	for (guint i = 0; i + 1 < call->headers->len; i += 2)
		evhttp_add_header(headers, call->headers->pdata[i],
				  call->headers->pdata[i + 1]);
	if (call->body)
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     g_bytes_get_data(call->body, NULL),
			     g_bytes_get_size(call->body));
	return request;
}

/* Enables keepalive. The socket exists once the first request was made. */
static void enable_keepalive(struct evhttp_connection *connection)
{
	const evutil_socket_t fd = bufferevent_getfd(
		evhttp_connection_get_bufferevent(connection));

	if (fd >= 0)
		socket_options_set(fd, KEEPALIVE_TIMEOUT_S);
}

static void call_start(call_t *call)
{
	static const enum evhttp_cmd_type commands[] = {
		EVHTTP_REQ_GET, EVHTTP_REQ_PUT, EVHTTP_REQ_POST,
		EVHTTP_REQ_DELETE};
	http_client_t *client = call->client;
	const struct timeval timeout = {
		.tv_sec = call->timeout_ms / 1000,
		.tv_usec = (suseconds_t)(call->timeout_ms % 1000) * 1000};

	const bool is_new = !client->idle->len;

	g_ptr_array_add(client->active, call);
	if (!is_new)
		call->connection = g_ptr_array_steal_index(
			client->idle, client->idle->len - 1);
	else
		call->connection = connection_new(client);
	evhttp_connection_set_timeout_tv(call->connection, &timeout);
	event_add(call->timer, &timeout);
	call->sent = true;
	if (evhttp_make_request(call->connection, request_new_for(call),
				commands[call->method], call->path)) {
		event_active(call->timer, EV_TIMEOUT, 0);
		return;
	}
	if (is_new)
		enable_keepalive(call->connection);
}

static void start_waiting(http_client_t *client)
{
	while (client->active->len < HTTP_CLIENT_CONNECTIONS_MAX &&
	       !g_queue_is_empty(&client->waiting))
		call_start(g_queue_pop_head(&client->waiting));
}

static void call_return_connection(call_t *call)
{
	http_client_t *client = call->client;

	if (!call->connection) {
		g_queue_remove(&client->waiting, call);
		return;
	}
	g_ptr_array_remove_fast(client->active, call);
	if (call->answer)
		g_ptr_array_add(client->idle, call->connection);
	else
		evhttp_connection_free(call->connection);
}

/* Ends a call: the answer arrived, the request failed or the time is up. */
static void on_end(evutil_socket_t fd, short what, void *context)
{
	call_t *call = context;
	http_response_t response = {.sent = call->sent,
				    .too_large = call->too_large,
				    .request = call->answer};

	call_return_connection(call);
	start_waiting(call->client);
	if (call->answer) {
		struct evbuffer *body =
			evhttp_request_get_input_buffer(call->answer);

		response.status = (uint32_t)evhttp_request_get_response_code(
			call->answer);
		response.size_bytes = evbuffer_get_length(body);
		response.bytes = evbuffer_pullup(body, -1);
	}
	call->done(call->context, &response);
	call_delete(call);
}

void http_client_send(http_client_t *client, http_method_t method,
		      const char *path, const uint8_t *bytes, size_t size_bytes,
		      uint32_t timeout_ms, http_done_t done, void *context,
		      void (*release)(void *context))
{
	http_client_send_with(client, method, path, NULL, 0, bytes, size_bytes,
			      timeout_ms, done, context, release);
}

void http_client_send_with(http_client_t *client, http_method_t method,
			   const char *path, const http_header_t *headers,
			   size_t headers_count, const uint8_t *bytes,
			   size_t size_bytes, uint32_t timeout_ms,
			   http_done_t done, void *context,
			   void (*release)(void *context))
{
	call_t *call = g_new0(call_t, 1);

	call->client = client;
	call->method = method;
	call->path = g_strdup(path);
	call->body = bytes ? g_bytes_new(bytes, size_bytes) : NULL;
	call->headers = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < headers_count; i++) {
		g_ptr_array_add(call->headers, g_strdup(headers[i].name));
		g_ptr_array_add(call->headers, g_strdup(headers[i].value));
	}
	call->timeout_ms = timeout_ms;
	call->done = done;
	call->context = context;
	call->release = release;
	call->timer = evtimer_new(client->base, on_end, call);
	if (client->active->len < HTTP_CLIENT_CONNECTIONS_MAX) {
		call_start(call);
		return;
	}
	if (g_queue_get_length(&client->waiting) >= HTTP_CLIENT_QUEUE_MAX)
		event_active(call->timer, EV_TIMEOUT, 0);
	else
		event_add(call->timer,
			  &(struct timeval){
				  .tv_sec = timeout_ms / 1000,
				  .tv_usec = (suseconds_t)(timeout_ms % 1000) *
					     1000});
	g_queue_push_tail(&client->waiting, call);
}

const char *http_response_header(const http_response_t *response,
				 const char *name)
{
	if (!response->request)
		return NULL;
	return evhttp_find_header(
		evhttp_request_get_input_headers(response->request), name);
}

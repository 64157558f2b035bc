#include "daemon/operators_task.h"

#include <string.h>

#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "base/log.h"
#include "transport/http_address.h"

#define BODY_SIZE_BYTES_MAX 4096
#define HEADERS_SIZE_BYTES_MAX 8192
#define TIMEOUT_S 10

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

G_DEFINE_QUARK(toucanhook - operators, operators_task_error)

struct operators_task {
	struct evhttp *http;
	metrics_t *metrics;
	operators_handlers_t handlers;
	uint16_t port;
};

static void reply(struct evhttp_request *request, int status, const char *type,
		  const char *text)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	struct evbuffer *body = evbuffer_new();

	evhttp_add_header(headers, "Content-Type", type);
	evbuffer_add(body, text, strlen(text));
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
}

static void reply_result(struct evhttp_request *request, int status,
			 const char *name, const char *text)
{
	json_t *json = json_pack("{s:s}", name, text);
	char *body = json_dumps(json, JSON_COMPACT);

	reply(request, status, JSON_TYPE, body);
	free(body);
	json_decref(json);
}

/*
 * Checks the address and the method, and rejects cross-site requests: browsers
 * add an Origin header to a POST, and no web page may send orders through an
 * operator's browser.
 */
static bool accept_request(struct evhttp_request *request,
			   enum evhttp_cmd_type method)
{
	const struct evkeyvalq *headers =
		evhttp_request_get_input_headers(request);

	if (!http_address_is_whole(request)) {
		reply_result(request, HTTP_BADREQUEST, "error",
			     "the address contains a NUL");
		return false;
	}
	if (evhttp_request_get_command(request) != method) {
		reply_result(request, HTTP_BADMETHOD, "error",
			     method == EVHTTP_REQ_GET ? "expected GET" :
							"expected POST");
		return false;
	}
	if (method == EVHTTP_REQ_POST &&
	    evhttp_find_header(headers, "Origin")) {
		reply_result(request, 403, "error",
			     "requests from web pages are not allowed");
		return false;
	}
	return true;
}

static void count_request(const operators_task_t *operators, const char *path)
{
	g_autofree char *labels = metrics_labels("path", path, NULL);

	metric_add(metrics_counter(operators->metrics,
				   "toucanhook_operators_requests_total",
				   labels),
		   1);
}

static void on_status(struct evhttp_request *request, void *context)
{
	operators_task_t *operators = context;
	g_autofree char *text = NULL;

	count_request(operators, "/status");
	if (!accept_request(request, EVHTTP_REQ_GET))
		return;
	text = operators->handlers.status(operators->handlers.context);
	reply(request, HTTP_OK, JSON_TYPE, text);
}

static void on_metrics(struct evhttp_request *request, void *context)
{
	operators_task_t *operators = context;
	g_autofree char *text = NULL;

	count_request(operators, "/metrics");
	if (!accept_request(request, EVHTTP_REQ_GET))
		return;
	text = metrics_render(operators->metrics);
	reply(request, HTTP_OK, METRICS_TYPE, text);
}

static void on_healthz(struct evhttp_request *request, void *context)
{
	operators_task_t *operators = context;

	count_request(operators, "/healthz");
	if (!accept_request(request, EVHTTP_REQ_GET))
		return;
	if (operators->handlers.healthy(operators->handlers.context))
		reply(request, HTTP_OK, "text/plain", "ok\n");
	else
		reply(request, HTTP_SERVUNAVAIL, "text/plain", "not serving\n");
}

static void on_drain(struct evhttp_request *request, void *context)
{
	operators_task_t *operators = context;

	count_request(operators, "/drain");
	if (!accept_request(request, EVHTTP_REQ_POST))
		return;
	log_event(LOG_LEVEL_NOTICE, "drain_ordered", "%s", "");
	reply_result(request, 202, "result", "draining");
	operators->handlers.drain(operators->handlers.context);
}

static void promote(const operators_task_t *operators,
		    struct evhttp_request *request, const char *database,
		    const char *server)
{
	const operators_answer_t answer = operators->handlers.promote(
		operators->handlers.context, database, server);

	log_event(LOG_LEVEL_NOTICE, "promotion_ordered",
		  "database=%s server=%s accepted=%d", database,
		  server ? server : "best", answer == OPERATORS_ACCEPTED);
	switch (answer) {
	case OPERATORS_ACCEPTED:
		reply_result(request, 202, "result", "promoting");
		return;
	case OPERATORS_UNKNOWN_NAME:
		reply_result(request, HTTP_NOTFOUND, "error",
			     "the database or server does not exist");
		return;
	case OPERATORS_NOT_POSSIBLE:
		reply_result(request, 409, "error",
			     "the promotion is not possible now");
		return;
	}
}

static void on_promote(struct evhttp_request *request, void *context)
{
	operators_task_t *operators = context;
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
	struct evkeyvalq values;
	const char *database;

	count_request(operators, "/promote");
	if (!accept_request(request, EVHTTP_REQ_POST))
		return;
	if (evhttp_parse_query_str(query ? query : "", &values)) {
		reply_result(request, HTTP_BADREQUEST, "error",
			     "cannot parse the query string");
		return;
	}
	database = evhttp_find_header(&values, "database");
	if (!database)
		reply_result(request, HTTP_BADREQUEST, "error",
			     "expected ?database=NAME");
	else if (g_strcmp0(evhttp_find_header(&values, "confirm"), database))
		reply_result(request, HTTP_BADREQUEST, "error",
			     "expected confirm=NAME with the name of the "
			     "database");
	else
		promote(operators, request, database,
			evhttp_find_header(&values, "server"));
	evhttp_clear_headers(&values);
}

static void on_other(struct evhttp_request *request, void *context)
{
	count_request(context, "other");
	reply_result(request, HTTP_NOTFOUND, "error",
		     "expected /status, /metrics, /healthz, /drain or "
		     "/promote");
}

static uint16_t bound_port(struct evhttp_bound_socket *socket)
{
	struct sockaddr_storage address = {0};
	socklen_t length = sizeof(address);

	getsockname(evhttp_bound_socket_get_fd(socket),
		    (struct sockaddr *)&address, &length);
	if (address.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
	return ntohs(((struct sockaddr_in *)&address)->sin_port);
}

static bool bind_to(operators_task_t *operators, const endpoint_t *endpoint,
		    GError **error)
{
	struct evhttp_bound_socket *socket = evhttp_bind_socket_with_handle(
		operators->http, endpoint->address, endpoint->port);

	if (!socket) {
		g_set_error(error, OPERATORS_ERROR, OPERATORS_ERROR_ADDRESS,
			    "operators: cannot listen on %s port %u",
			    endpoint->address, endpoint->port);
		return false;
	}
	operators->port = bound_port(socket);
	return true;
}

operators_task_t *operators_task_create(struct event_base *base,
					metrics_t *metrics,
					const settings_t *settings,
					operators_handlers_t handlers,
					GError **error)
{
	operators_task_t *operators = g_new0(operators_task_t, 1);

	operators->metrics = metrics;
	operators->handlers = handlers;
	operators->http = evhttp_new(base);
	evhttp_set_max_body_size(operators->http, BODY_SIZE_BYTES_MAX);
	evhttp_set_max_headers_size(operators->http, HEADERS_SIZE_BYTES_MAX);
	evhttp_set_timeout(operators->http, TIMEOUT_S);
	evhttp_set_cb(operators->http, "/status", on_status, operators);
	evhttp_set_cb(operators->http, "/metrics", on_metrics, operators);
	evhttp_set_cb(operators->http, "/healthz", on_healthz, operators);
	evhttp_set_cb(operators->http, "/drain", on_drain, operators);
	evhttp_set_cb(operators->http, "/promote", on_promote, operators);
	evhttp_set_gencb(operators->http, on_other, operators);
	if (bind_to(operators, &settings->operators, error))
		return operators;
	operators_task_destroy(operators);
	return NULL;
}

void operators_task_destroy(operators_task_t *operators)
{
	if (!operators)
		return;
	evhttp_free(operators->http);
	g_free(operators);
}

uint16_t operators_task_port(const operators_task_t *operators)
{
	return operators->port;
}

#include "relay/relay_status_page.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "transport/http_address.h"

G_DEFINE_QUARK(relay - status - page - error - quark, relay_status_page_error)

struct relay_status_page {
	struct evhttp *readiness;
	struct evhttp *metrics_server;
	const metrics_t *metrics;
	bool (*is_ready)(void *context);
	void (*update)(void *context);
	char *(*explain)(void *context, const char *database, bool writes);
	void *context;
};

static void on_ready(struct evhttp_request *request, void *context)
{
	const relay_status_page_t *page = context;

	if (page->is_ready(page->context))
		evhttp_send_reply(request, HTTP_OK, "OK", NULL);
	else
		evhttp_send_reply(request, HTTP_SERVUNAVAIL, "Not ready", NULL);
}

static void send_text(struct evhttp_request *request, const char *type,
		      const char *text)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", type);
	evhttp_send_reply(request, HTTP_OK, "OK", body);
	evbuffer_free(body);
}

static void on_explain(struct evhttp_request *request, void *context)
{
	const relay_status_page_t *page = context;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq values = {0};
	const char *database = NULL;
	g_autofree char *text = NULL;

	if (query && http_address_is_whole(request) &&
	    !evhttp_parse_query_str(query, &values))
		database = evhttp_find_header(&values, "database");
	if (database)
		text = page->explain(page->context, database,
				     evhttp_find_header(&values, "write"));
	if (text)
		send_text(request, "text/plain", text);
	else
		evhttp_send_reply(request, HTTP_NOTFOUND, "Unknown database",
				  NULL);
	evhttp_clear_headers(&values);
}

static void on_metrics(struct evhttp_request *request, void *context)
{
	const relay_status_page_t *page = context;
	g_autofree char *text = NULL;

	page->update(page->context);
	text = metrics_render(page->metrics);
	send_text(request, "text/plain; version=0.0.4", text);
}

static struct evhttp *
listen_on(struct event_base *base, const endpoint_t *endpoint,
	  void (*handler)(struct evhttp_request *, void *), void *context,
	  GError **error)
{
	struct evhttp *http = evhttp_new(base);

	if (evhttp_bind_socket(http, endpoint->address, endpoint->port)) {
		g_set_error(error, RELAY_STATUS_PAGE_ERROR, 0,
			    "cannot listen on %s:%u", endpoint->address,
			    endpoint->port);
		evhttp_free(http);
		return NULL;
	}
	evhttp_set_gencb(http, handler, context);
	return http;
}

relay_status_page_t *relay_status_page_create(
	struct event_base *base, const endpoint_t *readiness,
	const endpoint_t *metrics_endpoint, const metrics_t *metrics,
	bool (*is_ready)(void *context), void (*update)(void *context),
	void *context, GError **error)
{
	relay_status_page_t *page = g_new0(relay_status_page_t, 1);

	page->metrics = metrics;
	page->is_ready = is_ready;
	page->update = update;
	page->context = context;
	page->readiness = listen_on(base, readiness, on_ready, page, error);
	if (page->readiness)
		page->metrics_server = listen_on(base, metrics_endpoint,
						 on_metrics, page, error);
	if (!page->metrics_server) {
		relay_status_page_destroy(page);
		return NULL;
	}
	return page;
}

void relay_status_page_set_explain(relay_status_page_t *page,
				   char *(*explain)(void *context,
						    const char *database,
						    bool writes))
{
	page->explain = explain;
	evhttp_set_cb(page->metrics_server, "/explain", on_explain, page);
}

void relay_status_page_destroy(relay_status_page_t *page)
{
	if (!page)
		return;
	if (page->readiness)
		evhttp_free(page->readiness);
	if (page->metrics_server)
		evhttp_free(page->metrics_server);
	g_free(page);
}

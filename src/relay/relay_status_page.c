#include "relay/relay_status_page.h"

#include <event2/buffer.h>
#include <event2/http.h>

G_DEFINE_QUARK(relay - status - page - error - quark, relay_status_page_error)

struct relay_status_page {
	struct evhttp *readiness;
	struct evhttp *metrics_server;
	const metrics_t *metrics;
	bool (*is_ready)(void *context);
	void (*update)(void *context);
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

static void on_metrics(struct evhttp_request *request, void *context)
{
	const relay_status_page_t *page = context;
	struct evbuffer *body = evbuffer_new();
	g_autofree char *text = NULL;

	page->update(page->context);
	text = metrics_render(page->metrics);
	evbuffer_add(body, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(request, HTTP_OK, "OK", body);
	evbuffer_free(body);
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

#include "relay/relay_callers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include <event2/listener.h>

#include "base/log.h"

/* Length of the kernel's queue of connections to be accepted. */
#define BACKLOG 1024

G_DEFINE_QUARK(relay - callers - error - quark, relay_callers_error)

struct relay_callers {
	relay_session_host_t host;
	struct evconnlistener *listener;
	GHashTable *sessions; /* set of relay_session_t */
};

static void on_ended(void *context, relay_session_t *session)
{
	relay_callers_t *callers = context;

	g_hash_table_remove(callers->sessions, session);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	relay_callers_t *callers = context;

	g_hash_table_add(callers->sessions,
			 relay_session_create(&callers->host, fd));
}

static void on_accept_error(struct evconnlistener *listener, void *context)
{
	log_event(LOG_LEVEL_WARNING, "accept_failed", "reason=\"%s\"",
		  strerror(errno));
}

relay_callers_t *relay_callers_create(struct event_base *base,
				      const relay_codec_t *codec,
				      relay_services_t *services,
				      const endpoint_t *endpoint,
				      GError **error)
{
	relay_callers_t *callers = g_new0(relay_callers_t, 1);
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(endpoint->port)};

	callers->host = (relay_session_host_t){
		.base = base,
		.codec = codec,
		.services = services,
		.metrics = relay_services_settings(services)->metrics,
		.ended = on_ended,
		.context = callers,
	};
	callers->sessions = g_hash_table_new(g_direct_hash, g_direct_equal);
	inet_pton(AF_INET, endpoint->address, &address.sin_addr);
	callers->listener = evconnlistener_new_bind(
		base, on_accept, callers,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&address, sizeof(address));
	if (!callers->listener) {
		g_set_error(error, RELAY_CALLERS_ERROR, errno,
			    "cannot listen on %s:%u: %s", endpoint->address,
			    endpoint->port, strerror(errno));
		relay_callers_destroy(callers);
		return NULL;
	}
	evconnlistener_set_error_cb(callers->listener, on_accept_error);
	return callers;
}

void relay_callers_limit_memory(relay_callers_t *callers, uint64_t limit_bytes)
{
	g_assert(!g_hash_table_size(callers->sessions));
	memory_budget_destroy(callers->host.memory);
	callers->host.memory = memory_budget_create(limit_bytes);
}

uint64_t relay_callers_memory(const relay_callers_t *callers)
{
	return callers->host.memory ? memory_budget_held(callers->host.memory) :
				      0;
}

void relay_callers_set_quota(relay_callers_t *callers, relay_quota_t *quota)
{
	callers->host.quota = quota;
}

static GPtrArray *list_sessions(const relay_callers_t *callers)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer session;

	g_hash_table_iter_init(&iter, callers->sessions);
	while (g_hash_table_iter_next(&iter, &session, NULL))
		g_ptr_array_add(list, session);
	return list;
}

void relay_callers_destroy(relay_callers_t *callers)
{
	g_autoptr(GPtrArray) sessions = NULL;

	if (!callers)
		return;
	sessions = list_sessions(callers);
	for (guint i = 0; i < sessions->len; i++)
		relay_session_destroy(sessions->pdata[i]);
	if (callers->listener)
		evconnlistener_free(callers->listener);
	catalog_unref(callers->host.catalog);
	memory_budget_destroy(callers->host.memory);
	g_hash_table_destroy(callers->sessions);
	g_free(callers);
}

void relay_callers_configure(relay_callers_t *callers, catalog_t *catalog)
{
	g_autoptr(GPtrArray) sessions = list_sessions(callers);

	catalog_unref(callers->host.catalog);
	callers->host.catalog = catalog_ref(catalog);
	for (guint i = 0; i < sessions->len; i++)
		relay_session_configured(sessions->pdata[i]);
}

void relay_callers_drain(relay_callers_t *callers, const drain_plan_t *plan)
{
	g_autoptr(GPtrArray) sessions = list_sessions(callers);

	callers->host.drain = *plan;
	for (guint i = 0; i < sessions->len; i++)
		relay_session_drain(sessions->pdata[i]);
}

void relay_callers_close(relay_callers_t *callers)
{
	g_clear_pointer(&callers->listener, evconnlistener_free);
}

relay_cut_t relay_callers_finish(relay_callers_t *callers)
{
	g_autoptr(GPtrArray) sessions = list_sessions(callers);
	relay_cut_t cut = {0};

	relay_callers_close(callers);
	for (guint i = 0; i < sessions->len; i++)
		relay_session_finish(sessions->pdata[i], &cut);
	return cut;
}

uint32_t relay_callers_count(const relay_callers_t *callers)
{
	return g_hash_table_size(callers->sessions);
}

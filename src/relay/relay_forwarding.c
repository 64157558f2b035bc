#include "relay/relay_forwarding_private.h"

#include <errno.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/listener.h>

/* Length of the kernel's queue of connections to be accepted. */
#define BACKLOG 256

G_DEFINE_QUARK(relay - forwarding - error - quark, relay_forwarding_error)

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int size, void *context)
{
	forwarding_session_create(context, fd);
}

relay_forwarding_t *relay_forwarding_create(relay_services_t *services,
					    const endpoint_t *endpoint,
					    GError **error)
{
	relay_forwarding_t *forwarding = g_new0(relay_forwarding_t, 1);
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons(endpoint->port)};

	forwarding->services = services;
	forwarding->sessions = g_hash_table_new(g_direct_hash, g_direct_equal);
	inet_pton(AF_INET, endpoint->address, &address.sin_addr);
	forwarding->listener = evconnlistener_new_bind(
		relay_services_settings(services)->base, on_accept, forwarding,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&address, sizeof(address));
	if (forwarding->listener)
		return forwarding;
	g_set_error(error, RELAY_FORWARDING_ERROR, errno,
		    "cannot listen on %s:%u: %s", endpoint->address,
		    endpoint->port, strerror(errno));
	relay_forwarding_destroy(forwarding);
	return NULL;
}

void relay_forwarding_set_quota(relay_forwarding_t *forwarding,
				relay_quota_leader_t *leader)
{
	forwarding->leader = leader;
}

static GPtrArray *list_sessions(const relay_forwarding_t *forwarding)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer session;

	g_hash_table_iter_init(&iter, forwarding->sessions);
	while (g_hash_table_iter_next(&iter, &session, NULL))
		g_ptr_array_add(list, session);
	return list;
}

void relay_forwarding_set_hub(relay_forwarding_t *forwarding, relay_hub_t *hub)
{
	g_autoptr(GPtrArray) sessions = list_sessions(forwarding);

	for (guint i = 0; i < sessions->len; i++) {
		forwarding_session_t *session = sessions->pdata[i];

		if (session->subscriber)
			forwarding_session_end(session);
	}
	forwarding->hub = hub;
}

void relay_forwarding_destroy(relay_forwarding_t *forwarding)
{
	g_autoptr(GPtrArray) sessions = NULL;

	if (!forwarding)
		return;
	sessions = list_sessions(forwarding);
	for (guint i = 0; i < sessions->len; i++)
		forwarding_session_free(sessions->pdata[i]);
	if (forwarding->listener)
		evconnlistener_free(forwarding->listener);
	g_hash_table_destroy(forwarding->sessions);
	g_free(forwarding);
}

void relay_forwarding_drain(relay_forwarding_t *forwarding)
{
	g_autoptr(GPtrArray) sessions = list_sessions(forwarding);

	forwarding->draining = true;
	for (guint i = 0; i < sessions->len; i++) {
		forwarding_session_t *session = sessions->pdata[i];

		if (session->closing)
			continue;
		if (session->subscriber ||
		    (!session->busy && !session->link && !session->begin_id))
			forwarding_session_close_soon(session);
	}
}

uint32_t relay_forwarding_finish(relay_forwarding_t *forwarding)
{
	g_autoptr(GPtrArray) sessions = list_sessions(forwarding);
	uint32_t cut = 0;

	forwarding->finishing = true;
	for (guint i = 0; i < sessions->len; i++) {
		forwarding_session_t *session = sessions->pdata[i];

		if (session->closing)
			continue;
		/* The other node knows what a broken connection means. */
		cut += session->attempt != NULL;
		if (session->busy && !session->attempt)
			forwarding_session_refuse_waiting(session, "leaving");
		else if (!session->busy)
			forwarding_session_end(session);
	}
	return cut;
}

uint32_t relay_forwarding_count(const relay_forwarding_t *forwarding)
{
	return g_hash_table_size(forwarding->sessions);
}

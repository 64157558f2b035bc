#include "daemon/peer_directory.h"

#include <string.h>

#include <glib.h>

#include "base/log.h"

/* A link that has not been used for this time is closed. */
#define LINK_IDLE_MS 60000

struct peer_directory {
	peer_socket_t *socket;
	const settings_t *settings;
	peer_directory_handlers_t handlers;
	GHashTable *peers; /* maps a name to a peer_t */
};

static void close_link(peer_t *peer)
{
	g_clear_pointer(&peer->link, peer_link_destroy);
}

static void peer_free(gpointer data)
{
	close_link(data);
	g_free(data);
}

peer_directory_t *peer_directory_create(peer_socket_t *socket,
					const settings_t *settings,
					peer_directory_handlers_t handlers)
{
	peer_directory_t *directory = g_new0(peer_directory_t, 1);

	directory->socket = socket;
	directory->settings = settings;
	directory->handlers = handlers;
	directory->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	return directory;
}

void peer_directory_destroy(peer_directory_t *directory)
{
	if (!directory)
		return;
	g_hash_table_destroy(directory->peers);
	g_free(directory);
}

const peer_t *peer_directory_find(const peer_directory_t *directory,
				  const char *name)
{
	return g_hash_table_lookup(directory->peers, name);
}

static peer_t *find_or_add(peer_directory_t *directory, const char *name)
{
	peer_t *peer = g_hash_table_lookup(directory->peers, name);

	if (peer)
		return peer;
	peer = g_new0(peer_t, 1);
	g_strlcpy(peer->name, name, sizeof(peer->name));
	g_hash_table_insert(directory->peers, peer->name, peer);
	return peer;
}

static peer_link_t *open_link(peer_directory_t *directory, peer_t *peer,
			      uint64_t now_ms)
{
	endpoint_t endpoint;

	peer->used_ms = now_ms;
	if (peer->link)
		return peer->link;
	endpoint =
		settings_route(directory->settings, peer->address, peer->port);
	peer->link = peer_link_create(directory->socket, endpoint.address,
				      endpoint.port);
	directory->handlers.opened(directory->handlers.context, peer->link);
	return peer->link;
}

peer_link_t *peer_directory_link(peer_directory_t *directory, const char *name,
				 uint64_t now_ms)
{
	peer_t *peer = g_hash_table_lookup(directory->peers, name);

	if (!peer || !peer->port)
		return NULL;
	return open_link(directory, peer, now_ms);
}

peer_link_t *peer_directory_link_seed(peer_directory_t *directory,
				      const endpoint_t *seed, uint64_t now_ms)
{
	g_autofree char *name =
		g_strdup_printf("%s:%u", seed->address, seed->port);
	peer_t *peer = find_or_add(directory, name);

	peer->is_seed = true;
	peer->port = seed->port;
	g_strlcpy(peer->address, seed->address, sizeof(peer->address));
	return open_link(directory, peer, now_ms);
}

static void update_member(peer_directory_t *directory, const member_t *member)
{
	peer_t *peer = find_or_add(directory, member->name);
	const bool is_dead = member->state == MEMBER_DEAD;
	const bool died = is_dead && !peer->is_dead;
	const bool restarted =
		peer->incarnation && peer->incarnation != member->incarnation;
	const bool moved = peer->port != member->peer_port ||
			   strcmp(peer->address, member->address);

	peer->is_in_view = true;
	peer->is_dead = is_dead;
	peer->incarnation = member->incarnation;
	if (died || restarted)
		directory->handlers.changed(directory->handlers.context, peer);
	if (died || restarted || moved)
		close_link(peer);
	g_strlcpy(peer->address, member->address, sizeof(peer->address));
	peer->port = member->peer_port;
}

static gboolean remove_if_gone(gpointer key, gpointer value, gpointer context)
{
	peer_directory_t *directory = context;
	peer_t *peer = value;

	if (peer->is_in_view || peer->is_seed)
		return FALSE;
	peer->is_dead = true;
	directory->handlers.changed(directory->handlers.context, peer);
	return TRUE;
}

void peer_directory_update(peer_directory_t *directory,
			   const member_view_t *view)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((peer_t *)value)->is_in_view = false;
	for (uint32_t i = 0; i < view->members_count; i++)
		if (strcmp(view->members[i].name, directory->settings->node))
			update_member(directory, &view->members[i]);
	g_hash_table_foreach_remove(directory->peers, remove_if_gone,
				    directory);
}

void peer_directory_close_idle(peer_directory_t *directory, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, directory->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_t *peer = value;

		if (peer->link && peer->used_ms + LINK_IDLE_MS <= now_ms)
			close_link(peer);
	}
}

#ifndef DAEMON_PEER_DIRECTORY_H
#define DAEMON_PEER_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/settings.h"
#include "state/member_view.h"
#include "transport/peer_socket.h"

/** The peers of a node as the last view showed them, and the links to them. */
typedef struct peer_directory peer_directory_t;

/** One peer; owned by the directory. */
typedef struct {
	char name[sizeof(((member_t *)0)->name)];
	char address[sizeof(((member_t *)0)->address)];
	uint16_t port;
	uint64_t incarnation; /**< 0 while it is not known */
	bool is_dead;
	bool is_in_view;
	bool is_seed;	   /**< known by address only, under that as a name */
	peer_link_t *link; /**< NULL while there is nothing to send */
	uint64_t used_ms;
} peer_t;

/** What the directory tells its task. */
typedef struct {
	/** A link was opened: the peer has to learn who speaks to it. */
	void (*opened)(void *context, peer_link_t *link);
	/**
	 * A peer died, restarted or was dropped. Its link is still there, but
	 * is closed after this call.
	 */
	void (*changed)(void *context, const peer_t *peer);
	void *context;
} peer_directory_calls_t;

peer_directory_t *peer_directory_create(peer_socket_t *socket,
					const settings_t *settings,
					peer_directory_calls_t calls);

/** Closes all links; NULL is allowed. */
void peer_directory_destroy(peer_directory_t *directory);

/** @return the peer of that name, or NULL. */
const peer_t *peer_directory_find(const peer_directory_t *directory,
				  const char *name);

/** @return the link to a peer, opened if need be; NULL if it has no address. */
peer_link_t *peer_directory_link(peer_directory_t *directory, const char *name,
				 uint64_t now_ms);

/** @return the link to a seed, opened if need be. */
peer_link_t *peer_directory_seed(peer_directory_t *directory,
				 const endpoint_t *seed, uint64_t now_ms);

/** Brings peers and links in line with a view. */
void peer_directory_follow(peer_directory_t *directory,
			   const member_view_t *view);

/** Closes links that nothing was sent on for a while. */
void peer_directory_close_idle(peer_directory_t *directory, uint64_t now_ms);

#endif

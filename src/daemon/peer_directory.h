#ifndef DAEMON_PEER_DIRECTORY_H
#define DAEMON_PEER_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/settings.h"
#include "state/member_view.h"
#include "transport/peer_socket.h"

/** The peers of a node in the last membership view, and their links. */
typedef struct peer_directory peer_directory_t;

/** One peer; owned by the directory. */
typedef struct {
	char name[sizeof(((member_t *)0)->name)];
	char address[sizeof(((member_t *)0)->address)];
	uint16_t port;
	uint64_t incarnation; /**< incarnation of the peer, 0 if unknown */
	bool is_dead;
	bool is_in_view;
	bool is_seed;	   /**< only the address is known; name is IP:port */
	peer_link_t *link; /**< link to the peer; NULL until it is used */
	uint64_t used_ms;  /**< time of the last use of the link */
} peer_t;

/** Callbacks from the directory to its task. */
typedef struct {
	/** Called for a new link; the task has to introduce this node on it. */
	void (*opened)(void *context, peer_link_t *link);
	/**
	 * Called when a peer died, restarted or left the view. Its link is
	 * still open and is closed after this call.
	 */
	void (*changed)(void *context, const peer_t *peer);
	void *context;
} peer_directory_handlers_t;

peer_directory_t *peer_directory_create(peer_socket_t *socket,
					const settings_t *settings,
					peer_directory_handlers_t handlers);

/** Closes all links; NULL is allowed. */
void peer_directory_destroy(peer_directory_t *directory);

/** @return the peer of that name, or NULL. */
const peer_t *peer_directory_find(const peer_directory_t *directory,
				  const char *name);

/**
 * Opens the link if necessary.
 *
 * @return the link to a peer, or NULL if its address is not known
 */
peer_link_t *peer_directory_link(peer_directory_t *directory, const char *name,
				 uint64_t now_ms);

/** Opens the link if necessary. @return the link to a seed */
peer_link_t *peer_directory_link_seed(peer_directory_t *directory,
				      const endpoint_t *seed, uint64_t now_ms);

/** Updates peers and links to match a membership view. */
void peer_directory_update(peer_directory_t *directory,
			   const member_view_t *view);

/** Closes idle links. */
void peer_directory_close_idle(peer_directory_t *directory, uint64_t now_ms);

#endif

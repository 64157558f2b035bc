#ifndef DAEMON_PEER_SERVED_H
#define DAEMON_PEER_SERVED_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/peers_task.h"
#include "protocol/peer_message.h"

/** Maximum size of a part of an answer in one message, in bytes. */
#define PEER_SERVED_PART_BYTES (256u * 1024)

/**
 * The running requests of peers. No request runs twice. When a peer dies or
 * restarts, its requests are cancelled and its transactions are released.
 */
typedef struct peer_served peer_served_t;

/** Callbacks to the task that owns the links. */
typedef struct {
	/** Sends to a peer. @return false if it cannot be queued */
	bool (*send)(void *context, const char *node,
		     const peer_message_t *message);
	void *context;
} peer_served_link_t;

peer_served_t *peer_served_create(peer_served_link_t link,
				  const peers_handlers_t *handlers);

/** Frees all requests; no sink may be called afterwards. */
void peer_served_destroy(peer_served_t *served);

/** Runs a request; drops a duplicate. */
void peer_served_request(peer_served_t *served, const peer_message_t *message);

/**
 * Handles an inquiry whether a request has arrived. A request that has not
 * arrived is answered as not run and is dropped if it arrives later.
 */
void peer_served_inquiry(peer_served_t *served, const peer_message_t *message);

/** Cancels a running request. */
void peer_served_cancel(peer_served_t *served, const peer_message_t *message,
			uint64_t now_ms);

/** Releases a transaction whose lease the peer has. */
void peer_served_release(peer_served_t *served, const peer_message_t *message);

/**
 * Cancels the requests and releases the transactions of other incarnations of
 * a peer.
 *
 * @param incarnation the live incarnation, 0 when the peer is dead
 */
void peer_served_peer_changed(peer_served_t *served, const char *node,
			      uint64_t incarnation, uint64_t now_ms);

/** Removes a peer that is no longer a member; it must be dead already. */
void peer_served_forget(peer_served_t *served, const char *node);

/** Removes requests that were cancelled long ago. */
void peer_served_run(peer_served_t *served, uint64_t now_ms);

/** @return number of requests that run or await removal. */
uint32_t peer_served_count(const peer_served_t *served);

/** @return number of duplicate requests that were dropped. */
uint64_t peer_served_duplicates(const peer_served_t *served);

#endif

#ifndef DAEMON_PEER_SERVED_H
#define DAEMON_PEER_SERVED_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/peers_task.h"
#include "protocol/peer_message.h"

/** Largest part of an answer in one message, in bytes. */
#define PEER_SERVED_PART_BYTES (256u * 1024)

/**
 * The requests that peers have sent to this node, while they run. None runs
 * twice. When a peer dies or restarts, what it asked for is cancelled and the
 * transactions that it held are released.
 */
typedef struct peer_served peer_served_t;

/** What is needed of the task that owns the links. */
typedef struct {
	/** Sends to a peer. @return false if it cannot even be queued */
	bool (*send)(void *context, const char *node,
		     const peer_message_t *message);
	void *context;
} peer_served_link_t;

peer_served_t *peer_served_create(peer_served_link_t link,
				  const peers_handlers_t *handlers);

/** Frees what is kept; to be called once no sink is called any more. */
void peer_served_destroy(peer_served_t *served);

/** Takes in a request, unless it was seen before. */
void peer_served_request(peer_served_t *served, const peer_message_t *message);

/**
 * Takes in the question whether a request has arrived. If it has not, it is
 * answered as not run, and refused should it still come.
 */
void peer_served_inquiry(peer_served_t *served, const peer_message_t *message);

/** Takes in a cancel. */
void peer_served_cancel(peer_served_t *served, const peer_message_t *message,
			uint64_t now_ms);

/** Takes in a release of a transaction that the peer holds. */
void peer_served_release(peer_served_t *served, const peer_message_t *message);

/**
 * Gives up what other incarnations of a peer have asked for.
 *
 * @param incarnation the one that lives, 0 when the peer is dead
 */
void peer_served_peer_changed(peer_served_t *served, const char *node,
			      uint64_t incarnation, uint64_t now_ms);

/** Forgets a peer that is no member any more; it has to be dead before. */
void peer_served_forget(peer_served_t *served, const char *node);

/** Forgets requests that were cancelled long ago. */
void peer_served_run(peer_served_t *served, uint64_t now_ms);

/** @return how many requests run or are still to be forgotten. */
uint32_t peer_served_count(const peer_served_t *served);

/** @return how many requests came twice and were dropped. */
uint64_t peer_served_duplicates(const peer_served_t *served);

#endif

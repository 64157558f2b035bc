#ifndef DAEMON_PEER_CALLS_H
#define DAEMON_PEER_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_message.h"
#include "protocol/request.h"

/**
 * The requests that this node has forwarded to peers and whose answers it
 * waits for. Each ends exactly once: by its answer, by the death or restart
 * of the peer, or by time. Whatever comes late, twice or from the wrong
 * incarnation is dropped.
 */
typedef struct peer_calls peer_calls_t;

/** What the calls need of the task that owns the links. */
typedef struct {
	/** Sends to a peer. @return false if it cannot even be queued */
	bool (*send)(void *context, const char *node,
		     const peer_message_t *message);
	/** @return true if the request was taken back and never left */
	bool (*withdraw)(void *context, const char *node, uint64_t call_id);
	void *context;
} peer_calls_link_t;

/** Counts of answers that were not delivered. */
typedef struct {
	uint64_t late_count;  /**< no such call, or another incarnation */
	uint64_t twice_count; /**< a chunk that had come before */
	uint64_t gap_count;   /**< answers with a chunk missing */
} peer_calls_drops_t;

peer_calls_t *peer_calls_create(peer_calls_link_t link);

/** Frees the calls without ending them. */
void peer_calls_destroy(peer_calls_t *calls);

/**
 * Forwards a request.
 *
 * @param own  incarnation of this node
 * @param peer incarnation of @p node, 0 while it is not known
 */
void peer_calls_submit(peer_calls_t *calls, const char *node, uint64_t own,
		       uint64_t peer, const request_t *request,
		       answer_sink_t sink, uint64_t now_ms);

/** Ends a request without sending it, from the next peer_calls_run(). */
void peer_calls_refuse(peer_calls_t *calls, const request_t *request,
		       reason_t reason, answer_sink_t sink, uint64_t now_ms);

/** Gives up a request; its sink is not called again. */
void peer_calls_cancel(peer_calls_t *calls, uint64_t request_id,
		       void *sink_context, uint64_t now_ms);

/** Takes in a chunk or an end. */
void peer_calls_answer(peer_calls_t *calls, const peer_message_t *message,
		       uint64_t now_ms);

/**
 * Ends what was asked of other incarnations of a peer.
 *
 * @param incarnation the one that lives, 0 when the peer is dead
 */
void peer_calls_peer_changed(peer_calls_t *calls, const char *node,
			     uint64_t incarnation);

/** Ends what is out of time. */
void peer_calls_run(peer_calls_t *calls, uint64_t now_ms);

/** @return how many calls are to be run or waited for. */
uint32_t peer_calls_count(const peer_calls_t *calls);

peer_calls_drops_t peer_calls_drops(const peer_calls_t *calls);

#endif

#ifndef DAEMON_PEER_CALLS_H
#define DAEMON_PEER_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_message.h"
#include "protocol/request.h"

/**
 * The requests that this node has forwarded to peers and that await an
 * answer. Each request ends exactly once: by its answer, by the death or
 * restart of the peer, or by its deadline. Messages that arrive late, twice or
 * from the wrong incarnation are dropped.
 */
typedef struct peer_calls peer_calls_t;

/** Callbacks to the task that owns the links. */
typedef struct {
	/** Sends to a peer. @return false if it cannot be queued */
	bool (*send)(void *context, const char *node,
		     const peer_message_t *message);
	/**
	 * Removes a request from the send queue.
	 *
	 * @return true if the request was still queued and thus not sent
	 */
	bool (*withdraw)(void *context, const char *node, uint64_t call_id);
	void *context;
} peer_calls_link_t;

/** Counts of answers that were not delivered. */
typedef struct {
	uint64_t late_count; /**< messages of unknown calls or incarnations */
	uint64_t duplicate_count; /**< duplicate chunks */
	uint64_t gap_count;	  /**< answers with a missing chunk */
} peer_calls_drops_t;

peer_calls_t *peer_calls_create(peer_calls_link_t link);

/** Frees all calls without calling their sinks. */
void peer_calls_destroy(peer_calls_t *calls);

/**
 * Forwards a request to the peer @p node.
 *
 * @param own  incarnation of this node
 * @param peer incarnation of @p node, 0 while it is not known
 */
void peer_calls_submit(peer_calls_t *calls, const char *node, uint64_t own,
		       uint64_t peer, const request_t *request,
		       answer_sink_t sink, uint64_t now_ms);

/** Ends a request unsent; the next peer_calls_run() calls its sink. */
void peer_calls_refuse(peer_calls_t *calls, const request_t *request,
		       reason_t reason, answer_sink_t sink, uint64_t now_ms);

/** Cancels a request; its sink is not called again. */
void peer_calls_cancel(peer_calls_t *calls, uint64_t request_id,
		       void *sink_context, uint64_t now_ms);

/** Handles a chunk or the end of an answer. */
void peer_calls_answer(peer_calls_t *calls, const peer_message_t *message,
		       uint64_t now_ms);

/**
 * Ends the requests that were sent to other incarnations of a peer.
 *
 * @param incarnation the live incarnation, 0 when the peer is dead
 */
void peer_calls_peer_changed(peer_calls_t *calls, const char *node,
			     uint64_t incarnation);

/**
 * Ends requests past a deadline, sends inquiries that are due and reports
 * settled results to the sinks.
 */
void peer_calls_run(peer_calls_t *calls, uint64_t now_ms);

/** @return number of calls that have not been removed. */
uint32_t peer_calls_count(const peer_calls_t *calls);

peer_calls_drops_t peer_calls_drops(const peer_calls_t *calls);

#endif

#ifndef RELAY_RELAY_HUB_H
#define RELAY_RELAY_HUB_H

#include "relay/relay_hub_message.h"
#include "relay/relay_service.h"

/**
 * Serves the other nodes of the failure domain with what this node reads from
 * the store, with proofs of the primaries and with points of their logs. A
 * request is answered when something changes, or after a short wait; the next
 * request acknowledges the answer.
 *
 * Load pattern: all nodes of a domain start at once. A hub that has read
 * nothing yet holds requests; it answers them all when it has read both
 * streams, and again when it can first prove a primary.
 */
typedef struct relay_hub relay_hub_t;

/** One connected node. */
typedef struct relay_hub_subscriber relay_hub_subscriber_t;

/**
 * Sends an answer.
 *
 * @param rows const char *, valid during the call
 */
typedef void (*relay_hub_reply_t)(void *context, const GPtrArray *rows);

relay_hub_t *relay_hub_create(relay_services_t *services);

/** All subscribers must have left. NULL is allowed. */
void relay_hub_destroy(relay_hub_t *hub);

/** Records a change of the store. */
void relay_hub_put(relay_hub_t *hub, hub_stream_t stream,
		   const kv_item_t *item);

/** Records that all changes up to @p revision were put; answers requests. */
void relay_hub_synced(relay_hub_t *hub, hub_stream_t stream, int64_t revision);

/** @return whether the node has read both streams and may serve others */
bool relay_hub_is_open(const relay_hub_t *hub);

relay_hub_subscriber_t *relay_hub_join(relay_hub_t *hub,
				       relay_hub_reply_t reply, void *context);
void relay_hub_leave(relay_hub_subscriber_t *subscriber);

/** Handles a request; the reply may be sent before this returns. */
void relay_hub_request(relay_hub_subscriber_t *subscriber,
		       const hub_request_t *request);

/** @return number of subscribers */
uint32_t relay_hub_count(const relay_hub_t *hub);

/**
 * Calls @p settled once no subscriber can use a proof that it got without the
 * primary records up to @p revision; DELEGATION_ALL waits for all proofs, and
 * no new ones are given meanwhile. At most one wait is active, a new one
 * replaces it.
 */
void relay_hub_settle(relay_hub_t *hub, int64_t revision,
		      void (*settled)(void *context, int64_t revision),
		      void *context);

/** @return whether no subscriber can use a proof that it was given */
bool relay_hub_is_settled(const relay_hub_t *hub);

/** Stops giving proofs, permanently. */
void relay_hub_close(relay_hub_t *hub);

#endif

#ifndef COORDINATION_TAKEOVER_ORDER_H
#define COORDINATION_TAKEOVER_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The last order to promote a server of one service. An order takes effect some
 * time after it was sent, whatever becomes of the node that sent it; until then
 * the servers do not know of it. So another server is ordered only after that
 * time, and no server but the ordered one is published as the primary before
 * its own promotion was ordered. The module does no I/O and reads no clock.
 */

/** Maximum time from the answer to an order until it takes effect. */
#define TAKEOVER_ORDER_EFFECT_MS 1300u

/** The result of an order to promote a server. */
typedef enum {
	TAKEOVER_PROMOTED,
	TAKEOVER_NOT_RUNNING, /**< the server cannot become primary */
	TAKEOVER_UNKNOWN,     /**< the promotion may still take effect */
	TAKEOVER_NOT_DONE,    /**< it was not ordered; may be ordered again */
} takeover_promoted_t;

/** Initially zero: nothing was ordered. */
typedef struct {
	char server[64]; /**< server last ordered, "" if none or unknown */
	bool unknown;	 /**< some server may have been ordered */
	bool assumed;	 /**< another holder may have sent orders for it */
	uint32_t sent;	 /**< orders that this holder sent and that count */
	/** Until when they may take effect; UINT64_MAX without an answer. */
	uint64_t until_ms;
	uint64_t before_ms; /**< the same without the last order */
	/** When one was accepted, since which the server has answered, or 0. */
	uint64_t accepted_ms;
	uint64_t number; /**< rises with each order; tells answers apart */
} takeover_order_t;

/**
 * Records what an earlier holder of the coordinator lease may have ordered.
 *
 * @param server   its id, "" if nothing was ordered, NULL if that is unknown
 * @param until_ms until when its order may take effect
 */
void takeover_order_assume(takeover_order_t *order, const char *server,
			   uint64_t until_ms);

/**
 * Prepares for the next takeover: a server that became primary may be ordered
 * anew, and what was accepted before proves nothing.
 */
void takeover_order_restart(takeover_order_t *order, const char *primary,
			    uint64_t now_ms);

/** Records that an order is being sent, to a server that may be ordered. */
void takeover_order_sent(takeover_order_t *order, const char *server);

/** Records the answer to the order sent last. */
void takeover_order_answered(takeover_order_t *order,
			     takeover_promoted_t result, uint64_t now_ms);

/**
 * Records that the server answers as the new primary. That ends an order that
 * was the only one; others may still take effect.
 */
void takeover_order_seen(takeover_order_t *order, const char *server);

/**
 * Records that the ordered server was silent: an order that was accepted may
 * have been lost, so that it proves nothing.
 */
void takeover_order_doubted(takeover_order_t *order);

/** @return whether the order sent last was answered, or has failed */
bool takeover_order_is_answered(const takeover_order_t *order);

/** @return whether an order may still take effect */
bool takeover_order_is_open(const takeover_order_t *order, uint64_t now_ms);

/**
 * @return whether an order makes it possible that another server than the
 *         given one is, or becomes, the primary
 */
bool takeover_order_excludes(const takeover_order_t *order, const char *server);

#endif

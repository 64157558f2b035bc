#ifndef COORDINATION_DELEGATION_H
#define COORDINATION_DELEGATION_H

#include <stdint.h>

/**
 * Tracks until when other nodes may rely on proofs of the primaries that this
 * node passed on to them. A node must not confirm a takeover, or register a new
 * lease, while a node that does not know of the takeover may still use such a
 * proof. Load pattern: one of a few nodes with leases serves tens of nodes
 * without, of which some are frozen, cut off or killed when a primary is
 * replaced.
 *
 * A holder asks, is answered, and asks again: the next request shows that it
 * has applied the answer, which replaced all earlier proofs. Times are on this
 * node's boot clock, in milliseconds.
 */
typedef struct delegation delegation_t;

/** Revision above all others: counts every proof that may be in use. */
#define DELEGATION_ALL INT64_MAX

delegation_t *delegation_create(void);

/** NULL is allowed. */
void delegation_destroy(delegation_t *delegation);

/**
 * Records that a holder's request arrived: it has applied the last answer.
 *
 * @param revision the holder has read all primary records up to it
 */
void delegation_requested(delegation_t *delegation, uint64_t holder,
			  int64_t revision);

/**
 * Records an answer to a holder.
 *
 * @param revision the answer contains all primary records up to it
 * @param until_ms end of the proofs in the answer, 0 for none
 */
void delegation_answered(delegation_t *delegation, uint64_t holder,
			 int64_t revision, uint64_t until_ms);

/**
 * Records that a holder's connection ended. Its proofs count until they expire,
 * since the holder itself may live on.
 */
void delegation_left(delegation_t *delegation, uint64_t holder,
		     uint64_t now_ms);

/**
 * @return the latest end of a proof that may be in use by a holder that has not
 *         read all records up to @p revision, or 0
 */
uint64_t delegation_until_ms(const delegation_t *delegation, int64_t revision,
			     uint64_t now_ms);

#endif

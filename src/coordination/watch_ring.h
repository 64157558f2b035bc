#ifndef COORDINATION_WATCH_RING_H
#define COORDINATION_WATCH_RING_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_view.h"

/** Number of rings within each failure domain, and of rings across domains. */
#define WATCH_RING_COUNT 2

/** Maximum number of members to which one member sends heartbeats. */
#define WATCH_RING_TARGETS_MAX (2 * WATCH_RING_COUNT)

/** Maximum number of members whose heartbeats one member watches. */
#define WATCH_RING_WATCHED_MAX 16

/** A member at the other end of a heartbeat. */
typedef struct {
	const member_t *member;
	bool is_near; /**< in the same failure domain */
} watch_ring_peer_t;

/**
 * The members that exchange heartbeats with one member. All members are placed
 * on a few rings, on each in another order given by a hash of their names. On a
 * near ring a member sends to the next member of its own failure domain, on a
 * far ring to the next member of another domain. Each member therefore has the
 * same few partners however many members there are, and the rings together
 * spread updates in few steps.
 */
typedef struct {
	watch_ring_peer_t targets[WATCH_RING_TARGETS_MAX]; /**< receivers */
	uint32_t targets_count;
	watch_ring_peer_t watched[WATCH_RING_WATCHED_MAX]; /**< senders */
	uint32_t watched_count;
} watch_ring_t;

/**
 * Computes the partners of @p self.
 *
 * @param members all members on the rings, @p self among them
 */
watch_ring_t watch_ring_build(const member_t *const *members,
			      uint32_t members_count, const member_t *self);

#endif

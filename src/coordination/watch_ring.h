#ifndef COORDINATION_WATCH_RING_H
#define COORDINATION_WATCH_RING_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_view.h"

/** Rings within a failure domain, and rings across them. */
#define WATCH_RING_COUNT 2

/** Most members that one member sends heartbeats to. */
#define WATCH_RING_TARGETS_MAX (2 * WATCH_RING_COUNT)

/** Most members that one member watches. */
#define WATCH_RING_WATCHED_MAX 16

/** A member at the other end of a heartbeat. */
typedef struct {
	const member_t *member;
	bool is_near; /**< of the same failure domain */
} watch_ring_peer_t;

/**
 * Who sends heartbeats to whom. The members stand on a few rings, each in
 * another order drawn from their names. On a near ring a member sends to the
 * next one of its failure domain; on a far ring to the next one of another.
 * So each has the same few partners, however many members there are, and the
 * rings together spread news in few steps.
 */
typedef struct {
	watch_ring_peer_t targets[WATCH_RING_TARGETS_MAX];
	uint32_t targets_count;
	watch_ring_peer_t watched[WATCH_RING_WATCHED_MAX];
	uint32_t watched_count;
} watch_ring_t;

/**
 * Finds the partners of @p self.
 *
 * @param members those that take part, @p self among them
 */
watch_ring_t watch_ring_build(const member_t *const *members,
			      uint32_t members_count, const member_t *self);

#endif

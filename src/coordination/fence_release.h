#ifndef COORDINATION_FENCE_RELEASE_H
#define COORDINATION_FENCE_RELEASE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Decides when the fences are lifted that takeovers of one service have left.
 * An operation that lifts a fence does not say which one, so that it would lift
 * that of the next takeover as well. Hence only the holder of the coordinator
 * lease lifts fences, and only while it knows that nobody is replacing the
 * primary. Whoever loses the lease leaves the fences to the next holder, which
 * lifts all that it may find; so does the same node under a new lease. The
 * module does no I/O and reads no clock.
 */
typedef struct {
	uint64_t due_ms; /**< earliest time, 0 if there is nothing to lift */
} fence_release_t;

/** What a node knows of the coordinator's duty. */
typedef struct {
	bool held;    /**< it holds the lease */
	bool renewed; /**< the lease cannot have ended by now */
	/** It has read a record that says that no takeover is under way. */
	bool idle;
} fence_release_duty_t;

/** Records that fences may be left: a takeover ended, or the lease is new. */
void fence_release_schedule(fence_release_t *release, uint64_t now_ms);

/** Records that the lease was lost, or that the fences were lifted. */
void fence_release_cancel(fence_release_t *release);

/** @return whether the fences are to be lifted now */
bool fence_release_is_due(const fence_release_t *release,
			  const fence_release_duty_t *duty, uint64_t now_ms);

#endif

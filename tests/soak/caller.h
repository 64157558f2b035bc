#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "soak/history.h"
#include "world/site_world.h"

/**
 * A caller that runs in its own thread and writes and reads one item, which
 * no other caller writes.
 */
typedef struct caller caller_t;

/**
 * Starts a caller.
 *
 * @param number number of the caller, which sets its item, group and seed
 */
caller_t *caller_start(site_world_t *world, const site_plan_t *plan,
		       uint32_t number);

/** Stops the caller's thread and waits until the thread has ended. */
void caller_stop(caller_t *caller);

/** Stops the caller if it still runs, and frees it with its history. */
void caller_destroy(caller_t *caller);

/** @return the caller's history; to be read only after caller_stop() */
const history_t *caller_history(const caller_t *caller);

/** @return number of writes acknowledged so far */
uint32_t caller_acknowledged_writes(const caller_t *caller);

#endif

#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "soak/history.h"
#include "world/site_world.h"

/** A caller in a thread of its own, which writes and reads one item. */
typedef struct caller caller_t;

/** Starts it. */
caller_t *caller_start(site_world_t *world, const site_plan_t *plan,
		       uint32_t number);

/** Has it end, and waits for that. */
void caller_stop(caller_t *caller);
void caller_destroy(caller_t *caller);

const history_t *caller_history(const caller_t *caller);

/** @return writes acknowledged so far */
uint32_t caller_progress(const caller_t *caller);

#endif

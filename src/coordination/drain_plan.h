#ifndef COORDINATION_DRAIN_PLAN_H
#define COORDINATION_DRAIN_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The order in which a node leaves: it begins nothing that may not end in time,
 * answers what it has accepted, and only then gives up what answers need. All
 * times are on one clock, which the calling code passes; no event is needed for
 * the plan to be right, so a pause of the process is no special case.
 */

/** What the node has to do now. */
typedef enum {
	DRAIN_ACCEPT, /**< callers may still be sent here */
	DRAIN_CLOSE,  /**< accept no more callers */
	DRAIN_ANSWER, /**< answer everything that is accepted, once */
	DRAIN_LEAVE,  /**< give up leases and keys, once */
	DRAIN_EXIT,   /**< the process may end */
} drain_step_t;

/** One drain; zero before it. */
typedef struct {
	uint64_t begun_ms;	  /**< 0 while the node is not draining */
	uint64_t accept_until_ms; /**< before that an idle node stays */
	uint64_t transactions_ms; /**< end of transactions open at the start */
	uint64_t close_ms;	  /**< no more callers are accepted */
	uint64_t answer_ms;	  /**< everything accepted is answered */
	uint64_t leave_ms;	  /**< the answers are written */
	uint64_t exit_ms;	  /**< the process ends */
	uint64_t left_ms;	  /**< when DRAIN_LEAVE was returned, or 0 */
	bool answered;		  /**< DRAIN_ANSWER was returned */
} drain_plan_t;

/**
 * Begins a drain.
 *
 * @param grace_ms  time after which the process is killed
 * @param accept_ms time in which callers may still be sent to the node
 */
void drain_plan_begin(drain_plan_t *plan, uint64_t now_ms, uint32_t grace_ms,
		      uint32_t accept_ms);

bool drain_plan_is_begun(const drain_plan_t *plan);

/**
 * @param timeout_ms longest time that the statement may take
 * @return whether a statement that comes now can be answered in time. One that
 *         may take longer than half of the drain is taken to end in that half
 */
bool drain_plan_may_begin(const drain_plan_t *plan, uint64_t now_ms,
			  uint32_t timeout_ms);

/** As drain_plan_may_begin(), for the first statement of a transaction. */
bool drain_plan_may_begin_transaction(const drain_plan_t *plan, uint64_t now_ms,
				      uint32_t timeout_ms);

/** @return whether a transaction that began then must end by now */
bool drain_plan_ends_transaction(const drain_plan_t *plan, uint64_t began_ms,
				 uint64_t now_ms);

/** @return the latest time at which the node answers; UINT64_MAX if never */
uint64_t drain_plan_latest_ms(const drain_plan_t *plan);

/**
 * @param is_idle nothing is accepted that is not answered, and no caller is
 *                connected
 * @return what to do now; DRAIN_ANSWER comes before DRAIN_LEAVE unless the node
 *         is idle
 */
drain_step_t drain_plan_next(drain_plan_t *plan, uint64_t now_ms, bool is_idle);

#endif

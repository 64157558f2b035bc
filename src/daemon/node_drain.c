#include "daemon/node_private.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

#define DRAIN_POLL_MS 50u
/* After this idle time no peer forwards requests to a leaving node. */
#define DRAIN_QUIET_MS 1500u

static uint32_t node_busy(const node_t *node)
{
	return callers_task_busy_count(node->callers) +
	       dispatch_task_busy_count(node->dispatch) +
	       pool_task_busy_count(node->pool);
}

void node_drain_on_timer(evutil_socket_t fd, short what, void *context)
{
	node_t *node = context;
	const uint64_t now_ms = clock_now_ms();
	const uint32_t busy = node_busy(node);

	if (busy)
		node->drain_busy_ms = now_ms;
	switch (drain_plan_next(&node->drain, now_ms,
				now_ms >=
					node->drain_busy_ms + DRAIN_QUIET_MS)) {
	case DRAIN_ACCEPT:
	case DRAIN_CLOSE:
		return;
	case DRAIN_ANSWER:
		log_event(LOG_LEVEL_NOTICE, "drain_cut", "unfinished=%u", busy);
		callers_task_finish(node->callers);
		return;
	case DRAIN_LEAVE:
		log_event(LOG_LEVEL_NOTICE, "drained",
			  "unfinished=%u took_ms=%" PRIu64, busy,
			  now_ms - node->drain.begun_ms);
		return;
	case DRAIN_EXIT:
		event_base_loopbreak(node->base);
	}
}

void node_drain(node_t *node)
{
	const struct timeval interval = clock_timeval(DRAIN_POLL_MS);
	const config_t *config = config_task_current(node->config);

	if (drain_plan_is_begun(&node->drain))
		return;
	node->drain_busy_ms = clock_now_ms();
	drain_plan_begin(&node->drain, node->drain_busy_ms,
			 config ? config->limits.drain_ms : 0, DRAIN_QUIET_MS);
	log_event(LOG_LEVEL_NOTICE, "draining", "busy=%u", node_busy(node));
	peers_task_leave(node->peers);
	callers_task_drain(node->callers, &node->drain);
	event_add(node->drain_timer, &interval);
}

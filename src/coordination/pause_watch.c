#include "coordination/pause_watch.h"

void pause_watch_tick(pause_watch_t *watch, uint64_t now_ms)
{
	if (watch->last_tick_ms &&
	    now_ms - watch->last_tick_ms > PAUSE_NOTICED_MS)
		watch->resumed_ms = now_ms;
	watch->last_tick_ms = now_ms;
}

bool pause_watch_paused_since(const pause_watch_t *watch, uint64_t since_ms)
{
	return since_ms < watch->resumed_ms;
}

bool pause_watch_is_draining(const pause_watch_t *watch, uint64_t now_ms)
{
	return watch->resumed_ms && now_ms < watch->resumed_ms + PAUSE_DRAIN_MS;
}

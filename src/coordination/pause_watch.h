#ifndef COORDINATION_PAUSE_WATCH_H
#define COORDINATION_PAUSE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/** Gap between two ticks that shows that the process was paused. */
#define PAUSE_NOTICED_MS 400u
/** Time after a pause in which messages sent before its end still arrive. */
#define PAUSE_DRAIN_MS 1000u

/**
 * Detects pauses of this process. A request received before a pause must not be
 * run after it: its sender may have reported an unknown outcome in the meantime
 * and gone on. Initially all zero.
 */
typedef struct {
	uint64_t last_tick_ms; /**< time of the latest tick; 0 for none */
	uint64_t resumed_ms;   /**< end of the latest pause; 0 for none */
} pause_watch_t;

/** Records that the process runs; must be called each tick and before use. */
void pause_watch_tick(pause_watch_t *watch, uint64_t now_ms);

/** @return whether a pause of the process has ended after @p since_ms */
bool pause_watch_paused_since(const pause_watch_t *watch, uint64_t since_ms);

/** @return whether a message that arrives now may be from before the pause */
bool pause_watch_is_draining(const pause_watch_t *watch, uint64_t now_ms);

#endif

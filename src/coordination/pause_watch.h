#ifndef COORDINATION_PAUSE_WATCH_H
#define COORDINATION_PAUSE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

/** Silence of a process's own clock ticks that shows that it was paused. */
#define PAUSE_NOTICED_MS 400u
/** Time after a pause in which what had been underway still arrives. */
#define PAUSE_DRAIN_MS 1000u

/**
 * Notices that this process stood still. A request that came before the pause
 * must not be run after it: its sender may long have been told that its
 * outcome is unknown and have gone on. To be zeroed at the start.
 */
typedef struct {
	uint64_t noted_ms;
	uint64_t resumed_ms; /**< end of the latest pause; 0 for none */
} pause_watch_t;

/** Tells that the process runs; to be called each tick and before each use. */
void pause_watch_note(pause_watch_t *watch, uint64_t now_ms);

/** @return whether the process stood still at some time after @p since_ms */
bool pause_watch_paused_since(const pause_watch_t *watch, uint64_t since_ms);

/** @return whether what arrives now may have been sent before the pause */
bool pause_watch_is_draining(const pause_watch_t *watch, uint64_t now_ms);

#endif

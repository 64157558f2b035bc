#ifndef BASE_LOG_LIMIT_H
#define BASE_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum lines of one event that are written per window. */
#define LOG_LIMIT_LINES 3000
#define LOG_LIMIT_WINDOW_MS 10000
/** Maximum events with a counter of their own; all others share a counter. */
#define LOG_LIMIT_EVENTS 128

/** Rate limiter for log events. Callers pass the time. */
typedef struct log_limit log_limit_t;

log_limit_t *log_limit_create(void);

/** Frees the limiter; NULL is allowed. */
void log_limit_destroy(log_limit_t *limit);

/**
 * Counts one line of an event.
 *
 * @param now_ms   monotonic time
 * @param left_out receives, if the line may be written, the number of lines
 *                 omitted since the last one that was written
 * @return whether the line may be written
 */
bool log_limit_admit(log_limit_t *limit, const char *event, uint64_t now_ms,
		     uint32_t *left_out);

#endif

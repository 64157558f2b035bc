#ifndef BASE_LOG_LIMIT_H
#define BASE_LOG_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Lines of one event that are written within one window. */
#define LOG_LIMIT_LINES 3000
#define LOG_LIMIT_WINDOW_MS 10000
/** Events counted each on its own; all further ones share one count. */
#define LOG_LIMIT_EVENTS 128

/** Limits how often each event is logged. Decides by the time it is given. */
typedef struct log_limit log_limit_t;

log_limit_t *log_limit_create(void);

/** Frees the limiter; NULL is allowed. */
void log_limit_destroy(log_limit_t *limit);

/**
 * Counts one line of an event.
 *
 * @param now_ms   monotonic time
 * @param left_out receives how many lines were left out since the last one
 *                 that was admitted, when this one is
 * @return whether the line may be written
 */
bool log_limit_admit(log_limit_t *limit, const char *event, uint64_t now_ms,
		     uint32_t *left_out);

#endif

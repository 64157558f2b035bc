#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>

/** Levels as in syslog(3), by their numbers. */
typedef enum {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
} log_level_t;

/** Sets the name on each line and the highest level that is written. */
void log_open(const char *program, log_level_t highest);

/**
 * Writes one syslog-style line to standard output: time, program, level,
 * event name, then the formatted key=value fields. A repeating event is
 * limited in rate; the next line written tells how many were left out. A line
 * is dropped when the reader is too slow to take it.
 * Neither secrets nor row data may be given.
 *
 * @param event  one snake_case name for each kind of decision
 * @param format fields such as "database=%s term=%" PRIu64, or ""
 */
void log_event(log_level_t level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#endif

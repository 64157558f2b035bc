#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>

/** Log levels, numbered as in syslog(3). */
typedef enum {
	LOG_LEVEL_ERROR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
} log_level_t;

/** Sets the program name of each line and the highest level to write. */
void log_open(const char *program, log_level_t highest);

/**
 * Writes one syslog-style line to standard output: time, program, level,
 * event name, then the formatted key=value fields. The rate of each event is
 * limited; the next line of a limited event reports the number of omitted lines
 * as left_out. A line is dropped if writing it would block. Fields must contain
 * neither secrets nor row data. No text can leave its field or its line, see
 * log_fields.h.
 *
 * @param event  snake_case name of the event
 * @param format fields such as "database=%s term=%" PRIu64, or ""
 */
void log_event(log_level_t level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#endif

#ifndef BASE_LOG_FIELDS_H
#define BASE_LOG_FIELDS_H

#include <stdarg.h>
#include <stddef.h>

/**
 * Formats the fields of a log line as vsnprintf() does, but keeps each text
 * argument ("%s") within its field, whoever sent it. In a text, '?' replaces
 * control characters, line separators and bytes that are no UTF-8, also blanks
 * if the text is not between quotes; an apostrophe replaces a quote.
 *
 * @param text       receives the fields; cut off at @p size_bytes, with a
 *                   terminating zero
 * @param size_bytes size of @p text, at least 1
 * @param format     of key=value fields; no "*" but in "%.*s", no "%n"
 */
void log_fields_format(char *text, size_t size_bytes, const char *format,
		       va_list arguments);

#endif

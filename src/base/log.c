#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

static const char *log_program = "toucanhook";
static log_level_t log_highest = LOG_LEVEL_INFO;

static const char *level_name(log_level_t level)
{
	switch (level) {
	case LOG_LEVEL_ERROR:
		return "err";
	case LOG_LEVEL_WARNING:
		return "warning";
	case LOG_LEVEL_NOTICE:
		return "notice";
	case LOG_LEVEL_INFO:
		return "info";
	case LOG_LEVEL_DEBUG:
		return "debug";
	}
	return "unknown";
}

void log_open(const char *program, log_level_t highest)
{
	log_program = program;
	log_highest = highest;
}

void log_event(log_level_t level, const char *event, const char *format, ...)
{
	char fields[512];
	char stamp[32];
	struct timespec now;
	struct tm parts;
	va_list arguments;

	if (level > log_highest)
		return;
	va_start(arguments, format);
	vsnprintf(fields, sizeof(fields), format, arguments);
	va_end(arguments);
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	fprintf(stderr, "%s.%03ldZ %s %s: event=%s %s\n", stamp,
		now.tv_nsec / 1000000, log_program, level_name(level), event,
		fields);
}

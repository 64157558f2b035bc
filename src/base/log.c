#include "base/log.h"

#include <inttypes.h>
#include <stdarg.h>
#include <poll.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_fields.h"
#include "base/log_limit.h"

#define LOG_FIELDS_SIZE 1024
#define LOG_HEAD_SIZE 256

static const char *log_program = "toucanhook";
static log_level_t log_highest = LOG_LEVEL_INFO;
static log_limit_t *log_limit;
static uint64_t lines_dropped;

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

/* Drops the line if a slow reader would make the write block. */
static void put_line(const char *line, size_t size)
{
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, size) != (ssize_t)size)
		lines_dropped++;
}

static void write_line(log_level_t level, const char *event, const char *fields,
		       uint32_t left_out)
{
	char line[LOG_FIELDS_SIZE + LOG_HEAD_SIZE];
	char stamp[32];
	struct timespec now;
	struct tm parts;
	int size;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
	size = snprintf(line, sizeof(line), "%s.%03ldZ %s %s: event=%s", stamp,
			now.tv_nsec / 1000000, log_program, level_name(level),
			event);
	if (left_out)
		size += snprintf(line + size, sizeof(line) - (size_t)size,
				 " left_out=%" PRIu32, left_out);
	size += snprintf(line + size, sizeof(line) - (size_t)size, "%s%s\n",
			 *fields ? " " : "", fields);
	put_line(line, (size_t)size);
}

void log_event(log_level_t level, const char *event, const char *format, ...)
{
	char fields[LOG_FIELDS_SIZE];
	uint32_t left_out = 0;
	va_list arguments;

	if (level > log_highest)
		return;
	if (!log_limit)
		log_limit = log_limit_create();
	if (!log_limit_admit(log_limit, event, clock_now_ms(), &left_out))
		return;
	va_start(arguments, format);
	log_fields_format(fields, sizeof(fields), format, arguments);
	va_end(arguments);
	write_line(level, event, fields, left_out);
}

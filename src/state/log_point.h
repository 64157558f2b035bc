#ifndef STATE_LOG_POINT_H
#define STATE_LOG_POINT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * A point in a database's log: the term of a record and its position.
 * Points are ordered by term, then by position. The zero point precedes every
 * record.
 */
typedef struct {
	uint64_t term;
	uint64_t position; /**< bytes or records, depending on the backend */
} log_point_t;

/** @return below 0, 0 or above 0, as for strcmp(). */
int log_point_compare(log_point_t a, log_point_t b);

/** @return whether a log up to @p held includes @p wanted. */
bool log_point_covers(log_point_t held, log_point_t wanted);

/** @return the later of two points. */
log_point_t log_point_max(log_point_t a, log_point_t b);

#endif

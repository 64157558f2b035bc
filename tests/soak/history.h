#ifndef SOAK_HISTORY_H
#define SOAK_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** What a caller was told of its write. */
typedef enum {
	WRITE_ACKNOWLEDGED,
	WRITE_REFUSED, /**< with the promise that nothing is kept */
	WRITE_IN_DOUBT,
} write_state_t;

/**
 * What one caller wrote to an item that nobody else writes, and what it
 * read there. Checked when the run is over.
 */
typedef struct history history_t;

history_t *history_create(const char *item);
void history_destroy(history_t *history);

const char *history_item(const history_t *history);

/** @return data that was never written before; owned by the history */
const char *history_next_data(history_t *history);

/** Notes the end of the write of the data last given out. */
void history_wrote(history_t *history, write_state_t state, uint64_t now_ms);

/**
 * Notes a read.
 *
 * @param data       what it returned, "-" for nothing
 * @param started_ms when it was sent
 * @param age_ms     how old it may be; 0 for none
 */
void history_read(history_t *history, const char *data, uint64_t started_ms,
		  uint64_t age_ms);

/** @return writes that were acknowledged */
uint32_t history_acknowledged(const history_t *history);

/**
 * Checks all against what the servers say that they kept and lost.
 *
 * @param problems receives a line for each broken promise
 */
void history_check(const history_t *history, json_t *report,
		   GPtrArray *problems);

#endif

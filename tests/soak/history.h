#ifndef SOAK_HISTORY_H
#define SOAK_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/** The outcome of a write as the caller knows it. */
typedef enum {
	WRITE_ACKNOWLEDGED,
	WRITE_NO_EFFECT, /**< failed, guaranteed to have had no effect */
	WRITE_IN_DOUBT,	 /**< may or may not have taken effect */
} write_state_t;

/**
 * History of one caller's writes and reads of an item that no other caller
 * writes. The history is checked when the run has ended.
 */
typedef struct history history_t;

/** Creates an empty history of the item @p item. */
history_t *history_create(const char *item);
void history_destroy(history_t *history);

/** @return the item's name; owned by the history */
const char *history_item(const history_t *history);

/**
 * Adds a write, in doubt until history_record_write_result() records its
 * outcome.
 *
 * @return unique data for the write; owned by the history
 */
const char *history_next_data(history_t *history);

/**
 * Records the outcome of the write added last.
 *
 * @param now_ms when the write ended
 */
void history_record_write_result(history_t *history, write_state_t state,
				 uint64_t now_ms);

/**
 * Records a read.
 *
 * @param data       the data that was read, "-" for none
 * @param started_ms when the read was sent
 * @param age_ms     allowed staleness in milliseconds; 0 if the read must
 *                   see every write acknowledged before it was sent
 */
void history_record_read(history_t *history, const char *data,
			 uint64_t started_ms, uint64_t age_ms);

/** @return number of acknowledged writes */
uint32_t history_acknowledged(const history_t *history);

/**
 * Checks all writes and reads against the stand-in's report of the data that
 * the servers kept and rolled back.
 *
 * @param problems receives a line for each violated guarantee
 */
void history_check(const history_t *history, json_t *report,
		   GPtrArray *problems);

#endif

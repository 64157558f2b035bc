#ifndef STANDIN_BACKEND_JOURNAL_H
#define STANDIN_BACKEND_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "state/log_point.h"

/** Kind of a change; streams contain its number. */
typedef enum {
	CHANGE_CREATE, /**< creates a table */
	CHANGE_PUT,    /**< inserts or replaces a row */
	CHANGE_DELETE, /**< deletes a row */
} change_kind_t;

/** One change of one row, or the creation of a table. */
typedef struct {
	change_kind_t kind;
	char *table;
	char *key;
	char *value; /**< NULL for an SQL null */
} change_t;

/** The changes of one commit, which are replayed together. */
typedef struct {
	uint64_t term;
	uint64_t arrived_ms; /**< when this server committed or received it */
	GPtrArray *changes;  /**< of change_t; none in a term's first record */
} record_t;

/**
 * The log of one server. Positions count records from 1. Two logs that both
 * contain a (term, position) are equal up to that position.
 */
typedef struct {
	GPtrArray *records; /**< of record_t */
} journal_t;

change_t *change_new(change_kind_t kind, const char *table, const char *key,
		     const char *value);
void change_delete(void *change);

/** Creates a record; it takes ownership of @p changes. */
record_t *record_new(uint64_t term, uint64_t arrived_ms, GPtrArray *changes);

/** @return {"t":term,"c":[[kind,table,key,value],..]} */
json_t *record_to_json(const record_t *record);

/** @return the record, or NULL if @p node does not encode one. */
record_t *record_from_json(const json_t *node, uint64_t arrived_ms);

void journal_open(journal_t *journal);
void journal_close(journal_t *journal);

/**
 * Appends @p record to the log, which takes ownership of it.
 *
 * @return the point of the record
 */
log_point_t journal_append(journal_t *journal, record_t *record);

/** @return the point of the last record; the zero point of an empty log. */
log_point_t journal_end(const journal_t *journal);

/** @return the record at @p position, or NULL if there is none. */
const record_t *journal_at(const journal_t *journal, uint64_t position);

/**
 * @return [[term, last position],..] for each term in the log, from which
 *         another server finds the records that both logs share
 */
json_t *journal_term_ends(const journal_t *journal);

/**
 * @param term_ends what journal_term_ends() returned for the other log
 * @return last position up to which both logs are equal, or 0
 */
uint64_t journal_common_position(const journal_t *journal,
				 const json_t *term_ends);

/** Drops every record above @p position. */
void journal_truncate(journal_t *journal, uint64_t position);

#endif

#ifndef STANDIN_BACKEND_JOURNAL_H
#define STANDIN_BACKEND_JOURNAL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "state/log_point.h"

/** What a change does to a row. */
typedef enum {
	CHANGE_CREATE, /**< makes a table */
	CHANGE_PUT,
	CHANGE_DELETE,
} change_kind_t;

/** One change of one row. */
typedef struct {
	change_kind_t kind;
	char *table;
	char *key;
	char *value; /**< NULL for an SQL null */
} change_t;

/** One commit: all its changes hold, or none. */
typedef struct {
	uint64_t term;
	uint64_t arrived_ms; /**< when this server took it in */
	GPtrArray *changes;  /**< of change_t; empty at the start of a term */
} record_t;

/**
 * The log of one server. Positions count records from 1. Two logs that hold
 * the same (term, position) are equal up to it.
 */
typedef struct {
	GPtrArray *records; /**< of record_t */
} journal_t;

change_t *change_new(change_kind_t kind, const char *table, const char *key,
		     const char *value);
void change_delete(void *change);

/** Takes over @p changes. */
record_t *record_new(uint64_t term, uint64_t arrived_ms, GPtrArray *changes);

/** @return {"t":term,"c":[[kind,table,key,value],..]} */
json_t *record_to_json(const record_t *record);

/** @return the record, or NULL when @p node is not one. */
record_t *record_from_json(const json_t *node, uint64_t arrived_ms);

void journal_open(journal_t *journal);
void journal_close(journal_t *journal);

/** Takes over @p record. @return the point it has now */
log_point_t journal_append(journal_t *journal, record_t *record);

/** @return the end of the log; the zero point when it is empty. */
log_point_t journal_end(const journal_t *journal);

/** @return the record at @p position, or NULL. */
const record_t *journal_at(const journal_t *journal, uint64_t position);

/** @return [[term, last position],..], which tells two logs apart. */
json_t *journal_outline(const journal_t *journal);

/** @return last position that the log shares with that of @p outline. */
uint64_t journal_common(const journal_t *journal, const json_t *outline);

/** Drops every record above @p position. */
void journal_truncate(journal_t *journal, uint64_t position);

#endif

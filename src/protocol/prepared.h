#ifndef PROTOCOL_PREPARED_H
#define PROTOCOL_PREPARED_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/statement.h"

/** Most prepared statements of a session, and most bytes of them. */
#define PREPARED_MAX 1000
#define PREPARED_SIZE_BYTES_MAX (2u * 1024 * 1024)

/** A statement as a caller prepared it; reference-counted. */
typedef struct {
	GBytes *tail; /**< Parse message behind the name */
	statement_t *statement;
} prepared_t;

/** The prepared statements of one session by their names. */
typedef struct prepared_table prepared_table_t;

/**
 * @param statement its class; the reference is taken over
 * @return a statement with one reference
 */
prepared_t *prepared_new(const uint8_t *tail, size_t tail_size_bytes,
			 statement_t *statement);
prepared_t *prepared_ref(prepared_t *prepared);
void prepared_unref(void *prepared);

prepared_table_t *prepared_table_create(void);
void prepared_table_destroy(prepared_table_t *table);

/** @return the statement, or NULL; the table keeps its reference. */
prepared_t *prepared_table_find(const prepared_table_t *table,
				const char *name);

/**
 * Keeps a statement under a name, in place of one that has it.
 *
 * @return false when the table is full; the name then has none
 */
bool prepared_table_keep(prepared_table_t *table, const char *name,
			 prepared_t *prepared);
void prepared_table_drop(prepared_table_t *table, const char *name);
void prepared_table_clear(prepared_table_t *table);

#endif

#ifndef PROTOCOL_PREPARED_H
#define PROTOCOL_PREPARED_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/statement.h"

/** Limits of one session: number and total size of prepared statements. */
#define PREPARED_MAX 1000
#define PREPARED_SIZE_BYTES_MAX (2u * 1024 * 1024)

/** Statement that a caller prepared; reference-counted. */
typedef struct {
	GBytes *tail;		/**< body of the Parse message after the name */
	statement_t *statement; /**< classification of the SQL text */
} prepared_t;

/** Prepared statements of one session by name. */
typedef struct prepared_table prepared_table_t;

/**
 * Creates a prepared statement.
 *
 * @param tail      body of the Parse message after the name; copied
 * @param statement classification; the function takes over the reference
 * @return one reference
 */
prepared_t *prepared_new(const uint8_t *tail, size_t tail_size_bytes,
			 statement_t *statement);
prepared_t *prepared_ref(prepared_t *prepared);
void prepared_unref(void *prepared);

prepared_table_t *prepared_table_create(void);
void prepared_table_destroy(prepared_table_t *table);

/** @return the statement of that name, borrowed from the table, or NULL. */
prepared_t *prepared_table_find(const prepared_table_t *table,
				const char *name);

/**
 * Stores a statement under a name and replaces an older one of that name.
 *
 * @return false if the table is full; an older statement is removed all the
 *         same
 */
bool prepared_table_put(prepared_table_t *table, const char *name,
			prepared_t *prepared);
void prepared_table_drop(prepared_table_t *table, const char *name);
void prepared_table_clear(prepared_table_t *table);

#endif

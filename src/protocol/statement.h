#ifndef PROTOCOL_STATEMENT_H
#define PROTOCOL_STATEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What a text of SQL asks for, as far as routing needs to know. */
typedef enum {
	STATEMENT_EMPTY,     /**< nothing */
	STATEMENT_READ,	     /**< any server that is fresh enough */
	STATEMENT_WRITE,     /**< the primary; also what is not understood */
	STATEMENT_BEGIN,     /**< opens a transaction */
	STATEMENT_COMMIT,    /**< ends a transaction */
	STATEMENT_ROLLBACK,  /**< ends a transaction */
	STATEMENT_SAVEPOINT, /**< only has a meaning inside a transaction */
	STATEMENT_SET,	     /**< gives a session setting a value */
	STATEMENT_RESET,     /**< gives it its first value; no name for all */
	STATEMENT_SHOW,	     /**< asks for a setting of ours */
	STATEMENT_REFUSED,   /**< cannot work on shared server connections */
} statement_class_t;

/** A text of SQL, classified; plain data, reference-counted. */
typedef struct {
	statement_class_t statement_class;
	bool read_only;	    /**< BEGIN READ ONLY */
	bool parsed;	    /**< PostgreSQL's grammar accepts it */
	uint32_t count;	    /**< statements in the text */
	char *name;	    /**< setting of SET, RESET, SHOW; lower case */
	char *value;	    /**< value of SET as text; NULL for DEFAULT */
	const char *reason; /**< why REFUSED, for the caller */
} statement_t;

/** Classifies a text by PostgreSQL's own grammar. @return one reference */
statement_t *statement_parse(const char *sql);

/** Takes one more reference. */
statement_t *statement_ref(statement_t *statement);

/** Gives up a reference; the last one frees. NULL is allowed. */
void statement_unref(statement_t *statement);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(statement_t, statement_unref)

#endif

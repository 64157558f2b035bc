#ifndef PROTOCOL_STATEMENT_H
#define PROTOCOL_STATEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Class of an SQL text: where the text may run. */
typedef enum {
	STATEMENT_EMPTY,     /**< the text holds no statement */
	STATEMENT_READ,	     /**< may run on any server that is fresh enough */
	STATEMENT_WRITE,     /**< needs the primary; default for invalid SQL */
	STATEMENT_BEGIN,     /**< opens a transaction */
	STATEMENT_COMMIT,    /**< ends a transaction */
	STATEMENT_ROLLBACK,  /**< ends a transaction */
	STATEMENT_SAVEPOINT, /**< acts on the open transaction only */
	STATEMENT_SET,	     /**< sets a session setting */
	STATEMENT_RESET,     /**< resets a setting, or all if unnamed */
	STATEMENT_SHOW,	     /**< shows a setting of the proxy (toucanhook.*) */
	STATEMENT_REFUSED,   /**< unsupported: server connections are shared */
} statement_class_t;

/** Classification of one SQL text; reference-counted plain data. */
typedef struct {
	statement_class_t statement_class;
	bool read_only; /**< STATEMENT_BEGIN: opens a READ ONLY transaction */
	bool parsed;	/**< PostgreSQL's grammar accepts the text */
	uint32_t count; /**< number of statements in the text */
	char *name;  /**< setting named by SET, RESET or SHOW, in lower case */
	char *value; /**< value of SET as text; NULL for DEFAULT */
	const char *reason; /**< STATEMENT_REFUSED: the unsupported feature */
} statement_t;

/** Classifies an SQL text by PostgreSQL's grammar. @return one reference */
statement_t *statement_parse(const char *sql);

/** Adds a reference. @return @p statement */
statement_t *statement_ref(statement_t *statement);

/** Drops a reference and frees the last one; NULL is allowed. */
void statement_unref(statement_t *statement);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(statement_t, statement_unref)

#endif

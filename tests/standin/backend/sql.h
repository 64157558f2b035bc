#ifndef STANDIN_BACKEND_SQL_H
#define STANDIN_BACKEND_SQL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Maximum number of operands of a statement. */
#define SQL_OPERANDS_MAX 4
/** Maximum number of columns of a result. */
#define SQL_COLUMNS_MAX 16

/** The statements that the stand-in supports. */
typedef enum {
	SQL_UNSUPPORTED,
	SQL_CREATE,
	SQL_INSERT,
	SQL_UPDATE,
	SQL_DELETE,
	SQL_SELECT_KEY,	  /**< the row of a key */
	SQL_SELECT_ALL,	  /**< all rows of a table */
	SQL_SELECT_COUNT, /**< count of a table's rows, or of a key's */
	SQL_SELECT_CONSTANT,
	SQL_FUNCTION, /**< call of a function in a SELECT */
	SQL_BEGIN,
	SQL_COMMIT,
	SQL_ROLLBACK,
	SQL_SET,
	SQL_SHOW,
} sql_kind_t;

/** An operand of a statement: a constant or a parameter. */
typedef struct {
	uint32_t parameter; /**< number from 1; 0 for a constant */
	char *text;	    /**< the constant, NULL for an SQL null */
} sql_operand_t;

/** One parsed statement. */
typedef struct {
	sql_kind_t kind;
	char *name; /**< name of the table, function or setting */
	/** key and value of a row, arguments, constants, or value of a SET */
	sql_operand_t operands[SQL_OPERANDS_MAX];
	uint32_t operands_count;
	char *columns[SQL_COLUMNS_MAX]; /**< names of the result's columns */
	uint32_t columns_count;
	bool keep_existing; /**< IF NOT EXISTS or ON CONFLICT DO NOTHING */
	bool read_only;	    /**< BEGIN READ ONLY */
} sql_statement_t;

/** The parsed text of one Query or Parse message. */
typedef struct {
	GPtrArray *statements;	   /**< of sql_statement_t */
	uint32_t parameters_count; /**< highest parameter number */
	char *error;		   /**< the parser's error message, or NULL */
	uint32_t references;
} sql_script_t;

/** Parses @p text. @return the script, with one reference */
sql_script_t *sql_script_new(const char *text);

/** Adds a reference. */
sql_script_t *sql_script_ref(sql_script_t *script);

/** Releases a reference and frees the script with the last one. */
void sql_script_unref(void *script);

#endif

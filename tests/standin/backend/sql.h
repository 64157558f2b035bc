#ifndef STANDIN_BACKEND_SQL_H
#define STANDIN_BACKEND_SQL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Most operands of one statement. */
#define SQL_OPERANDS_MAX 4
/** Most columns of one answer. */
#define SQL_COLUMNS_MAX 16

/** What a statement does; the stand-in knows no others. */
typedef enum {
	SQL_UNSUPPORTED,
	SQL_CREATE,
	SQL_INSERT,
	SQL_UPDATE,
	SQL_DELETE,
	SQL_SELECT_KEY,	  /**< the row of a key */
	SQL_SELECT_ALL,	  /**< every row of a table */
	SQL_SELECT_COUNT, /**< rows of a table, or of one key */
	SQL_SELECT_CONSTANT,
	SQL_FUNCTION, /**< SELECT of a function's answer */
	SQL_BEGIN,
	SQL_COMMIT,
	SQL_ROLLBACK,
	SQL_SET,
	SQL_SHOW,
} sql_kind_t;

/** A constant or a parameter. */
typedef struct {
	uint32_t parameter; /**< number of the parameter; 0 for a constant */
	char *text;	    /**< the constant, NULL for an SQL null */
} sql_operand_t;

/** One statement. */
typedef struct {
	sql_kind_t kind;
	char *name; /**< table, function or setting */
	/** key and value of a row, arguments, constants or a new setting */
	sql_operand_t operands[SQL_OPERANDS_MAX];
	uint32_t operands_count;
	char *columns[SQL_COLUMNS_MAX]; /**< names of the answer's columns */
	uint32_t columns_count;
	bool keep_existing; /**< IF NOT EXISTS or ON CONFLICT DO NOTHING */
	bool read_only;	    /**< BEGIN READ ONLY */
} sql_statement_t;

/** The statements of one Query or Parse message. */
typedef struct {
	GPtrArray *statements; /**< of sql_statement_t */
	uint32_t parameters_count;
	char *error; /**< what the parser refused, or NULL */
	uint32_t references;
} sql_script_t;

/** @return the parsed text, with one reference. */
sql_script_t *sql_script_new(const char *text);

/** Takes one more reference. */
sql_script_t *sql_script_ref(sql_script_t *script);

/** Gives up a reference; the last one frees. */
void sql_script_unref(void *script);

#endif

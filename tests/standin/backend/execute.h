#ifndef STANDIN_BACKEND_EXECUTE_H
#define STANDIN_BACKEND_EXECUTE_H

#include "standin/backend/server.h"
#include "standin/backend/sql.h"

/** The transaction of one connection; no other connection sees its changes. */
typedef struct {
	char status;	     /**< as in ReadyForQuery: I, T or E */
	bool read_only;	     /**< BEGIN READ ONLY */
	uint64_t group_term; /**< SET group.term; 0 for none */
	GPtrArray *changes;  /**< of change_t, in order */
	uint64_t sleep_until_ms;
	uint64_t lock_until_ms;
} transaction_t;

/** How a statement ended. */
typedef enum {
	EXECUTE_DONE,
	EXECUTE_ERROR,
	EXECUTE_WAIT, /**< for a lock or the end of a sleep; ask again */
} execute_result_t;

/** What a statement gave. */
typedef struct {
	GByteArray *rows; /**< DataRow messages */
	char tag[64];
	char sqlstate[6];
	char message[256];
} execute_answer_t;

void transaction_open(transaction_t *transaction);

/** Rolls back and frees. */
void transaction_close(server_t *server, transaction_t *transaction);

/** Drops the changes and locks; the status becomes I. */
void transaction_rollback(server_t *server, transaction_t *transaction);

/** Makes the changes. @return EXECUTE_ERROR when the server must not */
execute_result_t transaction_commit(server_t *server,
				    transaction_t *transaction,
				    execute_answer_t *answer);

/** Runs one statement with its parameters, NULL for SQL nulls. */
execute_result_t execute_statement(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer);

/** @return whether the statement belongs to @p kind of transaction control. */
bool execute_is_control(const sql_statement_t *statement);

#endif

#ifndef STANDIN_BACKEND_ROWS_H
#define STANDIN_BACKEND_ROWS_H

#include "standin/backend/transaction.h"

/**
 * Runs CREATE, INSERT, UPDATE or DELETE. The changes are kept in the
 * transaction until its commit.
 */
execute_result_t rows_change(server_t *server, transaction_t *transaction,
			     const sql_statement_t *statement,
			     char *const *parameters, execute_answer_t *answer);

/** Runs a SELECT on a table, including the transaction's own changes. */
execute_result_t rows_select(server_t *server, transaction_t *transaction,
			     const sql_statement_t *statement,
			     char *const *parameters, execute_answer_t *answer);

#endif

#ifndef STANDIN_BACKEND_EXECUTE_H
#define STANDIN_BACKEND_EXECUTE_H

#include "standin/backend/transaction.h"

/**
 * Runs one statement and fills in @p answer.
 *
 * @param parameters values of the statement's parameters, NULL for an SQL null
 */
execute_result_t execute_statement(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer);

/** @return the operand's constant or parameter; NULL for an SQL null. */
const char *execute_operand(const sql_operand_t *operand,
			    char *const *parameters);

/** @return whether the statement is BEGIN, COMMIT or ROLLBACK. */
bool execute_is_control(const sql_statement_t *statement);

#endif

#ifndef STANDIN_BACKEND_EXECUTE_H
#define STANDIN_BACKEND_EXECUTE_H

#include "standin/backend/transaction.h"

/** Runs one statement with its parameters, NULL for SQL nulls. */
execute_result_t execute_statement(server_t *server, transaction_t *transaction,
				   const sql_statement_t *statement,
				   char *const *parameters,
				   execute_answer_t *answer);

/** @return the constant, or the parameter's value; NULL for an SQL null. */
const char *execute_operand(const sql_operand_t *operand,
			    char *const *parameters);

/** @return whether it is BEGIN, COMMIT or ROLLBACK. */
bool execute_is_control(const sql_statement_t *statement);

#endif

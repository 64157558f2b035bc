#ifndef STANDIN_BACKEND_TRANSACTION_H
#define STANDIN_BACKEND_TRANSACTION_H

#include "standin/backend/server.h"
#include "standin/backend/sql.h"

/** The transaction of one connection; no other connection sees its changes. */
typedef struct {
	char status;	     /**< as in ReadyForQuery: I, T or E */
	bool read_only;	     /**< BEGIN READ ONLY */
	uint64_t group_term; /**< SET replication.term; 0 for none */
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

/** Gives an error. @return EXECUTE_ERROR */
execute_result_t answer_fail(execute_answer_t *answer, const char *sqlstate,
			     const char *message);

/** Gives a command tag. @return EXECUTE_DONE */
execute_result_t answer_done(execute_answer_t *answer, const char *tag);

/** Gives a command tag with a number of rows. @return EXECUTE_DONE */
execute_result_t answer_rows(execute_answer_t *answer, const char *verb,
			     uint64_t rows);

/** @return EXECUTE_ERROR unless the server leads the connection's term. */
execute_result_t transaction_check_term(server_t *server,
					const transaction_t *transaction,
					execute_answer_t *answer);

#endif

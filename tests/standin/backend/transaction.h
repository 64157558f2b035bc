#ifndef STANDIN_BACKEND_TRANSACTION_H
#define STANDIN_BACKEND_TRANSACTION_H

#include "standin/backend/server.h"
#include "standin/backend/sql.h"

/**
 * Transaction state of one connection. Other connections see its changes only
 * after the commit.
 */
typedef struct {
	char status;		/**< as in ReadyForQuery: I, T or E */
	bool read_only;		/**< BEGIN READ ONLY */
	uint64_t required_term; /**< SET replication.term; 0 if it is not set */
	GPtrArray *changes;	/**< of change_t, in order */
	uint64_t sleep_until_ms; /**< end of a pg_sleep(), or 0 */
	uint64_t lock_until_ms;	 /**< deadline of a lock wait, or 0 */
} transaction_t;

/** Outcome of running a statement. */
typedef enum {
	EXECUTE_DONE,
	EXECUTE_ERROR,
	EXECUTE_WAIT, /**< for a lock or a sleep; run it again later */
} execute_result_t;

/** The answer to a statement: rows and a command tag, or an error. */
typedef struct {
	GByteArray *rows; /**< DataRow messages */
	char tag[64];
	char sqlstate[6];
	char message[256];
} execute_answer_t;

void transaction_open(transaction_t *transaction);

/** Rolls back and frees the transaction. */
void transaction_close(server_t *server, transaction_t *transaction);

/** Drops the changes, releases the locks and sets the status to I. */
void transaction_rollback(server_t *server, transaction_t *transaction);

/**
 * Commits the changes.
 *
 * @return EXECUTE_ERROR if the server is not the primary of the required term
 */
execute_result_t transaction_commit(server_t *server,
				    transaction_t *transaction,
				    execute_answer_t *answer);

/** Sets an error. @return EXECUTE_ERROR */
execute_result_t answer_fail(execute_answer_t *answer, const char *sqlstate,
			     const char *message);

/** Sets a command tag. @return EXECUTE_DONE */
execute_result_t answer_done(execute_answer_t *answer, const char *tag);

/** Sets a command tag with a number of rows. @return EXECUTE_DONE */
execute_result_t answer_rows(execute_answer_t *answer, const char *verb,
			     uint64_t rows);

/**
 * @return EXECUTE_ERROR if the connection set replication.term and the server
 *         is not the primary of that term
 */
execute_result_t transaction_check_term(server_t *server,
					const transaction_t *transaction,
					execute_answer_t *answer);

#endif

#ifndef STANDIN_BACKEND_SESSION_STATE_H
#define STANDIN_BACKEND_SESSION_STATE_H

#include "standin/backend/execute.h"
#include "standin/backend/session.h"
#include "standin/backend/wire.h"

/** A prepared statement. */
typedef struct {
	sql_script_t *script;
} prepared_t;

/** A portal: a prepared statement bound to parameters. */
typedef struct {
	sql_script_t *script;
	char **parameters; /**< values, NULL for an SQL null */
	uint32_t parameters_count;
} portal_t;

/** State of one connection. */
struct session {
	server_t *server;
	struct bufferevent *bev;
	struct event *timer; /**< end of a wait, see session_wait() */
	transaction_t transaction;
	GHashTable *prepared;	  /**< of prepared_t by name */
	GHashTable *portals;	  /**< of portal_t by name */
	uint32_t pid;		  /**< process id for a CancelRequest */
	uint32_t secret;	  /**< key for a CancelRequest */
	uint32_t statement_index; /**< next statement of a waiting Query */
	bool counted;		  /**< included in connections_open */
	bool started;		  /**< the start-up is complete */
	bool waiting;		  /**< the timer retries the current message */
	bool cancelled;		  /**< the waiting statement ends with 57014 */
	bool skipping_to_sync;	  /**< messages are ignored until Sync */
	bool closing; /**< the session ends when all output is sent */
};

/** Sends @p out, which contains whole messages. */
void session_send(session_t *session, GByteArray *out);

/** Suspends the current message and retries it after @p delay_ms. */
void session_wait(session_t *session, uint32_t delay_ms);

/** Appends a ReadyForQuery. */
void session_add_ready(const session_t *session, GByteArray *out);

/**
 * Appends the error in @p answer. It rolls back an implicit transaction and
 * marks an explicit one as failed.
 */
void session_add_answer_error(session_t *session, GByteArray *out,
			      const execute_answer_t *answer);

/** Does what session_add_answer_error() does with a given error. */
void session_add_error(session_t *session, GByteArray *out,
		       const char *sqlstate, const char *message);

/**
 * Runs a statement, or ends it if it was cancelled.
 *
 * @return false if the statement waits and the message must be retried
 */
bool session_run(session_t *session, const sql_statement_t *statement,
		 char *const *parameters, execute_answer_t *answer,
		 execute_result_t *result);

/**
 * Counts down the answers to drop after a commit.
 *
 * @param commits_before the server's count of commits before the message
 * @return whether the message committed and its answer must not be sent
 */
bool session_drops_answer(session_t *session, uint64_t commits_before);

/** Commits the implicit transaction, if no transaction block is open. */
execute_result_t session_commit(session_t *session, execute_answer_t *answer);

/**
 * Handles one message of the extended query protocol.
 *
 * @return false if the session must end
 */
bool extended_handle(session_t *session, char type, wire_reader_t *reader);

/** Frees a prepared_t. */
void extended_prepared_delete(void *data);

/** Frees a portal_t. */
void extended_portal_delete(void *data);

#endif

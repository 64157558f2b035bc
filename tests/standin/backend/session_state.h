#ifndef STANDIN_BACKEND_SESSION_STATE_H
#define STANDIN_BACKEND_SESSION_STATE_H

#include "standin/backend/execute.h"
#include "standin/backend/session.h"
#include "standin/backend/wire.h"

/** A named statement. */
typedef struct {
	sql_script_t *script;
} prepared_t;

/** A statement with its parameters. */
typedef struct {
	sql_script_t *script;
	char **parameters; /**< NULL for an SQL null */
	uint32_t parameters_count;
} portal_t;

/** One connection. */
struct session {
	server_t *server;
	struct bufferevent *bev;
	struct event *timer;
	transaction_t transaction;
	GHashTable *prepared; /**< of prepared_t by name */
	GHashTable *portals;  /**< of portal_t by name */
	uint32_t pid;
	uint32_t secret;
	uint32_t statement_index; /**< next of the Query that waits */
	bool counted;		  /**< holds one of the connections */
	bool started;
	bool waiting; /**< the timer goes on with the same message */
	bool cancelled;
	bool skipping; /**< an error drops messages until Sync */
	bool closing;  /**< once all is sent */
};

/** Sends whole messages. */
void session_send(session_t *session, GByteArray *out);

/** Goes on with the same message after @p delay_ms. */
void session_wait(session_t *session, uint32_t delay_ms);

/** Appends a ReadyForQuery. */
void session_add_ready(const session_t *session, GByteArray *out);

/** Appends an error, which ends or spoils the transaction. */
void session_add_failure(session_t *session, GByteArray *out,
			 const execute_answer_t *answer);

/** As session_add_failure() with the words given. */
void session_add_refusal(session_t *session, GByteArray *out,
			 const char *sqlstate, const char *message);

/** Runs a statement. @return false when it waits */
bool session_run(session_t *session, const sql_statement_t *statement,
		 char *const *parameters, execute_answer_t *answer,
		 execute_result_t *result);

/** @return whether a commit was made whose answer the test wants lost. */
bool session_loses_answer(session_t *session, uint64_t commits_before);

/** Commits what ran outside a transaction block. */
execute_result_t session_commit(session_t *session, execute_answer_t *answer);

/** Handles one message of the extended query protocol. @return false to end */
bool extended_handle(session_t *session, char type, wire_reader_t *reader);

/** Frees a prepared_t or a portal_t. */
void extended_prepared_delete(void *data);
void extended_portal_delete(void *data);

#endif

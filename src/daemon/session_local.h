#ifndef DAEMON_SESSION_LOCAL_H
#define DAEMON_SESSION_LOCAL_H

#include "daemon/session.h"
#include "protocol/statement.h"

/**
 * Executes a SET, RESET or SHOW of a session setting without a server, and
 * writes the rows and CommandComplete, or an ErrorResponse, to @p out.
 *
 * @param describe whether a RowDescription goes ahead of the rows
 * @return false if the statement failed
 */
bool session_local_execute(session_t *session, const statement_t *statement,
			   bool describe, GByteArray *out);

/** Answers a batch that executes only statements on session settings. */
void session_local_batch(session_t *session);

/**
 * Ends a transaction whose server connection is gone: clears the request key
 * and writes the CommandComplete of a ROLLBACK.
 */
void session_local_rollback(session_t *session, GByteArray *out);

/** Answers a batch that ends a transaction whose connection is gone. */
void session_local_rollback_batch(session_t *session);

#endif

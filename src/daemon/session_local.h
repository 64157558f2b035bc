#ifndef DAEMON_SESSION_LOCAL_H
#define DAEMON_SESSION_LOCAL_H

#include "daemon/session.h"
#include "protocol/statement.h"

/**
 * Carries out a statement on the session's own settings and writes its rows
 * and CommandComplete, or an ErrorResponse.
 *
 * @return false when it failed
 */
bool session_local_execute(session_t *session, const statement_t *statement,
			   bool describe, GByteArray *out);

/** Answers a batch that holds nothing but such statements. */
void session_local_batch(session_t *session);

/** Writes the CommandComplete that ends a transaction without a server. */
void session_local_rollback(session_t *session, GByteArray *out);

/** Answers a batch of such ends. */
void session_local_rollback_batch(session_t *session);

#endif

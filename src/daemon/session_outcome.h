#ifndef DAEMON_SESSION_OUTCOME_H
#define DAEMON_SESSION_OUTCOME_H

#include "daemon/session.h"

/** Writes a part of the answer to the caller. */
void session_outcome_chunk(session_t *session, GBytes *bytes);

/** Ends the running request and handles the caller's buffered messages. */
void session_outcome_end(session_t *session, const answer_t *answer);

/** Ends the running request without an answer from a server. */
void session_outcome_fail(session_t *session, outcome_t outcome,
			  reason_t reason);

/** Releases the transaction's server connection, if there is one. */
void session_release(session_t *session);

#endif

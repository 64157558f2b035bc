#ifndef DAEMON_SESSION_REQUEST_H
#define DAEMON_SESSION_REQUEST_H

#include "daemon/session.h"
#include "protocol/pg_frame.h"

/** Handles a message of a caller that is logged in. */
void session_request_message(session_t *session, const pg_message_t *message);

/** Submits the request @p bytes, after a barrier if it needs one. */
void session_request_run(session_t *session, GBytes *bytes,
			 const session_request_traits_t *traits);

/**
 * Cancels the running request and answers the caller with what is known of it.
 *
 * @param reason why it ends
 */
void session_request_end(session_t *session, reason_t reason);

/** @return the timeout of the session's next statement */
uint32_t session_request_timeout_ms(const session_t *session);

/** Cancels the running request and releases the lease without an answer. */
void session_request_abandon(session_t *session);

/** Writes an error and sets an open transaction to failed, as a server does. */
void session_request_refuse(session_t *session, const char *sqlstate,
			    const char *message, const char *hint);

/** Writes ReadyForQuery. */
void session_request_ready(session_t *session);

#endif

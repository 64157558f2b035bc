#ifndef DAEMON_SESSION_REQUEST_H
#define DAEMON_SESSION_REQUEST_H

#include "daemon/session.h"
#include "protocol/pg_frame.h"

/** Takes a message of a caller that is logged in. */
void session_request_message(session_t *session, const pg_message_t *message);

/** Submits what the caller asked for. */
void session_request_run(session_t *session, GBytes *bytes,
			 const session_work_t *work);

/** Cancels what runs and answers the caller. */
void session_request_cancel(session_t *session);

/** Cancels what runs; the caller is gone. */
void session_request_abandon(session_t *session);

/** Writes an error and leaves a transaction failed, as a server would. */
void session_request_refuse(session_t *session, const char *sqlstate,
			    const char *message, const char *hint);

/** Writes ReadyForQuery. */
void session_request_ready(session_t *session);

#endif

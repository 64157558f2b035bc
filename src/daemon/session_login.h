#ifndef DAEMON_SESSION_LOGIN_H
#define DAEMON_SESSION_LOGIN_H

#include "daemon/session.h"
#include "protocol/pg_frame.h"

/** Handles a start-up packet: TLS, cancel or the parameters of a login. */
void session_login_startup(session_t *session, const pg_message_t *message);

/** Handles a SASL message. */
void session_login_message(session_t *session, const pg_message_t *message);

#endif

#ifndef STANDIN_BACKEND_SESSION_H
#define STANDIN_BACKEND_SESSION_H

#include "standin/backend/server.h"

/** One connection that speaks PostgreSQL protocol 3. */
typedef struct session session_t;

/** Starts a session on the accepted connection @p fd. */
session_t *session_create(server_t *server, evutil_socket_t fd);

/** Rolls back and closes the session; unsent output is discarded. */
void session_destroy(session_t *session);

/** Retries at once the statement that waits for a lock or a sleep. */
void session_wake(session_t *session);

#endif

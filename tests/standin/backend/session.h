#ifndef STANDIN_BACKEND_SESSION_H
#define STANDIN_BACKEND_SESSION_H

#include "standin/backend/server.h"

/** One connection that speaks PostgreSQL protocol 3. */
typedef struct session session_t;

/** Serves a connection that was just accepted. */
session_t *session_create(server_t *server, evutil_socket_t fd);

/** Rolls back, closes and frees; unsent answers are lost. */
void session_destroy(session_t *session);

/** Tries again what waits for a lock. */
void session_wake(session_t *session);

#endif

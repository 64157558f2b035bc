#ifndef STANDIN_SITE_DATABASE_SESSION_H
#define STANDIN_SITE_DATABASE_SESSION_H

#include "standin/site/database.h"

/** Starts a session on the accepted connection @p fd. */
void database_session_create(db_server_t *server, evutil_socket_t fd);

/** Closes all connections of a server. */
void database_sessions_end(db_server_t *server);

#endif

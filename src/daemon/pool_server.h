#ifndef DAEMON_POOL_SERVER_H
#define DAEMON_POOL_SERVER_H

#include "daemon/pool.h"

/** Creates a server without connections; its share is 0. */
pool_server_t *pool_server_create(pool_task_t *pool, const char *database,
				  const char *name);

/** Closes all connections and frees the server; its runs must have ended. */
void pool_server_destroy(pool_server_t *server);

/** Reads the server's settings from the pool's configuration. */
void pool_server_configure(pool_server_t *server);

/** Sets the share; closes idle and opening connections above it. */
void pool_server_set_share(pool_server_t *server, uint32_t share);

/** Schedules the processing of the server's queue. */
void pool_server_wake(pool_server_t *server);

/** Starts @p run on @p connection, which must not be in use. */
void pool_connection_start(pool_connection_t *connection, pool_run_t *run);

/** Closes a connection and ends its lease; does not end its run. */
void pool_connection_close(pool_connection_t *connection);

/**
 * Cancels the statement on the server and closes the connection. A connection
 * with an unfinished answer cannot be reused: the rest could be taken for the
 * answer of the next request.
 */
void pool_connection_abandon(pool_connection_t *connection);

/** Rolls back the abandoned transaction of a connection for reuse. */
void pool_connection_reset(pool_connection_t *connection);

#endif

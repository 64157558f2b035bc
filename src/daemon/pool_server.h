#ifndef DAEMON_POOL_SERVER_H
#define DAEMON_POOL_SERVER_H

#include "daemon/pool.h"

pool_server_t *pool_server_create(pool_task_t *pool, const char *database,
				  const char *name);

/** Closes all connections; runs must have ended. */
void pool_server_destroy(pool_server_t *server);

/** Looks the server up in the configuration. */
void pool_server_configure(pool_server_t *server);

/** Sets the share; connections above it close when they are idle. */
void pool_server_own(pool_server_t *server, uint32_t share);

/** Starts, soon, what may start. */
void pool_server_wake(pool_server_t *server);

/** Runs a request on a connection that nobody else uses. */
void pool_connection_start(pool_connection_t *connection, pool_run_t *run);

/** Closes a connection and ends its lease; its run is left alone. */
void pool_connection_close(pool_connection_t *connection);

/**
 * Closes a connection in mid-answer, since the rest could come late and be
 * taken for another's, and asks the server to stop the statement.
 */
void pool_connection_abandon(pool_connection_t *connection);

/** Rolls back the transaction that was left on a connection. */
void pool_connection_reset(pool_connection_t *connection);

#endif

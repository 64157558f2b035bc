#ifndef STANDIN_BACKEND_STREAM_H
#define STANDIN_BACKEND_STREAM_H

#include "standin/backend/server.h"

/**
 * Replication between two stand-ins, over the same port that callers use. A
 * replica's start-up message contains the parameter "replication" with what
 * journal_term_ends() returns for its log. The primary then sends lines of
 * JSON:
 *
 *   {"term":T,"from":P}    first line: records above P follow
 *   {"t":T,"c":[..]}       the next record
 *   {"term":T}             heartbeat
 */
typedef struct follower follower_t;

/** Intended maximum of the parameter "replication"; not enforced. */
#define STREAM_TERM_ENDS_SIZE_BYTES_MAX 8192u

/**
 * Starts to ship the log to a replica and takes ownership of @p bev.
 *
 * @param term_ends value of the replica's parameter "replication"
 */
void follower_start(server_t *server, struct bufferevent *bev,
		    const char *term_ends);

/** Ships the records that are due to every replica. */
void follower_ship_all(server_t *server);

/** Closes the connections of all replicas. */
void follower_stop_all(server_t *server);

/**
 * Replicates from the primary at an address in the engine's term. It keeps the
 * present stream if that has the same address and term.
 */
void upstream_start(server_t *server, const char *address, uint16_t port);

/** Stops replicating from a primary. */
void upstream_stop(server_t *server);

/** Closes the connection to the primary; it is opened again later. */
void upstream_cut(server_t *server);

#endif

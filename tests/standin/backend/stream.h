#ifndef STANDIN_BACKEND_STREAM_H
#define STANDIN_BACKEND_STREAM_H

#include "standin/backend/server.h"

/**
 * Replication between two stand-ins, over the port that callers use too. A
 * replica's start-up message names the parameter "replication" with the
 * outline of its log; then the primary sends lines of JSON:
 *
 *   {"term":T,"from":P}    first: records above P follow
 *   {"t":T,"c":[..]}       the next record
 *   {"term":T}             heartbeat
 */
typedef struct follower follower_t;

/** Value of the start-up parameter "replication". */
#define STREAM_OUTLINE_SIZE_BYTES_MAX 8192u

/** Ships the log to a replica; takes over @p bev. */
void follower_start(server_t *server, struct bufferevent *bev,
		    const char *outline);

/** Ships what is due; called after each commit. */
void follower_pump_all(server_t *server);

/** Ends all shipping. */
void follower_stop_all(server_t *server);

/** Follows the primary at this address; at once if it is another. */
void upstream_start(server_t *server, const char *address, uint16_t port);

/** Follows nobody. */
void upstream_stop(server_t *server);

/** Breaks the connection to the primary; it is tried again. */
void upstream_cut(server_t *server);

#endif

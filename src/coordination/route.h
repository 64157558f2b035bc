#ifndef COORDINATION_ROUTE_H
#define COORDINATION_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request.h"
#include "state/config.h"
#include "state/group_table.h"

/** Maximum number of servers of one database that are considered. */
#define ROUTE_SERVERS_MAX 32

/**
 * Chooses the server for each request by the round trip time, replication lag
 * and failures that this node has seen of each server. Deterministic.
 */
typedef struct route route_t;

/** What a choice depends on. */
typedef struct {
	const char *database;
	request_kind_t kind;
	log_point_t at_least; /**< point that a read must cover */
	uint32_t max_age_ms;  /**< maximum age that a read accepts, or 0 */
	uint32_t tried;	      /**< bit set of servers already tried */
	group_view_t view;    /**< newest known term and primary */
} route_query_t;

typedef enum {
	ROUTE_REPLICA, /**< read at a replica */
	ROUTE_PRIMARY, /**< run at the primary of the view's term */
	ROUTE_BARRIER, /**< prove the primary's point, then read there */
	ROUTE_WAIT,    /**< no server can serve the request now */
	ROUTE_ABSENT,  /**< the database does not exist */
} route_kind_t;

typedef struct {
	route_kind_t kind;
	const config_server_t *server; /**< NULL for ROUTE_WAIT, ROUTE_ABSENT */
	uint32_t server_index;	       /**< its bit in route_query_t.tried */
	uint64_t term;	  /**< value of request_t.term; 0 for a replica */
	uint32_t wait_ms; /**< expected wait until a replica has caught up */
} route_choice_t;

/** @param failure_domain this node's; servers in it are preferred */
route_t *route_create(const char *failure_domain);
void route_destroy(route_t *route);

/** Sets the configuration; it must stay valid until the next call. */
void route_configure(route_t *route, const config_t *config);

/** Chooses the server to which a request is sent next. */
route_choice_t route_choose(route_t *route, const route_query_t *query,
			    uint64_t now_ms);

/**
 * Updates the lag, round trip time and penalty of a server from its answer.
 *
 * @param point point up to which the server had replayed, or the zero point
 * @param round_trip_ms duration of the attempt, 0 if it also waited for replay
 */
void route_answered(route_t *route, const char *database, const char *server,
		    reason_t reason, log_point_t point, uint32_t round_trip_ms,
		    uint64_t now_ms);

/** Records that the primary has reached @p point by @p now_ms. */
void route_point_seen(route_t *route, const char *database, log_point_t point,
		      uint64_t now_ms);

#endif

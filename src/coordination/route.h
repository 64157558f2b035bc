#ifndef COORDINATION_ROUTE_H
#define COORDINATION_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request.h"
#include "state/config.h"
#include "state/group_table.h"

/** Most servers of one database that routing tells apart. */
#define ROUTE_SERVERS_MAX 32

/**
 * Chooses the server for each request from what this node has seen of each
 * server: round trip, replication lag, failures. Deterministic.
 */
typedef struct route route_t;

/** What a choice depends on. */
typedef struct {
	const char *database;
	request_kind_t kind;
	log_point_t at_least; /**< point that a read must cover */
	uint32_t max_age_ms;  /**< stated age of a read, or 0 */
	uint32_t tried;	      /**< bit set of servers already tried */
	group_view_t view;    /**< newest known primary */
} route_ask_t;

typedef enum {
	ROUTE_REPLICA, /**< read at a replica */
	ROUTE_PRIMARY, /**< run at the primary of the view's term */
	ROUTE_BARRIER, /**< prove the primary's point, then read there */
	ROUTE_WAIT,    /**< nobody can serve it now */
	ROUTE_ABSENT,  /**< there is no such database */
} route_kind_t;

typedef struct {
	route_kind_t kind;
	const config_server_t *server; /**< NULL for ROUTE_WAIT and after */
	uint32_t server_index;	       /**< its bit in route_ask_t.tried */
	uint64_t term;	  /**< for request_t.term: 0 for a replica */
	uint32_t wait_ms; /**< expected until a replica has caught up */
} route_choice_t;

/** @param failure_domain of this node; its servers are preferred */
route_t *route_create(const char *failure_domain);
void route_destroy(route_t *route);

/** Takes a new configuration, kept until the next call. */
void route_configure(route_t *route, const config_t *config);

/** Chooses where a request goes next. */
route_choice_t route_choose(route_t *route, const route_ask_t *ask,
			    uint64_t now_ms);

/**
 * Learns from an answer of a server.
 *
 * @param point what the server had replayed, or the zero point
 * @param round_trip_ms time of the attempt, 0 if it also waited for replay
 */
void route_answered(route_t *route, const char *database, const char *server,
		    reason_t reason, log_point_t point, uint32_t round_trip_ms,
		    uint64_t now_ms);

/** Learns that the primary had reached @p point by now. */
void route_point_seen(route_t *route, const char *database, log_point_t point,
		      uint64_t now_ms);

#endif

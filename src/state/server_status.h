#ifndef STATE_SERVER_STATUS_H
#define STATE_SERVER_STATUS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/group_table.h"
#include "state/log_point.h"

/** Role of a backend server in its database group. */
typedef enum {
	SERVER_REPLICA,
	SERVER_PRIMARY,
	SERVER_ROLE_COUNT,
} server_role_t;

/** Control operations of a backend server, see docs/DESIGN.md. */
typedef enum {
	SERVER_STATUS,
	SERVER_FENCE,
	SERVER_PROMOTE,
	SERVER_FOLLOW,
	SERVER_OPERATION_COUNT,
} server_operation_t;

/** Result of a control operation. */
typedef enum {
	SERVER_OK,	    /**< the operation ran and returned a status */
	SERVER_REFUSED,	    /**< the server refused; nothing changed */
	SERVER_UNREACHABLE, /**< the request was not sent; nothing changed */
	SERVER_NOT_OWNED,   /**< the receiving node does not own the server */
	SERVER_UNKNOWN, /**< no answer; the operation may have taken effect */
	SERVER_RESULT_COUNT,
} server_result_t;

/** Status that a backend server reports. */
typedef struct {
	server_role_t role;
	uint64_t term;		  /**< term in which it has that role */
	uint64_t fence;		  /**< lowest term that the server accepts */
	log_point_t last;	  /**< last record in the server's log */
	log_point_t replayed;	  /**< last record replayed */
	uint32_t upstream_age_ms; /**< time since its primary's last message */
} server_status_t;

/**
 * @return whether the server is primary in @p term and not fenced by a higher
 *         term
 */
bool server_status_is_primary(const server_status_t *status, uint64_t term);

/** @return a lower-case name for logs; never NULL. */
const char *server_role_name(server_role_t role);

/** @return a lower-case name for logs; never NULL. */
const char *server_operation_name(server_operation_t operation);

/** @return a lower-case name for logs; never NULL. */
const char *server_result_name(server_result_t result);

#endif

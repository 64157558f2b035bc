#ifndef STATE_SERVER_STATUS_H
#define STATE_SERVER_STATUS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/group_table.h"
#include "state/log_point.h"

/** What a backend server is in its database group. */
typedef enum {
	SERVER_REPLICA,
	SERVER_PRIMARY,
	SERVER_ROLE_COUNT,
} server_role_t;

/** What can be asked of a backend server, see docs/DESIGN.md. */
typedef enum {
	SERVER_STATUS,
	SERVER_FENCE,
	SERVER_PROMOTE,
	SERVER_FOLLOW,
	SERVER_OPERATION_COUNT,
} server_operation_t;

/** How an operation ended. */
typedef enum {
	SERVER_OK,	    /**< it ran; there is a status */
	SERVER_REFUSED,	    /**< the server refused; nothing changed */
	SERVER_UNREACHABLE, /**< it was not sent; nothing changed */
	SERVER_NOT_OWNED,   /**< the node asked does not own the server */
	SERVER_UNKNOWN,	    /**< no answer; it may have taken effect */
	SERVER_RESULT_COUNT,
} server_result_t;

/** What a backend server says of itself. */
typedef struct {
	server_role_t role;
	uint64_t term;		  /**< term that it leads or follows */
	uint64_t fence;		  /**< it accepts no term below this */
	log_point_t last;	  /**< last record held */
	log_point_t replayed;	  /**< last record replayed */
	uint32_t upstream_age_ms; /**< time since it heard its primary */
} server_status_t;

/** @return whether it leads @p term and no higher term has fenced it. */
bool server_status_leads(const server_status_t *status, uint64_t term);

/** @return a lower-case name for logs; never NULL. */
const char *server_role_name(server_role_t role);

/** @return a lower-case name for logs; never NULL. */
const char *server_operation_name(server_operation_t operation);

/** @return a lower-case name for logs; never NULL. */
const char *server_result_name(server_result_t result);

#endif

#ifndef BACKEND_BACKEND_CONTROL_H
#define BACKEND_BACKEND_CONTROL_H

#include <event2/event.h>

#include "state/server_status.h"

/**
 * Control connection to one backend server: queries its status, fences it,
 * promotes it and makes it follow a primary. It connects when an operation is
 * queued and runs one statement at a time; a statement that times out closes
 * the connection.
 */
typedef struct backend_control backend_control_t;

/** Address of the server, login and callback. */
typedef struct {
	const char *address; /**< IPv4 or IPv6 address */
	uint16_t port;
	const char *database;
	const char *user;
	uint32_t timeout_ms; /**< maximum time to connect, and for an answer */
	/** Called when an idle connection fails; may be NULL. */
	void (*on_connection_failure)(void *context);
	void *context;
} backend_control_params_t;

/** One operation; the primary's address is used by SERVER_FOLLOW only. */
typedef struct {
	server_operation_t operation;
	uint64_t term; /**< term of the operation; unused by SERVER_STATUS */
	const char *primary_address;
	uint16_t primary_port;
} backend_control_request_t;

/**
 * Called when an operation has ended.
 *
 * @param status     NULL unless @p result is SERVER_OK
 * @param sent_at_ms time at which the statement was sent, 0 if it was not
 */
typedef void (*backend_control_done_t)(void *context, server_result_t result,
				       const server_status_t *status,
				       uint64_t sent_at_ms);

/** Creates a control; copies the strings of @p params. */
backend_control_t *
backend_control_create(struct event_base *base,
		       const backend_control_params_t *params);

/**
 * Destroys the control. The running operation ends as SERVER_UNKNOWN, waiting
 * ones as SERVER_UNREACHABLE. NULL is allowed.
 */
void backend_control_destroy(backend_control_t *control);

/**
 * Queues an operation. @p done is called exactly once, never from within
 * this call.
 */
void backend_control_submit(backend_control_t *control,
			    const backend_control_request_t *request,
			    backend_control_done_t done, void *context);

#endif

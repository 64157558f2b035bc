#ifndef BACKEND_BACKEND_CONTROL_H
#define BACKEND_BACKEND_CONTROL_H

#include <event2/event.h>

#include "state/server_status.h"

/**
 * The control connection to one backend server: asks for its status, fences
 * and promotes it. Connects when it has something to ask, one statement at a
 * time; a statement that is not answered in time closes the connection.
 */
typedef struct backend_control backend_control_t;

/** Where the server is and who we are to it. */
typedef struct {
	const char *address; /**< IP number */
	uint16_t port;
	const char *database;
	const char *user;
	uint32_t timeout_ms; /**< longest wait for an answer */
	/** Called when a connection breaks, or NULL. */
	void (*broken)(void *context);
	void *context;
} backend_control_params_t;

/** One operation; the last three are of SERVER_FOLLOW alone. */
typedef struct {
	server_operation_t operation;
	uint64_t term; /**< of all but SERVER_STATUS */
	const char *primary_address;
	uint16_t primary_port;
} backend_control_ask_t;

/**
 * @param status     NULL unless @p result is SERVER_OK
 * @param sent_at_ms when the statement was sent, or 0
 */
typedef void (*backend_control_done_t)(void *context, server_result_t result,
				       const server_status_t *status,
				       uint64_t sent_at_ms);

backend_control_t *
backend_control_create(struct event_base *base,
		       const backend_control_params_t *params);

/** Ends the control; what waits ends as not sent or unknown. */
void backend_control_destroy(backend_control_t *control);

/**
 * Queues an operation; @p done is called exactly once, never from inside
 * this call.
 */
void backend_control_ask(backend_control_t *control,
			 const backend_control_ask_t *ask,
			 backend_control_done_t done, void *context);

#endif

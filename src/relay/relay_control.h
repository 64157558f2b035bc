#ifndef RELAY_RELAY_CONTROL_H
#define RELAY_RELAY_CONTROL_H

#include "relay/relay_service.h"

/** How a control operation ended. */
typedef enum {
	RELAY_CONTROL_DONE, /**< the server returned its status */
	RELAY_CONTROL_BUSY, /**< the server is alive but did not run the
			       operation */
	/** The server refuses or breaks connections. */
	RELAY_CONTROL_UNREACHABLE,
	/** No answer or a broken connection; the operation may have run. */
	RELAY_CONTROL_UNRESPONSIVE,
} relay_control_result_t;

/** Result of a control operation. */
typedef struct {
	relay_control_result_t result;
	relay_status_t status; /**< set for RELAY_CONTROL_DONE */
	uint64_t sent_ms; /**< when the operation was sent, on the boot clock */
	uint64_t link_opened_ms; /**< when its connection was opened */
} relay_control_answer_t;

/** Called exactly once, never from inside the call that takes the callback. */
typedef void (*relay_control_done_t)(void *context,
				     const relay_control_answer_t *answer);

/**
 * Runs a control operation at a server. The operation is queued ahead of
 * callers' statements and may exceed the connection limit by one connection.
 */
void relay_control_run(relay_service_t *service, const char *server,
		       relay_control_t operation, uint64_t term,
		       uint32_t timeout_ms, relay_control_done_t done,
		       void *context);

/**
 * Runs a control operation like relay_control_run(), but prefers a connection
 * that was opened before @p opened_before_ms: if one exists, the operation
 * waits until that connection is free.
 */
void relay_control_run_opened_before(relay_service_t *service,
				     const char *server,
				     relay_control_t operation, uint64_t term,
				     uint64_t opened_before_ms,
				     uint32_t timeout_ms,
				     relay_control_done_t done, void *context);

/** @return a lower-case name for logs; never NULL. */
const char *relay_control_result_name(relay_control_result_t result);

#endif

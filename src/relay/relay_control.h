#ifndef RELAY_RELAY_CONTROL_H
#define RELAY_RELAY_CONTROL_H

#include "relay/relay_service.h"

/** How an operation ended. */
typedef enum {
	RELAY_CONTROL_DONE,	   /**< there is a status */
	RELAY_CONTROL_BUSY,	   /**< it answers, but not this now */
	RELAY_CONTROL_UNREACHABLE, /**< it refuses connections, or breaks them
				    */
	RELAY_CONTROL_SILENT,	   /**< no answer in time; it may have run */
} relay_control_result_t;

/** What came back. */
typedef struct {
	relay_control_result_t result;
	relay_status_t status;	 /**< of RELAY_CONTROL_DONE */
	uint64_t sent_ms;	 /**< when it was sent, boot clock */
	uint64_t link_opened_ms; /**< of the connection that carried it */
} relay_control_answer_t;

/** Called once, never from inside the call that asks. */
typedef void (*relay_control_done_t)(void *context,
				     const relay_control_answer_t *answer);

/** Runs a control operation at a server; it goes before statements. */
void relay_control_ask(relay_service_t *service, const char *server,
		       relay_control_t operation, uint64_t term,
		       uint32_t timeout_ms, relay_control_done_t done,
		       void *context);

/**
 * The same over a connection that was opened before @p opened_before_ms, if
 * there is one; it is waited for.
 */
void relay_control_ask_before(relay_service_t *service, const char *server,
			      relay_control_t operation, uint64_t term,
			      uint64_t opened_before_ms, uint32_t timeout_ms,
			      relay_control_done_t done, void *context);

/** @return a lower-case name for logs; never NULL. */
const char *relay_control_result_name(relay_control_result_t result);

#endif

#ifndef RELAY_RELAY_ATTEMPT_H
#define RELAY_RELAY_ATTEMPT_H

#include "relay/relay_job.h"

/**
 * One attempt to run a statement on one connection: sets the session's
 * variables and prepared statements on the connection, opens the transaction
 * and runs the statement, which is sent only once the server has confirmed the
 * variables and the transaction. An abandoned attempt outlives its job until
 * the server answers or a timeout expires.
 */
typedef struct relay_attempt relay_attempt_t;

/** How an attempt ended. */
typedef enum {
	RELAY_ATTEMPT_ANSWERED, /**< the server answered the statement */
	/**
	 * The statement was not sent; an answer is the server's rejection of a
	 * setup statement.
	 */
	RELAY_ATTEMPT_NOT_RUN,
	RELAY_ATTEMPT_LOST, /**< the statement was sent, its answer is lost */
	/** The statement was sent; its answer cannot be passed on. */
	RELAY_ATTEMPT_UNREADABLE,
} relay_attempt_end_t;

/**
 * Called when the attempt ends.
 *
 * @param answer the server's last answer, or NULL if there is none
 */
typedef void (*relay_attempt_done_t)(void *context, relay_attempt_t *attempt,
				     relay_attempt_end_t end,
				     const relay_answer_t *answer);

/**
 * Starts an attempt on an acquired connection.
 *
 * @param after log point that the server must have reached, or the zero point
 */
relay_attempt_t *relay_attempt_start(relay_service_t *service,
				     relay_server_t *server, relay_link_t *link,
				     const relay_request_t *request,
				     log_point_t after,
				     relay_attempt_done_t done, void *context);

/**
 * Has the statement not sent if it still waits for the session to be set up;
 * the attempt then ends as RELAY_ATTEMPT_NOT_RUN.
 */
void relay_attempt_withdraw(relay_attempt_t *attempt);

/**
 * Drops the callback. The connection is reused if the answer still arrives
 * before a timeout, and is closed otherwise.
 */
void relay_attempt_abandon(relay_attempt_t *attempt);

/** Closes the connection and frees the attempt. */
void relay_attempt_discard(relay_attempt_t *attempt);

/** Releases the connection for reuse and frees the attempt. */
void relay_attempt_finish(relay_attempt_t *attempt);

/** Frees the attempt and passes its connection to the calling code. */
relay_link_t *relay_attempt_detach_link(relay_attempt_t *attempt);

/** @return whether the caller's statement was sent, not only its setup */
bool relay_attempt_is_sent(const relay_attempt_t *attempt);

/** @return whether another node forwards the connection */
bool relay_attempt_is_forwarded(const relay_attempt_t *attempt);

relay_server_t *relay_attempt_server(const relay_attempt_t *attempt);

/** @return when the connection was acquired, on the boot clock */
uint64_t relay_attempt_started_ms(const relay_attempt_t *attempt);

#endif

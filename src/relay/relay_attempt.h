#ifndef RELAY_RELAY_ATTEMPT_H
#define RELAY_RELAY_ATTEMPT_H

#include "relay/relay_job.h"

/**
 * One try of a statement on one connection: brings the connection into the
 * session's state, opens the transaction, runs the statement. It outlives
 * its job when that is over before the answer is there.
 */
typedef struct relay_attempt relay_attempt_t;

/** How a try ended. */
typedef enum {
	RELAY_ATTEMPT_ANSWERED, /**< the statement has its answer */
	RELAY_ATTEMPT_NOT_RUN,	/**< the statement was not started */
	RELAY_ATTEMPT_LOST,	/**< it was sent, the answer is lost */
} relay_attempt_end_t;

/** @p answer is NULL unless the server answered something. */
typedef void (*relay_attempt_done_t)(void *context, relay_attempt_t *attempt,
				     relay_attempt_end_t end,
				     const relay_answer_t *answer);

/** @param after point that the server must have, or the zero point */
relay_attempt_t *relay_attempt_start(relay_service_t *service,
				     relay_server_t *server, relay_link_t *link,
				     const relay_ask_t *ask, log_point_t after,
				     relay_attempt_done_t done, void *context);

/** Nobody waits for the answer any more; the connection is kept if it comes. */
void relay_attempt_abandon(relay_attempt_t *attempt);

/** Closes the connection and frees the attempt. */
void relay_attempt_discard(relay_attempt_t *attempt);

/** Gives the connection back and frees the attempt. */
void relay_attempt_finish(relay_attempt_t *attempt);

/** Frees the attempt, whose connection now belongs to the caller. */
relay_link_t *relay_attempt_steal(relay_attempt_t *attempt);

/** @return whether the caller's statement itself was sent */
bool relay_attempt_is_sent(const relay_attempt_t *attempt);

/** @return whether it runs over a connection that another node lends */
bool relay_attempt_is_lent(const relay_attempt_t *attempt);

relay_server_t *relay_attempt_server(const relay_attempt_t *attempt);

/** @return when the connection was granted, on the boot clock */
uint64_t relay_attempt_started_ms(const relay_attempt_t *attempt);

#endif

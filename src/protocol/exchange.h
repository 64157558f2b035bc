#ifndef PROTOCOL_EXCHANGE_H
#define PROTOCOL_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/pg_frame.h"
#include "protocol/request.h"

/** Bytes of a change's answer that are held back until it is safe. */
#define EXCHANGE_HOLD_SIZE_BYTES (1024u * 1024)

/** Bytes held back when what was completed must not be shown yet. */
#define EXCHANGE_HOLD_SIZE_BYTES_MAX (64u * 1024 * 1024)

/**
 * What is said to a backend server for one request, and what its messages
 * mean. Pure: messages in; bytes to send, bytes to pass on and an outcome
 * out.
 *
 * Around the caller's messages stand, as needed: SET replication.term; BEGIN
 * and the idempotency key in front; COMMIT and a question for the point behind.
 * The answers to these never reach the caller. The answer of a change is held
 * back until its commit is known to be safe.
 */
typedef struct exchange exchange_t;

/** What the server connection is like when the request gets it. */
typedef struct {
	uint64_t term;	     /**< that it is set to, 0 for none */
	bool in_transaction; /**< the request goes on with a transaction */
} exchange_connection_t;

/** Where an exchange stands. */
typedef enum {
	EXCHANGE_RUNNING,
	EXCHANGE_SEND,	/**< ask for more bytes to send */
	EXCHANGE_ENDED, /**< the server waits for the next request */
} exchange_state_t;

/** What came of it; the held bytes go along with OUTCOME_DONE only. */
typedef struct {
	outcome_t outcome;
	reason_t reason;
	char transaction_status;
	bool needs_confirm;    /**< of the point, before anything is answered */
	outcome_t unconfirmed; /**< the outcome if that cannot be had */
	log_point_t point;     /**< of the commit; zero for none */
	uint64_t term;	       /**< that the connection is set to now */
	bool reusable;	       /**< whether the connection may serve again */
} exchange_result_t;

exchange_t *exchange_create(const request_t *request,
			    exchange_connection_t connection);
void exchange_destroy(exchange_t *exchange);

/** Appends what has to be sent next. */
void exchange_send(exchange_t *exchange, GByteArray *out);

/** Takes a message of the server. */
exchange_state_t exchange_take(exchange_t *exchange,
			       const pg_message_t *message);

/** @return bytes that may be passed on now, or NULL if there are none. */
GBytes *exchange_ready(exchange_t *exchange);

/** @return bytes that were held back, or NULL; for OUTCOME_DONE. */
GBytes *exchange_held(exchange_t *exchange);

/** @return what came of an exchange that has ended. */
exchange_result_t exchange_result(const exchange_t *exchange);

/** @return what is known when the connection breaks or is given up now. */
exchange_result_t exchange_broken(const exchange_t *exchange, reason_t reason);

/** @return whether it may have taken effect once it was sent. */
bool exchange_may_commit(const exchange_t *exchange);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(exchange_t, exchange_destroy)

#endif

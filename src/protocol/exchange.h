#ifndef PROTOCOL_EXCHANGE_H
#define PROTOCOL_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/pg_frame.h"
#include "protocol/request.h"

/**
 * Size of a change's answer that is buffered before its first CommandComplete,
 * in bytes; rows beyond it are passed on.
 */
#define EXCHANGE_BUFFER_SIZE_BYTES (1024u * 1024)

/**
 * Size limit of the buffer once it holds a CommandComplete that must not be
 * passed on before the commit is confirmed, in bytes.
 */
#define EXCHANGE_BUFFER_SIZE_BYTES_MAX (64u * 1024 * 1024)

/**
 * State machine that runs one request on a connection to a backend server.
 * It does no I/O: it is fed the server's messages, and yields the bytes to send
 * to the server, the bytes to pass on to the caller and the outcome.
 *
 * The exchange adds statements around the caller's messages as needed: before
 * them SET replication.term, BEGIN and the insert of the idempotency key, after
 * them COMMIT and a query of the log position (group_point()). The answers to
 * added statements are not passed on, but for an error that stands for the
 * whole answer. The answer of a change is buffered until its commit is
 * confirmed.
 */
typedef struct exchange exchange_t;

/** State of the server connection when the request starts. */
typedef struct {
	uint64_t term; /**< replication.term of the connection, 0 if unset */
	bool in_transaction; /**< a transaction is open on the connection */
} exchange_connection_t;

/** State of an exchange after a message of the server. */
typedef enum {
	EXCHANGE_RUNNING, /**< more messages of the server are expected */
	EXCHANGE_SEND,	  /**< exchange_send() has more bytes to send */
	EXCHANGE_ENDED,	  /**< the server has answered every step */
} exchange_state_t;

/** Result of an exchange; buffered bytes are valid for OUTCOME_DONE only. */
typedef struct {
	outcome_t outcome;
	reason_t reason;
	char transaction_status; /**< 'I', 'T' or 'E' as in ReadyForQuery */
	bool needs_confirm;	 /**< confirm the point before answering */
	outcome_t unconfirmed;	 /**< outcome if the point is not confirmed */
	log_point_t point;	 /**< commit point, or zero */
	uint64_t term;		 /**< replication.term of the connection */
	bool reusable;		 /**< the connection may run further requests */
} exchange_result_t;

/** Creates the exchange of a request; copies @p request. */
exchange_t *exchange_create(const request_t *request,
			    exchange_connection_t connection);
void exchange_destroy(exchange_t *exchange);

/** Appends the bytes that have to be sent to the server next. */
void exchange_send(exchange_t *exchange, GByteArray *out);

/** Handles a message of the server. */
exchange_state_t exchange_handle_message(exchange_t *exchange,
					 const pg_message_t *message);

/** Takes the bytes that may be passed on now. @return NULL if none */
GBytes *exchange_take_ready(exchange_t *exchange);

/**
 * Takes the buffered bytes, to be passed on for OUTCOME_DONE.
 *
 * @return NULL if there are none
 */
GBytes *exchange_take_buffered(exchange_t *exchange);

/** @return the result of an exchange in EXCHANGE_ENDED. */
exchange_result_t exchange_result(const exchange_t *exchange);

/**
 * Returns the result for a connection that breaks or is abandoned now.
 *
 * @param reason reason to report if the exchange has no more specific one
 */
exchange_result_t exchange_result_on_failure(const exchange_t *exchange,
					     reason_t reason);

/** @return whether the request may commit a change once it is sent. */
bool exchange_may_commit(const exchange_t *exchange);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(exchange_t, exchange_destroy)

#endif

#ifndef RELAY_RELAY_LINK_H
#define RELAY_RELAY_LINK_H

#include <event2/event.h>

#include "relay/relay_codec.h"
#include "relay/relay_prepared.h"
#include "state/backend_entry.h"
#include "state/endpoint.h"

/**
 * One connection to a backend server. Statements are pipelined: each is sent
 * at once, and the answers arrive in the order of the statements.
 */
typedef struct relay_link relay_link_t;

/** How one statement ended. */
typedef struct {
	bool broken; /**< the connection ended before the answer was complete */
	bool failed; /**< the server answered with an error */
	/** If broken, RELAY_ERROR_MALFORMED: a part of the answer is invalid.
	 */
	relay_error_t error;
	const char *error_text;
	const char *row; /**< first row of the answer, or NULL */
	/** All rows (char *) of a statement of the proxy itself, or NULL. */
	const GPtrArray *rows;
	char status;	   /**< 'I' idle, 'T' in transaction, 'E' failed */
	log_point_t point; /**< server's log point, or zero */
	GByteArray *body; /**< encoded answer without the final ready message */
	uint64_t sent_ms; /**< when the statement was sent, on the boot clock */
} relay_answer_t;

/**
 * Called once for each answered statement; the callback may destroy the link.
 * When the connection breaks, only the callback of the oldest unanswered
 * statement is called.
 */
typedef void (*relay_link_done_t)(void *context, const relay_answer_t *answer);

/** Callbacks of a link. */
typedef struct {
	/**
	 * The server accepted the connection and reported the end of its log
	 * as @p point; the connection was requested at @p requested_ms.
	 */
	void (*opened)(void *context, relay_link_t *link, log_point_t point,
		       uint64_t requested_ms);
	/**
	 * The connection ended on its own. No more statements may be sent on
	 * the link.
	 */
	void (*closed)(void *context, relay_link_t *link, relay_error_t error,
		       bool was_open);
	void *context;
} relay_link_handlers_t;

/** Session state that the server keeps for a connection. */
typedef struct {
	GHashTable *values; /**< session variables, name -> value */
	relay_prepared_t *prepared;
	bool in_transaction; /**< a transaction is open */
	char *customer;	     /**< that the statements are for, or NULL */
} relay_link_state_t;

/**
 * Opens a connection; the result is reported to @p handlers.
 *
 * @param customer that the connection serves; NULL for control statements
 * @param via endpoint of a node that forwards the connection, or NULL to
 *            connect to the server itself
 */
relay_link_t *relay_link_open(struct event_base *base,
			      const relay_codec_t *codec,
			      const backend_entry_t *entry,
			      const char *customer, const endpoint_t *via,
			      relay_link_handlers_t handlers);

/** Closes the connection; callbacks of unanswered statements are dropped. */
void relay_link_destroy(relay_link_t *link);

/**
 * Sends a statement; statements sent before it may still be unanswered.
 *
 * @param id    of the caller's statement; NULL for a statement that the proxy
 *              itself issues
 * @param after log point that the server must have reached, or the zero point
 */
void relay_link_run(relay_link_t *link, const char *id, log_point_t after,
		    const char *text, relay_link_done_t done, void *context);

bool relay_link_is_open(const relay_link_t *link);

/** @return whether another node forwards the connection */
bool relay_link_is_forwarded(const relay_link_t *link);

/** @return whether a statement waits for its answer */
bool relay_link_is_busy(const relay_link_t *link);

/** @return whether the connection has answered a statement */
bool relay_link_has_served(const relay_link_t *link);

/**
 * @return when the server accepted the connection, on the boot clock;
 *         UINT64_MAX for a forwarded connection, because the server may have
 *         restarted behind the forwarding node unnoticed
 */
uint64_t relay_link_opened_ms(const relay_link_t *link);

/** @return when data was last received, on the boot clock */
uint64_t relay_link_last_received_ms(const relay_link_t *link);

/** @return the session state, which the calling code keeps up to date */
relay_link_state_t *relay_link_state(relay_link_t *link);

#endif

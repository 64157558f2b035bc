#ifndef RELAY_RELAY_LINK_H
#define RELAY_RELAY_LINK_H

#include <event2/event.h>

#include "relay/relay_codec.h"
#include "state/backend_entry.h"
#include "state/endpoint.h"

/**
 * One connection to a backend server. Statements are sent at once and are
 * answered in their order.
 */
typedef struct relay_link relay_link_t;

/** How one statement ended. */
typedef struct {
	bool broken; /**< the connection ended before the whole answer */
	bool failed; /**< the server answered with an error */
	relay_error_t error;
	const char *error_text;
	const char *row; /**< the first row, or NULL */
	char status;	 /**< 'I', 'T' or 'E' */
	log_point_t point;
	GByteArray *body; /**< the answer without its end, as encoded */
	uint64_t sent_ms; /**< when the statement was sent, on the boot clock */
} relay_answer_t;

/**
 * Called once for each statement; the link may be closed from inside. When
 * the connection breaks, only the first that waits is called.
 */
typedef void (*relay_link_done_t)(void *context, const relay_answer_t *answer);

typedef struct {
	/** Accepted; @p point is the log's end, asked for at @p asked_ms. */
	void (*opened)(void *context, relay_link_t *link, log_point_t point,
		       uint64_t asked_ms);
	/** The link ended by itself; it must not be used any more. */
	void (*closed)(void *context, relay_link_t *link, relay_error_t error,
		       bool was_open);
	void *context;
} relay_link_handlers_t;

/** Session state that a server keeps for a connection. */
typedef struct {
	GHashTable *values;   /**< variable -> value */
	GHashTable *prepared; /**< names known to the server */
	bool in_transaction;
} relay_link_state_t;

/** @param via a node that lends its connections, or NULL */
relay_link_t *relay_link_open(struct event_base *base,
			      const relay_codec_t *codec,
			      const backend_entry_t *entry,
			      const endpoint_t *via,
			      relay_link_handlers_t handlers);

/** Closes the connection; a statement that runs gets no answer. */
void relay_link_destroy(relay_link_t *link);

/**
 * Sends a statement, behind those that wait for their answers.
 *
 * @param id of the caller's statement, NULL for one of the proxy's own
 */
void relay_link_run(relay_link_t *link, const char *id, log_point_t after,
		    const char *text, relay_link_done_t done, void *context);

bool relay_link_is_open(const relay_link_t *link);
/** @return whether another node lends the connection */
bool relay_link_is_lent(const relay_link_t *link);

bool relay_link_is_busy(const relay_link_t *link);

/**
 * @return when the server accepted it, on the boot clock; UINT64_MAX for a
 *         lent one, behind which the server may have restarted unseen
 */
uint64_t relay_link_opened_ms(const relay_link_t *link);

/** @return the last time at which the server sent anything */
uint64_t relay_link_heard_ms(const relay_link_t *link);

relay_link_state_t *relay_link_state(relay_link_t *link);

#endif

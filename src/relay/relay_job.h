#ifndef RELAY_RELAY_JOB_H
#define RELAY_RELAY_JOB_H

#include "relay/relay_service.h"

/**
 * Runs one statement of a caller: chooses a server, waits for a connection,
 * sends the statement, and retries while that is safe and the deadline has not
 * passed.
 */
typedef struct relay_job relay_job_t;

/** A connection that is pinned to an open transaction. */
typedef struct relay_pin relay_pin_t;

/** One statement to run. The pointers must outlive the job. */
typedef struct {
	const char *id;	  /**< the caller's id of the statement */
	const char *text; /**< the statement itself */
	command_kind_t kind;
	bool writes;		/**< the statement may change data */
	const char *begin_id;	/**< id of the BEGIN to send first, or NULL */
	const char *begin_text; /**< text of the BEGIN to send first, or NULL */
	bool read_only;		/**< the transaction to open is read-only */
	const catalog_database_t *database;
	/** Customer of the caller; NULL where no customers are configured. */
	const catalog_customer_t *customer;
	GHashTable *values; /**< session variables, name -> value, or NULL */
	const char *definition; /**< COMMAND_EXECUTE: prepared statement */
	const char *arguments;	/**< COMMAND_EXECUTE: its arguments */
	log_point_t own_point;	/**< log point of the session's last change */
	uint64_t own_term;	/**< term in which own_point was reached */
	uint64_t received_ms;	/**< when the statement arrived, boot clock */
	uint64_t latest_ms;	/**< when it is answered at the latest, or 0 */
} relay_request_t;

/** How a statement ended. */
typedef struct {
	bool failed;
	relay_error_t error;
	const char *text;  /**< error message */
	GByteArray *body;  /**< the server's answer as encoded, or NULL */
	char status;	   /**< 'I' idle, 'T' in transaction, 'E' failed */
	log_point_t point; /**< log point that the server reported */
	uint64_t term;	   /**< term of the primary that ran it, or 0 */
	relay_pin_t *pin;  /**< pinned to the open transaction, or NULL */
	bool unsent;	   /**< no server was sent the statement */
} relay_result_t;

/** Called once, never during the call that starts the job. */
typedef void (*relay_job_done_t)(void *context, const relay_result_t *result);

/** Runs a statement that has no pinned connection. */
relay_job_t *relay_job_start(relay_services_t *services,
			     const relay_request_t *request,
			     relay_job_done_t done, void *context);

/**
 * Runs a statement of an open transaction on its pinned connection. The job
 * owns @p pin until it returns it in the result.
 */
relay_job_t *relay_job_continue(relay_pin_t *pin,
				const relay_request_t *request,
				relay_job_done_t done, void *context);

/** @return whether no server was sent the statement so far */
bool relay_job_is_unsent(const relay_job_t *job);

/**
 * Ends the job with what is known of the statement now; its callback is called
 * during the call or soon after it.
 */
void relay_job_expire(relay_job_t *job);

/**
 * Cancels the job after the caller has disconnected. Its attempts are
 * abandoned and its callback is not called.
 */
void relay_job_cancel(relay_job_t *job);

#endif

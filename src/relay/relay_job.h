#ifndef RELAY_RELAY_JOB_H
#define RELAY_RELAY_JOB_H

#include "relay/relay_service.h"

/**
 * One statement of a caller on its way to a server and back: it is placed,
 * waits, runs, and is tried again as long as that is safe and in time.
 */
typedef struct relay_job relay_job_t;

/** A connection that an open transaction keeps. */
typedef struct relay_hold relay_hold_t;

/** What a caller's statement needs. Pointers must outlive the job. */
typedef struct {
	const char *id;
	const char *text;
	command_kind_t kind;
	bool writes;	      /**< it may change data */
	const char *begin_id; /**< opens a transaction first; or NULL */
	const char *begin_text;
	bool read_only; /**< the transaction only reads */
	const catalog_database_t *database;
	GHashTable *values;	/**< session variables, or NULL */
	const char *definition; /**< of what COMMAND_EXECUTE runs, or NULL */
	const char *arguments;	/**< of COMMAND_EXECUTE */
	log_point_t own_point;	/**< last change of the session */
	uint64_t own_term;	/**< term in which that was made */
	uint64_t received_ms;
} relay_ask_t;

/** How it ended. */
typedef struct {
	bool failed;
	relay_error_t error;
	const char *text;   /**< of the error */
	GByteArray *body;   /**< the server's answer as encoded, or NULL */
	char status;	    /**< 'I', 'T' or 'E' */
	log_point_t point;  /**< of the server's log */
	uint64_t term;	    /**< of the primary that ran it, or 0 */
	relay_hold_t *hold; /**< kept for the transaction, or NULL */
} relay_result_t;

/** Called once, never from inside the call that starts the job. */
typedef void (*relay_job_done_t)(void *context, const relay_result_t *result);

/** Starts a statement that holds no connection yet. */
relay_job_t *relay_job_start(relay_services_t *services, const relay_ask_t *ask,
			     relay_job_done_t done, void *context);

/** Runs a statement of a transaction; the hold is given back in the result. */
relay_job_t *relay_job_continue(relay_hold_t *hold, const relay_ask_t *ask,
				relay_job_done_t done, void *context);

/** The caller went away; what runs is abandoned. */
void relay_job_cancel(relay_job_t *job);

#endif

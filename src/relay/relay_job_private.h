#ifndef RELAY_RELAY_JOB_PRIVATE_H
#define RELAY_RELAY_JOB_PRIVATE_H

#include "relay/relay_attempt.h"
#include "relay/relay_job.h"
#include "relay/relay_placement.h"

/* Declarations shared by the source files of the job. */

/* Concurrent attempts of one statement; the second is a hedge of a slow one. */
#define ATTEMPTS_MAX 2

/*
 * Minimum and maximum time to wait for a replica to reach the required log
 * point, and the number of such waits per statement.
 */
#define CATCH_UP_MS_MIN 5
#define CATCH_UP_MS_MAX 120
#define CATCH_UPS_MAX 3

struct relay_job {
	relay_service_t *service;
	relay_request_t request;
	relay_job_done_t done;
	void *context;
	struct event *timer;
	uint64_t deadline_ms;
	uint64_t retry_at_ms;	 /* time of the next retry, or 0 */
	uint64_t hedge_at_ms;	 /* time of the hedged attempt, or 0 */
	uint32_t retry_delay_ms; /* delay of the next retry */
	relay_waiter_t waiter;
	relay_server_t *waiting_at; /* server that has the waiter, or NULL */
	uint64_t waiting_since_ms;  /* when the wait at that server began */
	relay_parked_t parked;	    /* entry in the queue for a primary */
	relay_attempt_t *attempts[ATTEMPTS_MAX];
	uint32_t attempts_count;
	uint32_t attempts_started;   /* total number, including retries */
	uint64_t attempt_started_ms; /* last attempt, on the boot clock */
	char server[64];	     /* id of the last attempt's server */
	uint64_t term;	   /* term of the chosen primary; 0 for a replica */
	log_point_t after; /* point that the server must have, or zero */
	relay_placement_t placement;
	bool only_primary;	/* no replica could serve the read */
	uint32_t failures;	/* attempts of the read that ran and failed */
	uint32_t catch_ups;	/* waits for a replica to catch up */
	uint32_t path_failures; /* ways to the last replica that failed */
	relay_pin_t *pin; /* pinned connection of the transaction, or NULL */
	/* While set, the job ends with this error from the timer event. */
	bool ending;
	relay_error_t error;
	char error_text[64];
	/* Result of a change that must be proved before it is acknowledged. */
	relay_result_t unproved;
	uint64_t proof_deadline_ms; /* end of the wait, on the boot clock */
};

/** @return whether only the primary can run the statement */
bool job_needs_primary(const relay_job_t *job);

/** @return whether the statement can be run twice without a side effect */
bool job_is_repeatable(const relay_job_t *job);

/** Sets the timer to the earliest time at which the job must act. */
void job_schedule_timer(relay_job_t *job);

/** Cancels the waits for a connection, a primary and the next retry. */
void job_stop_waiting(relay_job_t *job);

/**
 * Abandons the attempts of a read, whose connections are reused if the answers
 * still arrive. Closes the connections of changes and transactions.
 */
void job_abandon_attempts(relay_job_t *job);

/** Drops an attempt from the list of those under way. */
void job_attempt_remove(relay_job_t *job, const relay_attempt_t *attempt);

/** Frees the job without calling its callback. */
void job_free(relay_job_t *job);

/** Retries after a delay that doubles each time. */
void job_retry_later(relay_job_t *job);

/** Retries from the timer event. */
void job_retry_now(relay_job_t *job);

/** Chooses a server and waits for a connection to it. */
void job_place(relay_job_t *job);

/** Starts an attempt on an acquired connection. */
void job_run_on(relay_job_t *job, relay_server_t *server, relay_link_t *link);

/** A connection was acquired; runs the statement on it. */
void job_on_granted(void *context, relay_server_t *server, relay_link_t *link);

/** The server can provide no connection now. */
void job_on_refused(void *context, relay_server_t *server);

/** Handles the end of an attempt; a relay_attempt_done_t. */
void job_on_attempt_done(void *context, relay_attempt_t *attempt,
			 relay_attempt_end_t end, const relay_answer_t *answer);

/** Ends the job with a result; it is freed. */
void job_finish(relay_job_t *job, const relay_result_t *result);

/** Ends the job with an error; it is freed. */
void job_finish_failed(relay_job_t *job, relay_error_t error, const char *text);

/**
 * Ends the job with an error from the timer event, because the callback must
 * not be called during the call that starts the job.
 */
void job_fail(relay_job_t *job, relay_error_t error, const char *text);

/**
 * Rejects the statement, which was not run.
 *
 * @param ready_ms estimated time until it could be served; the caller is told
 *                 to retry after that time, spread at random
 */
void job_refuse(relay_job_t *job, const char *reason, uint64_t ready_ms);

/**
 * Examines a wait for a primary or for a connection: rejects the statement if
 * it will probably not be served in time, moves a read whose server has no
 * connection to give.
 *
 * @return whether the job was rejected or moved
 */
bool job_check_wait(relay_job_t *job);

/** @return time until a takeover that is under way ends, 0 if there is none */
uint64_t job_takeover_left_ms(const relay_job_t *job);

/** Closes the pinned connection, which rolls its transaction back. */
void job_close_pin(relay_job_t *job);

/** @return whether the primary that ran the change is proved to be current */
bool job_may_acknowledge(const relay_job_t *job);

/**
 * Holds the result of a change that ran until the primary is proved to be
 * current; the body is referenced.
 */
void job_hold(relay_job_t *job, const relay_result_t *result);

/**
 * Acknowledges the held change once the primary is proved to be current; fails
 * with RELAY_ERROR_IN_DOUBT if that is not proved in time.
 */
void job_check_proof(relay_job_t *job);

#endif

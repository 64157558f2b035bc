#ifndef DAEMON_POOL_RUN_H
#define DAEMON_POOL_RUN_H

#include "daemon/pool.h"

/** Submits a request; its sink is called after this call has returned. */
void pool_run_submit(pool_task_t *pool, const request_t *request,
		     answer_sink_t sink);

/** Cancels a run; its sink is not called any more. */
void pool_run_cancel(pool_run_t *run);

/** Ends a run that had no effect with OUTCOME_NOT_RUN. */
void pool_run_refuse(pool_run_t *run, reason_t reason);

/** Starts a run that was taken from the queue on @p connection. */
void pool_run_begin(pool_run_t *run, pool_connection_t *connection);

/** Handles the end of the server's answer. */
void pool_run_complete(pool_run_t *run);

/**
 * Writes the bytes of the answer that need not be held back to the sink.
 *
 * @return false if the run was cancelled during the call
 */
bool pool_run_flush(pool_run_t *run);

/** Submits a request that is refused with @p reason. */
void pool_run_submit_refused(pool_task_t *pool, const request_t *request,
			     answer_sink_t sink, reason_t reason);

/** Ends a run in state RUNNING and abandons its connection. */
void pool_run_abort(pool_run_t *run, reason_t reason);

/**
 * Ends a run whose connection was closed. The outcome depends on what was sent
 * and answered before.
 */
void pool_run_end_disconnected(pool_run_t *run, reason_t reason);

/** Frees the run; its sink is not called. */
void pool_run_free(pool_run_t *run);

#endif

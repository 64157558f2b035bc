#ifndef DAEMON_POOL_RUN_H
#define DAEMON_POOL_RUN_H

#include "daemon/pool.h"

/** Takes a request in; it ends by its sink, later. */
void pool_run_submit(pool_task_t *pool, const request_t *request,
		     answer_sink_t sink);

/** Drops a run: its sink is not called again. */
void pool_run_cancel(pool_run_t *run);

/** Ends a run that had no effect. */
void pool_run_refuse(pool_run_t *run, reason_t reason);

/** The queue gave the run its turn on @p connection. */
void pool_run_begin(pool_run_t *run, pool_connection_t *connection);

/** The server's answer is complete. */
void pool_run_answered(pool_run_t *run);

/** Passes on what may be passed on. @return false if the run is gone */
bool pool_run_flush(pool_run_t *run);

/** Takes a request only to refuse it. */
void pool_run_submit_refused(pool_task_t *pool, const request_t *request,
			     answer_sink_t sink, reason_t reason);

/** Ends a run that is running; its connection is abandoned. */
void pool_run_give_up(pool_run_t *run, reason_t reason);

/** The run's connection broke. */
void pool_run_broken(pool_run_t *run, reason_t reason);

/** Frees the run without a word. */
void pool_run_free(pool_run_t *run);

#endif

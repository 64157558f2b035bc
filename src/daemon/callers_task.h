#ifndef DAEMON_CALLERS_TASK_H
#define DAEMON_CALLERS_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "coordination/drain_plan.h"
#include "daemon/settings.h"
#include "protocol/request.h"
#include "state/config.h"

/**
 * Accepts caller connections, serves them PostgreSQL protocol 3 and converts
 * their messages into requests, one at a time per session.
 */
typedef struct callers_task callers_task_t;

/** Reasons why callers_task_create() fails. */
typedef enum {
	CALLERS_ERROR_LISTEN, /**< the address is invalid or in use */
	CALLERS_ERROR_TLS,    /**< the certificate or key cannot be read */
} callers_error_t;

#define CALLERS_ERROR callers_error_quark()
GQuark callers_error_quark(void);

/** Functions of the dispatch task that the callers task calls. */
typedef struct {
	/** Routes and runs @p request, which is copied; see answer_sink_t. */
	void (*submit)(void *context, const request_t *request,
		       answer_sink_t sink);
	/** Cancels a request whose caller cancelled it or disconnected. */
	void (*cancel)(void *context, uint64_t request_id, void *sink_context);
	/** Rolls back the transaction that holds @p lease_id. */
	void (*release)(void *context, uint64_t lease_id);
	/**
	 * Runs a barrier on the primary and reports the primary's point to
	 * @p done; the zero point if no primary was proven in time.
	 */
	void (*barrier)(void *context, const char *database,
			uint32_t timeout_ms,
			void (*done)(void *done_context, log_point_t point),
			void *done_context);
	void *context;
} callers_dispatch_t;

/**
 * Starts to listen at the callers' address of @p settings.
 *
 * @return the task, or NULL with @p error set (see callers_error_t)
 */
callers_task_t *callers_task_create(struct event_base *base, metrics_t *metrics,
				    const settings_t *settings,
				    callers_dispatch_t dispatch,
				    GError **error);
void callers_task_destroy(callers_task_t *callers);

/**
 * Applies a new configuration; @p config must stay valid until the next call.
 */
void callers_task_configure(callers_task_t *callers, const config_t *config);

/**
 * Stops accepting connections and drains the sessions: open requests and
 * transactions run to their end, idle sessions are closed.
 */
void callers_task_drain(callers_task_t *callers, const drain_plan_t *plan);

/** Answers what is open with what is known of it, and closes all sessions. */
void callers_task_finish(callers_task_t *callers);

/** @return the number of sessions with an open request or transaction */
uint32_t callers_task_busy_count(const callers_task_t *callers);

/** @return the number of connected sessions */
uint32_t callers_task_session_count(const callers_task_t *callers);

#endif

#ifndef DAEMON_CALLERS_TASK_H
#define DAEMON_CALLERS_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "daemon/settings.h"
#include "protocol/request.h"
#include "state/config.h"

/**
 * Accepts callers, speaks PostgreSQL protocol 3 with them and turns what
 * they send into requests, one at a time for each session.
 */
typedef struct callers_task callers_task_t;

/** Why the task could not be made. */
typedef enum {
	CALLERS_ERROR_LISTEN, /**< the address is invalid or in use */
	CALLERS_ERROR_TLS,    /**< certificate or key cannot be read */
} callers_error_t;

#define CALLERS_ERROR callers_error_quark()
GQuark callers_error_quark(void);

/** What the callers' side asks of the dispatch task. */
typedef struct {
	/** Routes and runs; @p request is copied. See answer_sink_t. */
	void (*submit)(void *context, const request_t *request,
		       answer_sink_t sink);
	/** The caller cancelled or went away. */
	void (*cancel)(void *context, uint64_t request_id, void *sink_context);
	/** A session ended inside a transaction that holds @p lease_id. */
	void (*release)(void *context, uint64_t lease_id);
	/** Proves a point of the primary for a session without a token. */
	void (*barrier)(void *context, const char *database,
			uint32_t timeout_ms,
			void (*done)(void *done_context, log_point_t point),
			void *done_context);
	void *context;
} callers_dispatch_t;

/** @return the task, or NULL with @p error set (address in use). */
callers_task_t *callers_task_create(struct event_base *base, metrics_t *metrics,
				    const settings_t *settings,
				    callers_dispatch_t dispatch,
				    GError **error);
void callers_task_destroy(callers_task_t *callers);

/** Takes a new configuration; kept until the next call. */
void callers_task_configure(callers_task_t *callers, const config_t *config);

/**
 * Stops accepting, lets sessions finish what runs and closes those that are
 * idle outside a transaction.
 */
void callers_task_drain(callers_task_t *callers);

/** @return sessions with a request or transaction open. */
uint32_t callers_task_busy(const callers_task_t *callers);

/** @return sessions connected. */
uint32_t callers_task_count(const callers_task_t *callers);

#endif

#ifndef DAEMON_OPERATORS_TASK_H
#define DAEMON_OPERATORS_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "base/metrics.h"
#include "daemon/settings.h"

/**
 * Serves the HTTP interface for operators: `GET /status`, `GET /metrics`, `GET
 * /healthz`, `POST /drain`, `POST /promote?database=D[&server=S]&confirm=D`.
 */
typedef struct operators_task operators_task_t;

#define OPERATORS_ERROR operators_task_error_quark()

/** Kinds of error of operators_task_create(). */
typedef enum {
	OPERATORS_ERROR_ADDRESS, /**< cannot listen on the address */
} operators_error_t;

GQuark operators_task_error_quark(void);

/** Result of an operator's request to the node. */
typedef enum {
	OPERATORS_ACCEPTED,	/**< the request has been started */
	OPERATORS_UNKNOWN_NAME, /**< the database or server does not exist */
	OPERATORS_NOT_POSSIBLE, /**< the request cannot be run now */
} operators_answer_t;

/** Callbacks for requests of operators; called from the event loop. */
typedef struct {
	/**
	 * Returns the node's state as a JSON object: node, failure_domain,
	 * config revision, members, groups. The task frees it with g_free().
	 */
	char *(*status)(void *context);
	/** @return whether the node serves callers, for `GET /healthz` */
	bool (*healthy)(void *context);
	/** Starts the graceful shutdown, after the response was queued. */
	void (*drain)(void *context);
	/** Promotes @p server of @p database, or the best replica if NULL. */
	operators_answer_t (*promote)(void *context, const char *database,
				      const char *server);
	void *context;
} operators_handlers_t;

/** @return the task, or NULL with @p error set (address in use). */
operators_task_t *operators_task_create(struct event_base *base,
					metrics_t *metrics,
					const settings_t *settings,
					operators_handlers_t handlers,
					GError **error);
void operators_task_destroy(operators_task_t *operators);

/** @return the port that the task listens on. */
uint16_t operators_task_port(const operators_task_t *operators);

#endif

#ifndef DAEMON_OPERATORS_TASK_H
#define DAEMON_OPERATORS_TASK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "base/metrics.h"
#include "daemon/settings.h"

/**
 * Answers operators over HTTP: `GET /status`, `GET /metrics`, `GET /healthz`,
 * `POST /drain`, `POST /promote?database=D[&server=S]&confirm=D`.
 */
typedef struct operators_task operators_task_t;

#define OPERATORS_ERROR operators_task_error_quark()

/** Kinds of error of operators_task_create(). */
typedef enum {
	OPERATORS_ERROR_ADDRESS, /**< it cannot be listened on */
} operators_error_t;

GQuark operators_task_error_quark(void);

/** How the node took an order. */
typedef enum {
	OPERATORS_ACCEPTED,	/**< it has begun */
	OPERATORS_UNKNOWN_NAME, /**< there is no such database or server */
	OPERATORS_NOT_POSSIBLE, /**< it cannot be done now */
} operators_answer_t;

/** What operators may ask of the node; called from the event loop. */
typedef struct {
	/**
	 * Writes the node's state as a JSON object: node, failure_domain,
	 * config revision, members, groups. Freed by the task with g_free().
	 */
	char *(*status)(void *context);
	/** @return whether the node serves callers, for `GET /healthz` */
	bool (*healthy)(void *context);
	/** Starts the graceful shutdown; the answer is sent first. */
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

/** @return the port that is listened on. */
uint16_t operators_task_port(const operators_task_t *operators);

#endif

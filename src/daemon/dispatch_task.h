#ifndef DAEMON_DISPATCH_TASK_H
#define DAEMON_DISPATCH_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "protocol/request.h"
#include "state/config.h"
#include "state/group_table.h"

/**
 * Takes the requests of this node's callers through to an end: chooses a
 * server and one of its owners, forwards, retries what was not run, and lets
 * changes wait while a primary is replaced.
 */
typedef struct dispatch_task dispatch_task_t;

/** What the dispatch task needs of the node. */
typedef struct {
	/** Runs a request at a node, this one included. */
	void (*submit)(void *context, const char *node,
		       const request_t *request, answer_sink_t sink);
	void (*cancel)(void *context, const char *node, uint64_t request_id,
		       void *sink_context);
	void (*release)(void *context, const char *node, uint64_t lease_id);
	/** Lists up to OWNER_LIMIT owners of a server. @return their number */
	uint32_t (*owners)(void *context, const config_service_t *service,
			   const config_server_t *server, const char **nodes);
	void (*barrier)(void *context, const char *database,
			uint32_t timeout_ms,
			void (*done)(void *done_context, log_point_t point),
			void *done_context);
	void *context;
} dispatch_handlers_t;

dispatch_task_t *dispatch_task_create(struct event_base *base,
				      metrics_t *metrics, const char *node,
				      const char *failure_domain,
				      group_table_t *table,
				      dispatch_handlers_t handlers);
void dispatch_task_destroy(dispatch_task_t *dispatch);

/** Takes a new configuration; kept until the next call. */
void dispatch_task_configure(dispatch_task_t *dispatch, const config_t *config);

/** A newer primary of @p database is known: what waits goes on. */
void dispatch_task_primary_changed(dispatch_task_t *dispatch,
				   const char *database);

/** Takes a request; @p request is copied. */
void dispatch_task_submit(dispatch_task_t *dispatch, const request_t *request,
			  answer_sink_t sink);

/** Cancels a request; its sink is not called again. */
void dispatch_task_cancel(dispatch_task_t *dispatch, uint64_t request_id,
			  void *sink_context);

/** Gives up a transaction. */
void dispatch_task_release(dispatch_task_t *dispatch, uint64_t lease_id);

/** @return requests that have not ended. */
uint32_t dispatch_task_busy(const dispatch_task_t *dispatch);

#endif

#ifndef DAEMON_DISPATCH_TASK_H
#define DAEMON_DISPATCH_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "protocol/request.h"
#include "state/config.h"
#include "state/group_table.h"

/**
 * Executes the requests of this node's callers: chooses a server and one of
 * its owners, forwards the request, retries it if it was not run, and queues
 * changes while a primary is being replaced.
 */
typedef struct dispatch_task dispatch_task_t;

/** Functions of the node that the dispatch task calls. */
typedef struct {
	/** Runs a request on a node, which may be this node. */
	void (*submit)(void *context, const char *node,
		       const request_t *request, answer_sink_t sink);
	/** Cancels a request that was submitted to @p node. */
	void (*cancel)(void *context, const char *node, uint64_t request_id,
		       void *sink_context);
	/** Rolls back the transaction of @p lease_id, an id of @p node. */
	void (*release)(void *context, const char *node, uint64_t lease_id);
	/** Writes up to OWNER_LIMIT owners to @p nodes. @return the count */
	uint32_t (*owners)(void *context, const config_service_t *service,
			   const config_server_t *server, const char **nodes);
	/**
	 * Runs a barrier on the primary and reports the primary's point to
	 * @p done; the zero point if no primary was proven in time.
	 */
	void (*barrier)(void *context, const char *database,
			uint32_t timeout_ms,
			void (*done)(void *done_context, log_point_t point),
			void *done_context);
	void *context;
} dispatch_handlers_t;

/**
 * @param node name of this node
 * @param failure_domain failure domain of this node
 * @param table newest primary of each database; kept, not owned
 */
dispatch_task_t *dispatch_task_create(struct event_base *base,
				      metrics_t *metrics, const char *node,
				      const char *failure_domain,
				      group_table_t *table,
				      dispatch_handlers_t handlers);
void dispatch_task_destroy(dispatch_task_t *dispatch);

/**
 * Applies a new configuration; @p config must stay valid until the next call.
 */
void dispatch_task_configure(dispatch_task_t *dispatch, const config_t *config);

/**
 * Handles a newer primary of @p database: resumes the waiting requests and
 * limits the time of attempts on the replaced primary.
 */
void dispatch_task_primary_changed(dispatch_task_t *dispatch,
				   const char *database);

/** Submits @p request, which is copied; its answer goes to @p sink. */
void dispatch_task_submit(dispatch_task_t *dispatch, const request_t *request,
			  answer_sink_t sink);

/** Cancels a request; its sink is not called again. */
void dispatch_task_cancel(dispatch_task_t *dispatch, uint64_t request_id,
			  void *sink_context);

/** Rolls back a transaction and releases its server connection. */
void dispatch_task_release(dispatch_task_t *dispatch, uint64_t lease_id);

/** @return the number of requests that have not ended */
uint32_t dispatch_task_busy_count(const dispatch_task_t *dispatch);

#endif

#ifndef DAEMON_POOL_TASK_H
#define DAEMON_POOL_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "protocol/request.h"
#include "state/config.h"

/**
 * Holds the connections to the backend servers that this node owns, queues
 * the requests for them and runs them. Sinks are never called during the call
 * that submits their request.
 */
typedef struct pool_task pool_task_t;

/** Reports whether the awaited condition was met in time. */
typedef void (*pool_done_t)(void *context, bool confirmed);

/** Functions of the group task that the pool calls. */
typedef struct {
	/**
	 * Calls @p done once confirm_replicas replicas hold @p point, or after
	 * @p timeout_ms.
	 */
	void (*confirm)(void *context, const char *database, log_point_t point,
			uint32_t timeout_ms, pool_done_t done,
			void *done_context);
	/**
	 * Calls @p done once @p server has replayed @p point, or after
	 * @p timeout_ms.
	 */
	void (*wait_replayed)(void *context, const char *database,
			      const char *server, log_point_t point,
			      uint32_t timeout_ms, pool_done_t done,
			      void *done_context);
	/**
	 * @return whether the data of @p server is proven to be at most
	 *         @p max_age_ms old
	 */
	bool (*is_fresh)(void *context, const char *database,
			 const char *server, uint32_t max_age_ms);
	/** @return the newest point that @p server has reported as replayed */
	log_point_t (*replayed)(void *context, const char *database,
				const char *server);
	/** Reports a server whose connection failed or was refused. */
	void (*server_failed)(void *context, const char *database,
			      const char *server);
	/** Writes the newest known term and primary to @p answer. */
	void (*fill_newest_primary)(void *context, const char *database,
				    answer_t *answer);
	void *context;
} pool_group_t;

pool_task_t *pool_task_create(struct event_base *base, metrics_t *metrics,
			      pool_group_t group);
void pool_task_destroy(pool_task_t *pool);

/**
 * Applies a new configuration; @p config must stay valid until the next call.
 */
void pool_task_configure(pool_task_t *pool, const config_t *config);

/**
 * Sets this node's share of a server's connections.
 *
 * @param connections maximum number of connections. 0 if the node no longer
 *        owns the server: running requests are finished, queued and new ones
 *        are refused, and idle connections are closed at once
 */
void pool_task_set_share(pool_task_t *pool, const char *database,
			 const char *server, uint32_t connections);

/** Runs @p request, which is copied; its answer goes to @p sink. */
void pool_task_submit(pool_task_t *pool, const request_t *request,
		      answer_sink_t sink);

/**
 * Same as pool_task_submit(), for a request that a peer has forwarded. Shortly
 * after a pause of this process the request is refused, since it may have been
 * sent before the pause.
 */
void pool_task_submit_forwarded(pool_task_t *pool, const request_t *request,
				answer_sink_t sink);

/** Cancels the request with this id and sink context, if there is one. */
void pool_task_cancel(pool_task_t *pool, uint64_t request_id,
		      void *sink_context);

/** Rolls back a transaction and releases its connection. */
void pool_task_release(pool_task_t *pool, uint64_t lease_id);

/** @return the number of open requests and leases; 0 once drained */
uint32_t pool_task_busy_count(const pool_task_t *pool);

#endif

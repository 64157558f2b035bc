#ifndef DAEMON_POOL_TASK_H
#define DAEMON_POOL_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "protocol/request.h"
#include "state/config.h"

/**
 * Holds the connections to the backend servers that this node owns, queues
 * the requests for them and runs them. Answers never come from inside the
 * call that submits.
 */
typedef struct pool_task pool_task_t;

/** Asked when a commit stands on the primary but is not yet safe. */
typedef void (*pool_confirmed_t)(void *context, bool confirmed);

/** What the pool needs of the group task. */
typedef struct {
	/** Calls @p done once k replicas hold @p point, or time is over. */
	void (*confirm)(void *context, const char *database, log_point_t point,
			uint32_t timeout_ms, pool_confirmed_t done,
			void *done_context);
	/** Calls @p done once @p server has replayed @p point, or not. */
	void (*wait_replayed)(void *context, const char *database,
			      const char *server, log_point_t point,
			      uint32_t timeout_ms, pool_confirmed_t done,
			      void *done_context);
	/** @return whether @p server is proven no older than @p max_age_ms */
	bool (*is_fresh)(void *context, const char *database,
			 const char *server, uint32_t max_age_ms);
	/** @return newest point that @p server is known to have replayed */
	log_point_t (*replayed)(void *context, const char *database,
				const char *server);
	/** Tells of a server that broke off or refuses connections. */
	void (*server_failed)(void *context, const char *database,
			      const char *server);
	/** @return newest term and primary known, for the answer */
	void (*newest)(void *context, const char *database, answer_t *answer);
	void *context;
} pool_group_t;

pool_task_t *pool_task_create(struct event_base *base, metrics_t *metrics,
			      pool_group_t group);
void pool_task_destroy(pool_task_t *pool);

/** Takes a new configuration; kept until the next call. */
void pool_task_configure(pool_task_t *pool, const config_t *config);

/**
 * Sets this node's share of a server's connections.
 *
 * @param connections 0 when the node no longer owns it: what runs is
 *        finished, nothing new starts, idle connections close at once
 */
void pool_task_own(pool_task_t *pool, const char *database, const char *server,
		   uint32_t connections);

/** Runs a request; @p request is copied. */
void pool_task_submit(pool_task_t *pool, const request_t *request,
		      answer_sink_t sink);

/**
 * As pool_task_submit(), for a request that a peer has forwarded. It is not
 * run just after a pause of this process: it may have been sent before.
 */
void pool_task_submit_forwarded(pool_task_t *pool, const request_t *request,
				answer_sink_t sink);

/** Cancels what (@p sink.context, @p request_id) has asked for. */
void pool_task_cancel(pool_task_t *pool, uint64_t request_id,
		      void *sink_context);

/** Rolls back and gives up a transaction's connection. */
void pool_task_release(pool_task_t *pool, uint64_t lease_id);

/** @return requests queued or running; 0 lets a shutdown go on. */
uint32_t pool_task_busy(const pool_task_t *pool);

#endif

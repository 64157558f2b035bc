#ifndef DAEMON_GROUP_TASK_H
#define DAEMON_GROUP_TASK_H

#include <event2/event.h>

#include "base/metrics.h"
#include "store/store.h"
#include "state/config.h"
#include "state/group_table.h"
#include "state/log_point.h"
#include "state/member_view.h"

/**
 * Watches the backend servers that this node owns, confirms commits, proves
 * the primary's term for reads, detects lost primaries and promotes replicas.
 */
typedef struct group_task group_task_t;

/** @param confirmed false if no confirmation arrived in time */
typedef void (*group_done_t)(void *context, bool confirmed);

/** @param point zero if no primary could be proven in time */
typedef void (*group_barrier_done_t)(void *context, log_point_t point);

/** Callbacks from the group task to the node. */
typedef struct {
	/** Sends a note to the peer @p node. */
	void (*send)(void *context, const char *node, const uint8_t *bytes,
		     size_t size_bytes);
	/** Lists the owners of a server, best first. @return their number */
	uint32_t (*owners)(void *context, const char *database,
			   const char *server, const char **nodes,
			   uint32_t limit);
	/** Called when a newer term or primary is known. */
	void (*changed)(void *context, const char *database,
			const group_view_t *view);
	void *context;
} group_handlers_t;

group_task_t *group_task_create(struct event_base *base, metrics_t *metrics,
				const char *node, group_table_t *table,
				store_t *store, group_handlers_t handlers);
void group_task_destroy(group_task_t *group);

/** Applies a configuration, which must stay valid until the next call. */
void group_task_configure(group_task_t *group, const config_t *config);

/** Starts or stops watching a server that this node owns. */
void group_task_set_owned(group_task_t *group, const char *database,
			  const char *server, bool owned);

/** Sets the members that promotions are announced to. */
void group_task_set_members(group_task_t *group, const member_view_t *view);

/** Handles a note from a peer's group task. */
void group_task_handle_note(group_task_t *group, const char *from,
			    const uint8_t *bytes, size_t size_bytes);

/**
 * Calls @p done once confirm_replicas replicas hold @p point in its term, or
 * when @p timeout_ms have passed.
 */
void group_task_confirm(group_task_t *group, const char *database,
			log_point_t point, uint32_t timeout_ms,
			group_done_t done, void *done_context);

/**
 * Calls @p done once the owned @p server has replayed @p point, or when
 * @p timeout_ms have passed.
 */
void group_task_wait_replayed(group_task_t *group, const char *database,
			      const char *server, log_point_t point,
			      uint32_t timeout_ms, group_done_t done,
			      void *done_context);

/**
 * Proves a point of the primary with evidence that a node that owns the
 * primary gathers after this call. One round serves all waiting callers.
 */
void group_task_barrier(group_task_t *group, const char *database,
			uint32_t timeout_ms, group_barrier_done_t done,
			void *done_context);

/**
 * @return whether the data of an owned server is proven to be at most
 *         @p max_age_ms old
 */
bool group_task_is_fresh(group_task_t *group, const char *database,
			 const char *server, uint32_t max_age_ms);

/** @return newest point that a server is known to have replayed. */
log_point_t group_task_replayed(group_task_t *group, const char *database,
				const char *server);

/** Polls an owned server at once after one of its connections failed. */
void group_task_server_failed(group_task_t *group, const char *database,
			      const char *server);

/** Promotes @p server, or the best replica if NULL, on request. */
void group_task_promote(group_task_t *group, const char *database,
			const char *server);

/** @return the state of all databases as JSON; free with g_free(). */
char *group_task_status(const group_task_t *group);

#endif

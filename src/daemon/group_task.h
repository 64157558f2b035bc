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
 * terms for reads, finds lost primaries and promotes replicas.
 */
typedef struct group_task group_task_t;

/** @param confirmed false when it could not be had in time */
typedef void (*group_done_t)(void *context, bool confirmed);

/** @param point zero when no primary could be proven in time */
typedef void (*group_barrier_done_t)(void *context, log_point_t point);

/** What the group task needs of the node. */
typedef struct {
	/** Sends a note to the peer @p node. */
	void (*send)(void *context, const char *node, const uint8_t *bytes,
		     size_t size_bytes);
	/** Lists the owners of a server, best first. @return their number */
	uint32_t (*owners)(void *context, const char *database,
			   const char *server, const char **nodes,
			   uint32_t limit);
	/** A newer term or primary became known. */
	void (*changed)(void *context, const char *database,
			const group_view_t *view);
	void *context;
} group_handlers_t;

group_task_t *group_task_create(struct event_base *base, metrics_t *metrics,
				const char *node, group_table_t *table,
				store_t *store, group_handlers_t handlers);
void group_task_destroy(group_task_t *group);

/** Takes a new configuration; kept until the next call. */
void group_task_configure(group_task_t *group, const config_t *config);

/** Starts or stops watching a server that this node owns. */
void group_task_own(group_task_t *group, const char *database,
		    const char *server, bool owned);

/** Members came or went: whom to tell and to ask may have changed. */
void group_task_members(group_task_t *group, const member_view_t *view);

/** Takes in a note from a peer's group task. */
void group_task_note(group_task_t *group, const char *from,
		     const uint8_t *bytes, size_t size_bytes);

/** Calls @p done once k replicas hold @p point in its term, or in vain. */
void group_task_confirm(group_task_t *group, const char *database,
			log_point_t point, uint32_t timeout_ms,
			group_done_t done, void *done_context);

/** Calls @p done once an owned @p server has replayed @p point, or not. */
void group_task_wait_replayed(group_task_t *group, const char *database,
			      const char *server, log_point_t point,
			      uint32_t timeout_ms, group_done_t done,
			      void *done_context);

/**
 * Proves a point of the primary with evidence gathered after this call, at
 * whichever node owns the primary; one round serves all who wait.
 */
void group_task_barrier(group_task_t *group, const char *database,
			uint32_t timeout_ms, group_barrier_done_t done,
			void *done_context);

/** @return whether an owned server is proven no older than @p max_age_ms */
bool group_task_is_fresh(group_task_t *group, const char *database,
			 const char *server, uint32_t max_age_ms);

/** @return newest point that an owned server is known to have replayed */
log_point_t group_task_replayed(group_task_t *group, const char *database,
				const char *server);

/** A connection to an owned server broke or was refused. */
void group_task_server_failed(group_task_t *group, const char *database,
			      const char *server);

/** Promotes @p server, or the best replica if NULL, on operators' order. */
void group_task_promote(group_task_t *group, const char *database,
			const char *server);

/** Writes the state of every database known as JSON; free with g_free(). */
char *group_task_status(const group_task_t *group);

#endif

#ifndef DAEMON_DISPATCH_PRIVATE_H
#define DAEMON_DISPATCH_PRIVATE_H

#include <glib.h>

#include "coordination/retry.h"
#include "coordination/route.h"
#include "daemon/dispatch_task.h"

/* Declarations shared by the parts of the dispatch task (dispatch_*.c). */

typedef struct dispatch_wait_queue dispatch_wait_queue_t;

/**
 * Server connection that an open transaction uses. The table of leases maps
 * this node's own lease id to the owner that holds the connection.
 */
typedef struct {
	char *node; /**< owner that holds the connection */
	char *server;
	uint64_t lease_id; /**< id that the owner assigned */
} dispatch_lease_t;

/** Requests of one database that wait for a primary. */
struct dispatch_wait_queue {
	dispatch_task_t *dispatch;
	char *database;
	GQueue entries;	     /**< dispatch_entry_t, not owned */
	struct event *probe; /**< starts the next barrier */
	bool probing;	     /**< a barrier is running */
};

/** One submitted request and its current attempt. */
typedef struct {
	dispatch_task_t *dispatch;
	uint64_t id;	    /**< request id of the attempts */
	request_t *request; /**< request as the caller submitted it */
	answer_sink_t sink;
	uint64_t started_ms;
	uint64_t attempt_ms; /**< when the current attempt was sent */
	uint64_t deadline_ms;
	uint32_t attempts; /**< attempts sent so far */
	uint32_t tried;	   /**< bit set of the replicas already tried */
	char *node;	   /**< node that runs the attempt, NULL if none does */
	char *server;	   /**< server of the latest attempt */
	uint64_t term;	   /**< primary's term of the attempt, or 0 */
	bool answer_begun; /**< part of an answer went to the caller */
	bool at_primary;   /**< the latest attempt went to the primary */
	bool awaits_replay; /**< the attempt may wait until a replica has
			       replayed the request's point */
	/** Queue that holds the entry, or NULL. */
	dispatch_wait_queue_t *wait_queue;
	struct event *timer; /**< see dispatch_entry_set_timer() */
} dispatch_entry_t;

struct dispatch_task {
	struct event_base *base;
	metrics_t *metrics;
	char *node; /**< name of this node */
	group_table_t *table;
	dispatch_handlers_t handlers;
	const config_t *config;
	route_t *route;
	GHashTable *entries; /**< entry id -> dispatch_entry_t */
	GHashTable *leases;  /**< this node's lease id -> dispatch_lease_t */
	GHashTable *wait_queues; /**< database -> dispatch_wait_queue_t */
	GHashTable *budgets;	 /**< tenant -> retry_budget_t */
	uint64_t next_id;
	uint64_t next_lease_id;
};

/* Value destructors of the task's hash tables. */
void dispatch_lease_free(gpointer data);
void dispatch_entry_free(gpointer data);
void dispatch_wait_queue_free(gpointer data);

/**
 * Records that the entry's current owner holds lease @p lease_id.
 *
 * @return the id that this node assigns to the lease
 */
uint64_t dispatch_lease_add(dispatch_entry_t *entry, uint64_t lease_id);

/** @return the tenant's retry budget, created on its first use */
retry_budget_t *dispatch_budget_get(dispatch_task_t *dispatch,
				    const char *tenant);

/**
 * Routes the entry and sends it to an owner of the chosen server. Runs a
 * barrier first if routing requires one, and queues the entry if no server
 * can serve it now.
 */
void dispatch_attempt_begin(dispatch_entry_t *entry);

/** Ends an entry with OUTCOME_NOT_RUN and frees it. */
void dispatch_entry_refuse(dispatch_entry_t *entry, reason_t reason);

/**
 * Starts the entry's timer. When it expires, a running attempt is cancelled, a
 * waiting entry past its deadline is refused, and any other entry starts an
 * attempt.
 */
void dispatch_entry_set_timer(dispatch_entry_t *entry, uint64_t delay_ms);

/** Handles a part of an attempt's answer; @p context is the entry. */
void dispatch_entry_handle_chunk(void *context, uint64_t request_id,
				 GBytes *bytes);

/** Handles the end of an attempt; @p context is the entry. */
void dispatch_entry_handle_end(void *context, uint64_t request_id,
			       const answer_t *answer);

/**
 * Queues an entry until its database has a primary or the entry's deadline
 * passes. Refuses the entry if the deadline has passed or the queue is full.
 */
void dispatch_wait_queue_add(dispatch_entry_t *entry);

/** Starts an attempt of every waiting entry. */
void dispatch_wait_queue_resume(dispatch_wait_queue_t *wait_queue);

#endif

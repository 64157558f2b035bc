#ifndef DAEMON_DISPATCH_PRIVATE_H
#define DAEMON_DISPATCH_PRIVATE_H

#include <glib.h>

#include "coordination/retry.h"
#include "coordination/route.h"
#include "daemon/dispatch_task.h"

typedef struct dispatch_waiting dispatch_waiting_t;

/** A transaction's server connection, as this node numbers it. */
typedef struct {
	char *node;
	char *server;
	uint64_t lease_id; /**< as the owner numbers it */
} dispatch_lease_t;

/** What waits for a primary of one database. */
struct dispatch_waiting {
	dispatch_task_t *dispatch;
	char *database;
	GQueue entries; /**< dispatch_entry_t, not owned */
	struct event *probe;
	bool probing;
};

/** One request on its way to an end. */
typedef struct {
	dispatch_task_t *dispatch;
	uint64_t id;
	request_t *request; /**< as the caller asked */
	answer_sink_t sink;
	uint64_t started_ms;
	uint64_t attempt_ms;
	uint64_t deadline_ms;
	uint32_t attempts;
	uint32_t tried;
	char *node; /**< that runs the attempt, or NULL */
	char *server;
	uint64_t term; /**< that the attempt was sent for */
	bool answer_begun;
	bool at_primary;
	bool awaits_replay; /**< the attempt may wait for a replica */
	dispatch_waiting_t *waiting;
	struct event *timer; /**< deadline while it waits, or a delay */
} dispatch_entry_t;

struct dispatch_task {
	struct event_base *base;
	metrics_t *metrics;
	char *node;
	group_table_t *table;
	dispatch_handlers_t handlers;
	const config_t *config;
	route_t *route;
	GHashTable *entries; /**< id -> dispatch_entry_t */
	GHashTable *leases;  /**< id -> dispatch_lease_t */
	GHashTable *waiting; /**< database -> dispatch_waiting_t */
	GHashTable *budgets; /**< tenant -> retry_budget_t */
	uint64_t next_id;
	uint64_t next_lease;
};

/** Value destructors of the task's tables. */
void dispatch_lease_free(gpointer data);
void dispatch_entry_free(gpointer data);
void dispatch_waiting_free(gpointer data);

/** Numbers the lease as this node's own and remembers where it is held. */
uint64_t dispatch_lease_remember(dispatch_entry_t *entry, uint64_t lease_id);

/** @return the tenant's budget of retries, made on its first use. */
retry_budget_t *dispatch_budget_get(dispatch_task_t *dispatch,
				    const char *tenant);

/** Sends the entry to the server that suits it now, or lets it wait. */
void dispatch_attempt_begin(dispatch_entry_t *entry);

/** Ends an entry as not run; it is freed. */
void dispatch_entry_refuse(dispatch_entry_t *entry, reason_t reason);

/**
 * Has the entry go on after a delay: an attempt is given up, a waiting entry
 * is tried again or refused, any other is tried.
 */
void dispatch_entry_set_timer(dispatch_entry_t *entry, uint64_t delay_ms);

/** Takes a part of an attempt's answer; @p context is the entry. */
void dispatch_entry_take_chunk(void *context, uint64_t request_id,
			       GBytes *bytes);

/** Takes the end of an attempt; @p context is the entry. */
void dispatch_entry_take_end(void *context, uint64_t request_id,
			     const answer_t *answer);

/** Has an entry wait for a primary until its deadline. */
void dispatch_waiting_add(dispatch_entry_t *entry);

/** Tries every entry that waits again. */
void dispatch_waiting_resume(dispatch_waiting_t *waiting);

#endif

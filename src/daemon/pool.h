#ifndef DAEMON_POOL_H
#define DAEMON_POOL_H

#include "coordination/admission.h"
#include "coordination/lease_table.h"
#include "coordination/pause_watch.h"
#include "daemon/pool_task.h"
#include "protocol/exchange.h"
#include "transport/server_connection.h"

/* What the parts of the pool task (pool_*.c) share. */

typedef struct pool_server pool_server_t;
typedef struct pool_run pool_run_t;

typedef enum {
	POOL_CONNECTION_OPENING,
	POOL_CONNECTION_IDLE,
	POOL_CONNECTION_RUNNING,
	POOL_CONNECTION_LEASED,	   /**< idle inside a transaction */
	POOL_CONNECTION_RESETTING, /**< rolls back an abandoned one */
} pool_connection_state_t;

/** One connection to a backend server and what it is used for. */
typedef struct {
	uint64_t connection_id;
	pool_server_t *server;
	server_connection_t *link;
	pool_connection_state_t state;
	uint64_t term;	 /**< that it is set to, 0 for none */
	pool_run_t *run; /**< while it is running */
} pool_connection_t;

/** One backend server that this node owns or owned. */
struct pool_server {
	pool_task_t *pool;
	char *database;
	char *name;
	uint32_t share;		/**< most connections; 0 when not owned */
	GPtrArray *connections; /**< pool_connection_t, owned */
	uint32_t opening;
	admission_t *admission;
	const config_service_t *service; /**< NULL when not configured */
	const config_server_t *config;	 /**< NULL when not configured */
	struct event *pump;		 /**< starts what may start */
	struct event *retry;		 /**< wakes the pump after a pause */
	uint64_t retry_at_ms;		 /**< no connection is opened before */
	uint32_t backoff_ms;
	bool unreachable; /**< the last attempt to connect failed */
	bool full;	  /**< the last attempt met the server's limit */
	metric_t *open;	  /**< connections */
	metric_t *queued; /**< requests */
};

typedef enum {
	POOL_RUN_REFUSED, /**< ends as soon as the loop comes round */
	POOL_RUN_WAITING, /**< for a replica to catch up */
	POOL_RUN_QUEUED,
	POOL_RUN_RUNNING,
	POOL_RUN_CONFIRMING,
} pool_run_state_t;

/** One request from submit to end. */
struct pool_run {
	pool_task_t *pool;
	uint64_t run_id;
	request_t *request;
	answer_sink_t sink;
	pool_run_state_t state;
	pool_server_t *server;
	pool_connection_t *connection; /**< while it is running */
	exchange_t *exchange;
	exchange_result_t result;
	reason_t refusal;
	struct event *timer; /**< deadline, or now for a refusal */
	uint64_t deadline_ms;
	uint64_t queued_us;
	uint64_t started_us;
	log_point_t replayed; /**< of the replica, when it was checked */
};

struct pool_task {
	struct event_base *base;
	metrics_t *metrics;
	pool_group_t group;
	const config_t *config;
	GHashTable *servers;	 /**< "database/server" -> pool_server_t */
	GHashTable *runs;	 /**< run id -> pool_run_t */
	GHashTable *connections; /**< id -> pool_connection_t, not owned */
	lease_table_t *leases;
	pause_watch_t pause;
	struct event *tick;  /**< notes that the process runs */
	struct event *sweep; /**< ends transactions that stay idle */
	GRand *jitter;
	uint64_t next_run_id;
	uint64_t next_connection_id;
	bool destroying;
};

/** @return whether the process stood still since @p since_us */
bool pool_paused_since(pool_task_t *pool, uint64_t since_us);

/** @return the server, or NULL if this node never owned it. */
pool_server_t *pool_find_server(pool_task_t *pool, const char *database,
				const char *name);

#endif

#ifndef DAEMON_POOL_H
#define DAEMON_POOL_H

#include "coordination/admission.h"
#include "coordination/lease_table.h"
#include "coordination/pause_watch.h"
#include "daemon/pool_task.h"
#include "protocol/exchange.h"
#include "transport/server_connection.h"

/* Declarations shared by the parts of the pool task (pool_*.c). */

typedef struct pool_server pool_server_t;
typedef struct pool_run pool_run_t;

typedef enum {
	POOL_CONNECTION_OPENING,
	POOL_CONNECTION_IDLE,
	POOL_CONNECTION_RUNNING,
	POOL_CONNECTION_LEASED,	   /**< idle inside a transaction */
	POOL_CONNECTION_RESETTING, /**< rolls back an abandoned transaction */
} pool_connection_state_t;

/** One connection to a backend server and its current use. */
typedef struct {
	uint64_t connection_id;
	pool_server_t *server;
	server_connection_t *link;
	pool_connection_state_t state;
	uint64_t term;	 /**< replication.term of its session, 0 for none */
	pool_run_t *run; /**< run that uses it while it is RUNNING */
} pool_connection_t;

/** One backend server that this node owns or has owned. */
struct pool_server {
	pool_task_t *pool;
	char *database;
	char *name;
	uint32_t share; /**< connections this node may open; 0 if not owner */
	GPtrArray *connections;		 /**< pool_connection_t, owned */
	uint32_t opening;		 /**< connections in state OPENING */
	admission_t *admission;		 /**< queue of the waiting runs */
	const config_service_t *service; /**< NULL when not configured */
	const config_server_t *config;	 /**< NULL when not configured */
	struct event *process_event;	 /**< processes the queue soon */
	struct event *retry_event; /**< processes the queue after a back-off */
	uint64_t retry_at_ms;	   /**< earliest time to open a connection */
	uint32_t backoff_ms;	   /**< current back-off, 0 after a success */
	bool unreachable;	   /**< the last attempt to connect failed */
	bool full; /**< the last attempt hit the server's connection limit */
	metric_t *open_gauge;	/**< gauge of the open connections */
	metric_t *queued_gauge; /**< gauge of the queued requests */
};

typedef enum {
	POOL_RUN_REFUSED, /**< is refused in the next turn of the event loop */
	POOL_RUN_WAITING, /**< waits until a replica has caught up */
	POOL_RUN_QUEUED,  /**< waits for a connection */
	POOL_RUN_RUNNING, /**< uses a connection */
	POOL_RUN_CONFIRMING, /**< waits until replicas hold the commit */
} pool_run_state_t;

/** One request from its submission to its end. */
struct pool_run {
	pool_task_t *pool;
	uint64_t run_id;
	request_t *request;
	answer_sink_t sink;
	pool_run_state_t state;
	pool_server_t *server;
	pool_connection_t *connection; /**< connection in state RUNNING */
	exchange_t *exchange;
	exchange_result_t result;
	reason_t refusal;    /**< reason in state REFUSED */
	struct event *timer; /**< deadline; fires at once in state REFUSED */
	uint64_t deadline_ms;
	uint64_t queued_us;
	uint64_t started_us;
	log_point_t replayed; /**< replica's replayed point at its check */
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
	struct event *tick;  /**< reports to pause that the process runs */
	struct event *sweep; /**< rolls back idle transactions */
	GRand *jitter;
	uint64_t next_run_id;
	uint64_t next_connection_id;
	bool destroying;
};

/** @return whether the process was paused since @p since_us */
bool pool_paused_since(pool_task_t *pool, uint64_t since_us);

/** @return the server, or NULL if this node has never owned it */
pool_server_t *pool_find_server(pool_task_t *pool, const char *database,
				const char *name);

#endif

#ifndef DAEMON_GROUP_PRIVATE_H
#define DAEMON_GROUP_PRIVATE_H

#include <glib.h>

#include "backend/backend_control.h"
#include "coordination/detector.h"
#include "coordination/evidence.h"
#include "coordination/promotion.h"
#include "daemon/group_task.h"
#include "protocol/group_note.h"
#include "state/freshness.h"

/** Timeout of one statement on a backend server, in milliseconds. */
#define GROUP_SERVER_TIMEOUT_MS 600

/** Maximum number of backend servers of one database. */
#define GROUP_SERVER_LIMIT EVIDENCE_SERVER_LIMIT

typedef struct group_database group_database_t;
typedef struct group_server group_server_t;
typedef struct group_watch group_watch_t;
typedef struct group_requests group_requests_t;

/**
 * Called when an operation on a server has ended.
 *
 * @param status status that the server reported, or NULL
 */
typedef void (*group_operation_done_t)(void *context, server_result_t result,
				       const server_status_t *status);

/** Condition that a status has to meet before a waiter receives it. */
typedef enum {
	GROUP_WAIT_HELD,     /**< the last log record has reached the point */
	GROUP_WAIT_REPLAYED, /**< the replay has reached the point */
} group_wait_t;

/** State of one backend server of a database, as this node knows it. */
struct group_server {
	group_database_t *database;
	uint32_t index;
	char name[GROUP_SERVER_NAME_SIZE];
	char address[46]; /**< IP address */
	uint16_t port;
	char failure_domain[32];
	bool known;		/**< a status has been received */
	server_status_t status; /**< newest status, polled or from a peer */
	uint64_t status_at_ms;	/**< when requested, or received from a peer */
	group_watch_t *watch;	/**< NULL unless this node owns it */
	uint64_t follow_at_ms;	/**< earliest time of the next follow order */
	bool leaving;		/**< being decommissioned, no new work */
};

/** Barriers of this node that an owner of the primary has to run. */
typedef struct {
	uint64_t id; /**< id of the barrier in flight, 0 for none */
	uint64_t deadline_ms;
	uint64_t next_try_ms;
	uint32_t tries;
	GQueue *in_flight; /**< waiters of the barrier in flight */
	GQueue *waiting;   /**< waiters of the next barrier */
} group_barriers_t;

/** State of the group's record in the platform's store. */
typedef struct {
	bool busy;  /**< a call to the store is in flight */
	bool read;  /**< the record has been read once */
	bool write; /**< a newer term has to be written */
	uint64_t retry_at_ms;
	uint32_t failures; /**< consecutive failed calls */
	/** Highest term read or written; the store must not have a lower one.
	 */
	uint64_t known_term;
	uint64_t check_at_ms; /**< when the record is read again */
} group_record_t;

/** Freshness proofs for bounded-staleness reads. */
typedef struct {
	/** Proofs by server; NULL before the first bounded-staleness read. */
	freshness_t *proofs;
	bool barrier_in_flight;
	uint64_t barrier_started_ms; /**< start of the newest barrier */
	/** Time until which further bounded-staleness reads are expected. */
	uint64_t expected_until_ms;
	uint32_t max_age_ms; /**< smallest maximum age of the recent reads */
} group_freshness_t;

/** State of one database and its backend servers. */
struct group_database {
	group_task_t *task;
	char name[GROUP_DATABASE_NAME_SIZE];
	char *user;	   /**< user name on the backend servers */
	uint32_t replicas; /**< replicas that must hold a commit */
	config_limits_t limits;
	uint32_t servers_count;
	evidence_t *evidence;
	group_barriers_t barriers;
	uint64_t term; /**< newest term that detector and promotion know */
	detector_t *detector;
	promotion_t *promotion;
	uint64_t suspected_ms;	    /**< time of the suspicion, 0 for none */
	uint64_t refusal_log_at_ms; /**< time of the next refusal log line */
	uint64_t handover_at_ms;    /**< time of the next handover order */
	uint32_t handover_tries;
	group_record_t record;
	group_freshness_t freshness;
	bool woken;		  /**< queued in group_task_t.woken */
	group_server_t servers[]; /**< has servers_count entries */
};

struct group_task {
	struct event_base *base;
	metrics_t *metrics;
	char *node;
	group_table_t *table;
	store_t *store;
	group_handlers_t handlers;
	const config_t *config;
	const member_view_t *view;
	GHashTable *databases; /**< maps a name to a group_database_t */
	GHashTable *owned;     /**< set of "database/server" keys */
	group_requests_t *requests;
	uint64_t identity; /**< identifies this process in promotions */
	GQueue *woken;	   /**< databases to step at the next wakeup */
	GQueue *retired;   /**< watches to destroy at the next step */
	struct event *timer;
	uint64_t sweep_at_ms;	  /**< next step of watched databases */
	uint64_t sweep_all_at_ms; /**< next step of all databases */
	GPtrArray *watched; /**< databases with a watch at the last sweep_all */
	bool ending;	    /**< being destroyed; no callbacks */
	metric_histogram_t *evidence_age;
	metric_t *confirms_late;
	metric_t *rounds;
	metric_t *waiting;
	uint64_t next_id;
};

/** Records a status that this node polled or that a peer sent. */
void group_server_record_status(group_server_t *server,
				const server_status_t *status,
				uint64_t requested_at_ms);

/** @return whether this node watches a server of the database. */
bool group_database_watches(const group_database_t *database);

/**
 * Records @p primary as the primary of @p term. Calls the changed handler if
 * the term is newer than the known one.
 */
void group_database_update_primary(group_database_t *database, uint64_t term,
				   const char *primary);

/** @return the server of that name, or NULL. */
group_server_t *group_database_server(group_database_t *database,
				      const char *name);

/** @return the server of a database, or NULL. */
group_server_t *group_task_server(group_task_t *task, const char *database,
				  const char *server);

/** Adds a database that is new in the configuration. */
void group_database_add(group_task_t *task, const config_lookup_t *place);

/** Applies the configured leaving state of each server. */
void group_database_configure(group_database_t *database,
			      const config_database_t *config);

/** Frees a database; everything that waits for it fails. */
void group_database_delete(gpointer database);

/** @return whether the database still matches its configuration. */
bool group_database_matches(const group_database_t *database,
			    const config_limits_t *limits,
			    const config_lookup_t *place);

/** Runs the due work of a database. @return time of the next step */
uint64_t group_database_step(group_database_t *database, uint64_t now_ms);

/** @return the key "database/server"; free with g_free(). */
char *group_owned_key(const char *database, const char *server);

/** Starts to watch a server if this node owns it. */
void group_server_watch(group_server_t *server);

/** Schedules a step of the database; never steps inside this call. */
void group_database_wake(group_database_t *database);

/** Encodes a note and sends it to the peer @p node. */
void group_task_send(group_task_t *task, const char *node,
		     const group_note_t *note);

/** @name Owned servers */
/** @{ */

/** Starts to poll an owned server. */
group_watch_t *group_watch_create(group_server_t *server);

/** Stops polling; all waiters end with SERVER_UNREACHABLE. */
void group_watch_destroy(group_watch_t *watch);

/**
 * Runs an operation. A refusal is reported with a status that was queried
 * after it. Never calls @p done inside this call.
 */
void group_watch_run(group_watch_t *watch,
		     const backend_control_request_t *request,
		     group_operation_done_t done, void *context);

/**
 * Reports a status that was queried after this call, once the status covers
 * @p point or @p timeout_ms have passed. Never calls @p done inside this call.
 */
void group_watch_wait(group_watch_t *watch, group_wait_t kind,
		      log_point_t point, uint32_t timeout_ms,
		      group_operation_done_t done, void *context);

/** Polls immediately, because the server may have failed. */
void group_watch_poll_now(group_watch_t *watch);

/** @return number of consecutive failed polls. */
uint32_t group_watch_failures(const group_watch_t *watch);

/** @} */
/** @name Operations on servers, owned by this node or by peers */
/** @{ */

/** Creates an empty set of running operations. */
group_requests_t *group_requests_create(group_task_t *task);

/** Frees all operations without ending them. */
void group_requests_destroy(group_requests_t *requests);

/** An operation on any server of a database. */
typedef struct {
	server_operation_t operation;
	uint64_t term;
	log_point_t point;   /**< SERVER_STATUS: see group_watch_wait() */
	uint32_t wait_ms;    /**< SERVER_STATUS: see group_watch_wait() */
	const char *primary; /**< SERVER_FOLLOW: server to follow */
	uint32_t timeout_ms;
} group_operation_t;

/**
 * Sends the operation to an owner of the server, and to the next owner if the
 * first one does not answer.
 */
void group_requests_start(group_requests_t *requests, group_server_t *server,
			  const group_operation_t *operation,
			  group_operation_done_t done, void *context);

/** Runs an operation that a peer requests on an owned server. */
void group_requests_serve(group_requests_t *requests, const char *from,
			  const group_note_t *note);

/** Handles a peer's answer to an operation. */
void group_requests_handle_answer(group_requests_t *requests,
				  const group_note_t *note);

/** Retries operations at the next owner and ends those past the deadline. */
void group_requests_step(group_requests_t *requests, uint64_t now_ms);

/** Ends all operations on the servers of a database. */
void group_requests_forget(group_requests_t *requests,
			   const group_database_t *database);

/** @} */
/** @name Evidence and barriers */
/** @{ */

/** Creates the evidence and the barrier queues of a database. */
void group_rounds_open(group_database_t *database);

/** Ends all confirmations and barriers of a database and frees them. */
void group_rounds_close(group_database_t *database);

/**
 * Ends confirmations and barriers that are proven or past their deadline.
 *
 * @return time of the next step
 */
uint64_t group_rounds_step(group_database_t *database, uint64_t now_ms);

/** Applies a newer term; nothing waits for the old primary any longer. */
void group_rounds_update_view(group_database_t *database,
			      const group_view_t *view);

/** Adds a barrier on this node or at an owner of the primary. */
void group_rounds_barrier(group_database_t *database, uint32_t timeout_ms,
			  group_barrier_done_t done, void *context);

/** Runs a barrier for a peer. */
void group_rounds_serve(group_database_t *database, const char *from,
			const group_note_t *note);

/** Handles a peer's answer to a barrier. */
void group_rounds_handle_answer(group_database_t *database,
				const group_note_t *note);

/** @} */
/** @name Failure detection and promotion */
/** @{ */

/** Creates the detector and the promotion of a database. */
void group_failover_open(group_database_t *database);

/** Frees the detector and the promotion of a database. */
void group_failover_close(group_database_t *database);

/**
 * Detects a lost primary, promotes a replica, and orders owned servers of an
 * older term to follow the primary.
 *
 * @return time of the next step
 */
uint64_t group_failover_step(group_database_t *database, uint64_t now_ms);

/** Applies a newer term and its primary. */
void group_failover_update_view(group_database_t *database,
				const group_view_t *view);

/** Records a poll of an owned server; @p status is NULL if it failed. */
void group_failover_record_poll(group_server_t *server,
				const server_status_t *status,
				uint32_t failures);

/** Discards the polls of a server that this node no longer owns. */
void group_failover_forget(group_server_t *server);

/** Promotes a server on request; NULL selects the best replica. */
void group_failover_order(group_database_t *database, const char *server);

/**
 * @return rank of this node among the nodes that may promote. Owners of
 *         replicas rank before owners of the primary, which may be cut off
 *         together with it; nodes that own no server rank last
 */
uint32_t group_failover_rank(const group_database_t *database);

/** Orders a handover to another server if the primary is leaving. */
void group_handover_step(group_database_t *database, uint64_t now_ms);

/** @} */
/** @name Group record in the platform's store */
/** @{ */

/** Reads the record once and writes a newer term. */
void group_record_step(group_database_t *database, uint64_t now_ms);

/** Requests that the newest term is written. */
void group_record_write(group_database_t *database);

/** @} */
/** @name Freshness of replicas for bounded-staleness reads */
/** @{ */

/** Records how far a server has replayed, from its newest status. */
void group_freshness_record(const group_server_t *server);

/** Frees the freshness proofs of a database. */
void group_freshness_close(group_database_t *database);

/** Starts a barrier if bounded-staleness reads are expected and it is due. */
void group_freshness_step(group_database_t *database, uint64_t now_ms);

/**
 * Checks whether the data of an owned server is proven to be no older than
 * @p max_age_ms. Also lets barriers continue for the next reads.
 *
 * @return whether the proof exists
 */
bool group_freshness_is_within(group_server_t *server, uint32_t max_age_ms);

/** @} */

#endif

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

/** Longest wait for a backend server's answer, in milliseconds. */
#define GROUP_SERVER_TIMEOUT_MS 600

/** Most backend servers of one database. */
#define GROUP_SERVER_LIMIT EVIDENCE_SERVER_LIMIT

typedef struct group_database group_database_t;
typedef struct group_server group_server_t;
typedef struct group_watch group_watch_t;
typedef struct group_asks group_asks_t;

/**
 * How an operation on a server ended.
 *
 * @param status NULL unless it is known
 */
typedef void (*group_answer_t)(void *context, server_result_t result,
			       const server_status_t *status);

/** What a status waits for before it is given. */
typedef enum {
	GROUP_WAIT_HELD,     /**< the last record reaches the point */
	GROUP_WAIT_REPLAYED, /**< the replay reaches the point */
} group_wait_t;

/** One backend server of a database, as this node knows it. */
struct group_server {
	group_database_t *database;
	uint32_t index;
	char name[GROUP_SERVER_NAME_SIZE];
	char address[46]; /**< IP number */
	uint16_t port;
	char failure_domain[32];
	bool known;
	server_status_t status; /**< newest seen, by whatever way */
	uint64_t status_at_ms;	/**< when it was asked for */
	group_watch_t *watch;	/**< NULL unless this node owns it */
	uint64_t follow_at_ms;	/**< when it may be told to follow again */
	bool leaving;		/**< takes no new work */
};

/** A barrier of this node that an owner of the primary works on. */
typedef struct {
	uint64_t id; /**< 0 for none */
	uint64_t deadline_ms;
	uint64_t next_try_ms;
	uint32_t tries;
	GQueue *asked;	 /**< waiters of the question that is out */
	GQueue *waiting; /**< waiters that came later */
} group_barriers_t;

/** The group's record in the platform's store. */
typedef struct {
	bool busy;  /**< a call is out */
	bool read;  /**< it was read since this node owns a server */
	bool write; /**< a newer term has to be written */
	uint64_t retry_at_ms;
	uint32_t failures;
} group_record_t;

/** Aged reads and what is proven for them. */
typedef struct {
	freshness_t *proven;
	bool asking;	      /**< a barrier is out */
	uint64_t asked_at_ms; /**< when it was asked */
	uint64_t until_ms;    /**< how long reads are expected to come */
	uint32_t max_age_ms;  /**< least age that they state */
} group_ages_t;

/** One database. */
struct group_database {
	group_task_t *task;
	char name[GROUP_DATABASE_NAME_SIZE];
	char *user;	   /**< user name towards the servers */
	uint32_t replicas; /**< that must hold a commit */
	config_limits_t limits;
	uint32_t servers_count;
	group_server_t servers[GROUP_SERVER_LIMIT];
	evidence_t *evidence;
	group_barriers_t barriers;
	uint64_t term; /**< newest term that the parts below know of */
	detector_t *detector;
	promotion_t *promotion;
	uint64_t suspected_ms;	  /**< when this node began to doubt */
	uint64_t refusal_at_ms;	  /**< when to tell why none is promoted */
	uint64_t hand_over_at_ms; /**< when a leaving primary is replaced */
	uint32_t hand_over_tries;
	group_record_t record;
	group_ages_t ages;
	bool woken; /**< in the list of those that step next */
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
	GHashTable *databases; /**< name to group_database_t */
	GHashTable *owned;     /**< set of "database/server" */
	group_asks_t *asks;
	uint32_t identity; /**< of this process, among orchestrators */
	GQueue *woken;	   /**< databases that step next */
	GQueue *retired;   /**< watches that end at the next step */
	struct event *timer;
	uint64_t sweep_at_ms; /**< when all databases step next */
	bool ending;
	metric_histogram_t *evidence_age;
	metric_t *confirms_late;
	metric_t *rounds;
	metric_t *waiting;
	uint64_t next_id;
};

/** Takes in a status, from an own server or from a peer's. */
void group_server_seen(group_server_t *server, const server_status_t *status,
		       uint64_t asked_at_ms);

/** Takes in who leads a database, and tells of it if it is news. */
void group_database_offer(group_database_t *database, uint64_t term,
			  const char *primary);

/** @return the server of that name, or NULL. */
group_server_t *group_database_server(group_database_t *database,
				      const char *name);

/** @return the server of a database, or NULL. */
group_server_t *group_task_server(group_task_t *task, const char *database,
				  const char *server);

/** Adds a database of the configuration. */
void group_database_add(group_task_t *task, const config_place_t *place);

/** Takes in which servers are leaving. */
void group_database_configure(group_database_t *database,
			      const config_database_t *config);

/** Frees a database; all that wait end in vain. */
void group_database_delete(gpointer database);

/** @return whether the configuration still says the same of it. */
bool group_database_matches(const group_database_t *database,
			    const config_limits_t *limits,
			    const config_place_t *place);

/** Does what is due. @return when the next step is due */
uint64_t group_database_step(group_database_t *database, uint64_t now_ms);

/** @return "database/server"; free with g_free(). */
char *group_owned_key(const char *database, const char *server);

/** Begins to watch a server if this node owns it. */
void group_server_watch(group_server_t *server);

/** Makes the database step soon, but not from inside this call. */
void group_database_wake(group_database_t *database);

/** Encodes and sends a note. */
void group_task_send(group_task_t *task, const char *node,
		     const group_note_t *note);

/** @name Owned servers */
/** @{ */

/** Starts to poll an owned server. */
group_watch_t *group_watch_create(group_server_t *server);

/** Stops it; all that wait end as not reached. */
void group_watch_destroy(group_watch_t *watch);

/**
 * Runs an operation; a refusal comes with the status asked after it. Never
 * calls @p done from inside this call.
 */
void group_watch_run(group_watch_t *watch, const backend_control_ask_t *ask,
		     group_answer_t done, void *context);

/**
 * Gives a status asked after this call, once it covers @p point or
 * @p timeout_ms have passed; never from inside this call.
 */
void group_watch_wait(group_watch_t *watch, group_wait_t kind,
		      log_point_t point, uint32_t timeout_ms,
		      group_answer_t done, void *context);

/** Polls at once: something seems to be wrong. */
void group_watch_hurry(group_watch_t *watch);

/** @return polls in a row that failed. */
uint32_t group_watch_failures(const group_watch_t *watch);

/** @} */
/** @name Operations on servers, own or of others */
/** @{ */

group_asks_t *group_asks_create(group_task_t *task);
void group_asks_destroy(group_asks_t *asks);

/** An operation on any server of a database. */
typedef struct {
	server_operation_t operation;
	uint64_t term;
	log_point_t point;   /**< of SERVER_STATUS: see group_watch_wait() */
	uint32_t wait_ms;    /**< of SERVER_STATUS: see group_watch_wait() */
	const char *primary; /**< of SERVER_FOLLOW: whom to follow */
	uint32_t timeout_ms;
} group_operation_t;

/** Asks an owner of the server, and the next one if it does not answer. */
void group_asks_start(group_asks_t *asks, group_server_t *server,
		      const group_operation_t *operation, group_answer_t done,
		      void *context);

/** Runs what a peer asks of an own server. */
void group_asks_serve(group_asks_t *asks, const char *from,
		      const group_note_t *note);

/** Takes in a peer's answer. */
void group_asks_answered(group_asks_t *asks, const group_note_t *note);

/** Asks the next owner where one did not answer; ends what is too late. */
void group_asks_step(group_asks_t *asks, uint64_t now_ms);

/** Ends all that concerns a database. */
void group_asks_forget(group_asks_t *asks, const group_database_t *database);

/** @} */
/** @name Evidence and barriers */
/** @{ */

void group_rounds_open(group_database_t *database);
void group_rounds_close(group_database_t *database);

/** Ends what is proven or late. @return when the next step is due */
uint64_t group_rounds_step(group_database_t *database, uint64_t now_ms);

/** A newer term is known: nobody waits for the old primary any longer. */
void group_rounds_view(group_database_t *database, const group_view_t *view);

/** Adds a barrier, here or at an owner of the primary. */
void group_rounds_barrier(group_database_t *database, uint32_t timeout_ms,
			  group_barrier_done_t done, void *context);

/** Runs a barrier for a peer. */
void group_rounds_serve(group_database_t *database, const char *from,
			const group_note_t *note);

/** Takes in the answer of a barrier. */
void group_rounds_answered(group_database_t *database,
			   const group_note_t *note);

/** @} */
/** @name Lost primaries and promotions */
/** @{ */

void group_failover_open(group_database_t *database);
void group_failover_close(group_database_t *database);

/** Detects, promotes, orders replicas to follow. @return when it is due */
uint64_t group_failover_step(group_database_t *database, uint64_t now_ms);

/** A newer term and primary are known. */
void group_failover_view(group_database_t *database, const group_view_t *view);

/** A poll of an own server ended; @p status is NULL if it failed. */
void group_failover_polled(group_server_t *server,
			   const server_status_t *status, uint32_t failures);

/** This node no longer polls the server. */
void group_failover_forget(group_server_t *server);

/** Promotes by operators' order; NULL for the best replica. */
void group_failover_order(group_database_t *database, const char *server);

/**
 * @return this node's place among those that may promote. Owners of replicas
 *         come before those of the primary, which may be cut off together
 *         with it; those who own no server come last
 */
uint32_t group_failover_rank(const group_database_t *database);

/** Orders that another server leads if the primary is leaving. */
void group_hand_over_step(group_database_t *database, uint64_t now_ms);

/** @} */
/** @name The group's record in the platform's store */
/** @{ */

/** Reads the record once, and writes a new term. */
void group_record_step(group_database_t *database, uint64_t now_ms);

/** Has the newest term written. */
void group_record_write(group_database_t *database);

/** @} */
/** @name Proven ages */
/** @{ */

void group_ages_open(group_database_t *database);
void group_ages_close(group_database_t *database);
void group_ages_step(group_database_t *database, uint64_t now_ms);

/** @return whether an own server is proven no older; asks for proof. */
bool group_ages_within(group_server_t *server, uint32_t max_age_ms);

/** @} */

#endif

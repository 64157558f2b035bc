#ifndef LOAD_WORKER_H
#define LOAD_WORKER_H

#include <libpq-fe.h>

#include "load/load.h"

/** Maximum number of statements of one operation. */
#define WORKER_STEPS_MAX 6u

/** Kinds of operation. */
typedef enum {
	OPERATION_NONE,
	OPERATION_CONNECT,	/**< apply the settings of a new connection */
	OPERATION_READ_COUNTER, /**< read the counter of a session */
	OPERATION_READ_INSERT,	/**< read the row of an acknowledged insert */
	OPERATION_WRITE,	/**< insert a row or update the counter */
} operation_kind_t;

/** One operation: statements that run one after the other. */
typedef struct {
	operation_kind_t kind;
	char *steps[WORKER_STEPS_MAX]; /**< statements */
	uint32_t steps_count;
	uint32_t step;	 /**< running statement; steps_count for ROLLBACK */
	uint64_t due_us; /**< time from which the delay is measured */
	uint64_t number; /**< number of the write, or of the insert read */
	uint64_t floor;	 /**< lowest valid result of a counter read */
	uint32_t row_session; /**< session whose rows are read or written */
	bool insert;	      /**< a write that inserts a row */
	bool transaction;     /**< a write in BEGIN and COMMIT */
	bool retried;	      /**< an earlier attempt may have taken effect */
	bool row_found;	      /**< a row was returned */
	uint64_t value;	      /**< value of the returned row */
	char code[6];	      /**< SQLSTATE of the failure, or empty */
	bool failed;
} operation_t;

/**
 * One session with one connection at a time, to one of the targets. If
 * replicas are given, a second worker reads from a replica for the session.
 */
typedef struct worker {
	load_t *load;
	struct worker *reader; /**< worker that reads from a replica, or NULL */
	bool is_reader;	       /**< the worker is a reader of another one */
	uint64_t reader_from_us; /**< time from which reads use the reader */
	uint32_t index;		 /**< number of the session, from 0 */
	uint32_t target;	 /**< index of the target in use */
	PGconn *connection;	 /**< NULL if not connected */
	struct event *socket_event;
	struct event *timer; /**< operation timeout, or reconnect delay */
	operation_t operation;
	char *token;	     /**< last token reported by the server, or NULL */
	bool ready;	     /**< connected and idle */
	bool change_target;  /**< changes to the next target when idle */
	bool key_pending;    /**< the session still has a failed insert's key */
	bool counter_exists; /**< the row of the counter exists */
} worker_t;

/**
 * Initializes a worker and connects it.
 *
 * @param index  number of the session
 * @param reader worker to be opened for reads from a replica, or NULL
 */
void worker_open(worker_t *worker, load_t *load, uint32_t index,
		 worker_t *reader);

/** Closes the connection and frees what the worker and its reader hold. */
void worker_close(worker_t *worker);

/** @return true if the session can start an operation. */
bool worker_ready(const worker_t *worker);

/** Starts an operation of a worker that is ready. */
void worker_start(worker_t *worker, uint64_t due_us);

#endif

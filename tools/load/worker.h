#ifndef LOAD_WORKER_H
#define LOAD_WORKER_H

#include <libpq-fe.h>

#include "load/load.h"

/** Statements of one operation. */
#define WORKER_STEPS_MAX 6u

/** Kinds of operation. */
typedef enum {
	OPERATION_NONE,
	OPERATION_CONNECT, /**< settings of a new connection */
	OPERATION_READ_COUNTER,
	OPERATION_READ_INSERT,
	OPERATION_WRITE,
} operation_kind_t;

/** One operation on its way. */
typedef struct {
	operation_kind_t kind;
	char *steps[WORKER_STEPS_MAX];
	uint32_t steps_count;
	uint32_t step;	 /**< steps_count for a ROLLBACK */
	uint64_t due_us; /**< its delay counts from here */
	uint64_t number; /**< of a write */
	uint64_t floor;	 /**< of a read */
	uint32_t owner;	 /**< session whose rows are read */
	bool insert;
	bool transaction;
	bool again;	/**< an earlier attempt may have taken effect */
	bool answered;	/**< a row was seen */
	uint64_t value; /**< that the row had */
	char code[6];	/**< SQLSTATE of the failure, or empty */
	bool failed;
} operation_t;

/**
 * One session: one connection at a time, to one of the targets. Where
 * replicas are given, a second worker reads there for the same session.
 */
typedef struct worker {
	load_t *load;
	struct worker *reader;	 /**< at a replica, or NULL */
	bool reads_only;	 /**< is such a reader */
	uint64_t write_until_us; /**< till then reads stay */
	uint32_t index;
	uint32_t target;
	PGconn *connection;
	struct event *socket_event;
	struct event *timer; /**< timeout of what runs, or a pause */
	operation_t operation;
	char *token;   /**< latest that the server told */
	bool ready;    /**< connected and idle */
	bool moving;   /**< goes to the next target when idle */
	bool key_left; /**< the session has the key of a failed change */
	bool counter_made;
} worker_t;

/** @param reader opened before, or NULL */
void worker_open(worker_t *worker, load_t *load, uint32_t index,
		 worker_t *reader);
void worker_close(worker_t *worker);

/** @return whether the session can begin an operation. */
bool worker_ready(const worker_t *worker);

/** Starts an operation on a worker that is ready. */
void worker_start(worker_t *worker, uint64_t due_us);

#endif

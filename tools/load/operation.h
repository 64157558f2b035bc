#ifndef LOAD_OPERATION_H
#define LOAD_OPERATION_H

#include "load/worker.h"

/** Chooses the next operation of a session. */
void operation_choose(worker_t *worker, uint64_t due_us);

/** Makes the operation that applies the settings of a new connection. */
void operation_connect(worker_t *worker);

/**
 * Counts and checks the result of the operation.
 *
 * @return true if the operation shall be sent again unchanged
 */
bool operation_end(worker_t *worker);

/** Frees the operation; its kind becomes OPERATION_NONE. */
void operation_clear(operation_t *operation);

/** Counts a failure by its SQLSTATE or another reason. */
void operation_count_code(load_t *load, const char *code);

/** @return the outcome of a statement that failed with this SQLSTATE. */
outcome_t operation_outcome(const char *code);

#endif

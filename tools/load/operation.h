#ifndef LOAD_OPERATION_H
#define LOAD_OPERATION_H

#include "load/worker.h"

/** Chooses the next operation of a session. */
void operation_choose(worker_t *worker, uint64_t due_us);

/** Makes the operation that sets up a new connection. */
void operation_connect(worker_t *worker);

/**
 * Counts and checks what the operation came to.
 *
 * @return true when it shall be sent again as it is
 */
bool operation_end(worker_t *worker);

/** Frees the operation; its kind becomes OPERATION_NONE. */
void operation_clear(operation_t *operation);

/** Counts an SQLSTATE or another reason. */
void operation_count_code(load_t *load, const char *code);

/** @return what a failure with this SQLSTATE says of a statement. */
outcome_t operation_outcome(const char *code);

#endif

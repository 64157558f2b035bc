#ifndef LOAD_CHECKER_H
#define LOAD_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request.h"

/**
 * Checks the consistency guarantees given to callers. Each session numbers
 * its writes: an insert creates a row for its number, an update sets the
 * session's counter row to its number. The checker uses no sockets and no
 * clock.
 */
typedef struct checker checker_t;

/** Number of violated guarantees, by kind. */
typedef struct {
	uint64_t stale_reads;	/**< reads that missed an acknowledged write */
	uint64_t phantom_reads; /**< reads of a write that was never begun */
	uint64_t refused_seen;	/**< writes seen, but reported as not run */
	uint64_t lost;		/**< acknowledged inserts without a row */
	uint64_t doubled;	/**< writes that ran more than once */
	uint64_t lost_updates;	/**< counters below an acknowledged update */
} checker_violations_t;

/** Creates a checker of the given number of sessions. */
checker_t *checker_create(uint32_t sessions);

/** Frees the checker; NULL is allowed. */
void checker_destroy(checker_t *checker);

/** Records the start of a session's write. @return its number, from 1 */
uint64_t checker_begin_write(checker_t *checker, uint32_t session, bool insert);

/** Records the outcome of a write that was reported to the caller. */
void checker_end_write(checker_t *checker, uint32_t session, uint64_t number,
		       outcome_t outcome);

/** @return the lowest value that a new read of the counter may return. */
uint64_t checker_floor(const checker_t *checker, uint32_t session);

/** @return the number of the session's last acknowledged insert, or 0. */
uint64_t checker_last_insert(const checker_t *checker, uint32_t session);

/**
 * Checks the result of a read of a counter.
 *
 * @param floor checker_floor() at the start of the read
 * @param value value of the counter; 0 if there is no row
 */
void checker_verify_counter_read(checker_t *checker, uint32_t session,
				 uint64_t floor, uint64_t value);

/** Checks the result of a read of an acknowledged insert. */
void checker_verify_insert_read(checker_t *checker, bool found);

/** Records that a write's only attempt failed as its row existed already. */
void checker_record_duplicate(checker_t *checker);

/** Checks one inserted row that the table holds after the run. */
void checker_verify_final_insert(checker_t *checker, uint32_t session,
				 uint64_t number);

/** Checks the value of a counter after the run. */
void checker_verify_final_counter(checker_t *checker, uint32_t session,
				  uint64_t value);

/** Counts the lost inserts, after all rows of the table were checked. */
void checker_finish(checker_t *checker);

/** @return the violations found so far. */
checker_violations_t checker_violations(const checker_t *checker);

/** @return the sum of the violations of all kinds. */
uint64_t checker_violations_total(const checker_violations_t *violations);

#endif

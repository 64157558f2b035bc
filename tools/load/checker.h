#ifndef LOAD_CHECKER_H
#define LOAD_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/request.h"

/**
 * Checks what callers are promised. Each session numbers its writes; an
 * insert makes a row for its number, an update sets the session's counter
 * row to it. Knows no sockets and no clock.
 */
typedef struct checker checker_t;

/** Broken promises, by kind. */
typedef struct {
	uint64_t stale_reads;	/**< an acknowledged write was not seen */
	uint64_t phantom_reads; /**< a write that was never begun was seen */
	uint64_t refused_seen;	/**< a write refused as not run took effect */
	uint64_t lost;		/**< an acknowledged insert is not there */
	uint64_t doubled;	/**< a write ran more than once */
	uint64_t lost_updates;	/**< a counter is below its acknowledged one */
} checker_faults_t;

checker_t *checker_create(uint32_t sessions);

/** Frees the checker; NULL is allowed. */
void checker_destroy(checker_t *checker);

/** Begins a write of a session. @return its number, from 1 */
uint64_t checker_begin(checker_t *checker, uint32_t session, bool insert);

/** Ends a write as the caller was told. */
void checker_end(checker_t *checker, uint32_t session, uint64_t number,
		 outcome_t outcome);

/** @return the number that a read of the session's counter must reach. */
uint64_t checker_floor(const checker_t *checker, uint32_t session);

/** @return the session's last acknowledged insert, or 0. */
uint64_t checker_last_insert(const checker_t *checker, uint32_t session);

/** Takes what a read of a counter showed, with its floor at the start. */
void checker_saw_counter(checker_t *checker, uint32_t session, uint64_t floor,
			 uint64_t value);

/** Takes whether a read of an acknowledged insert found the row. */
void checker_saw_insert(checker_t *checker, bool found);

/** A write that ran once was refused as one that is there already. */
void checker_saw_double(checker_t *checker);

/** Takes one inserted row after the run. */
void checker_found(checker_t *checker, uint32_t session, uint64_t number);

/** Takes a counter after the run. */
void checker_found_counter(checker_t *checker, uint32_t session,
			   uint64_t value);

/** Ends the check after the run, when every row was given. */
void checker_finish(checker_t *checker);

/** @return the broken promises so far. */
checker_faults_t checker_faults(const checker_t *checker);

/** @return how many there are in all. */
uint64_t checker_faults_total(const checker_faults_t *faults);

#endif

#ifndef STATE_LEASE_RECORD_H
#define STATE_LEASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Stored record of a node's registered lease. */
typedef struct {
	int64_t lease;	    /**< id of the lease */
	int64_t written_ms; /**< write time by the node's wall clock, Unix ms */
	/**
	 * The node has received all primary records up to this revision, and no
	 * node can use a proof from before that any run of it gave; 0 while
	 * nothing is confirmed. Earlier versions write 1 for that, too.
	 */
	int64_t seen_revision;
} lease_record_t;

/** @return the encoded record; free with g_free(). */
char *lease_record_encode(const lease_record_t *record);

/** @return false if @p bytes is NULL or not a valid record. */
bool lease_record_decode(GBytes *bytes, lease_record_t *record);

#endif

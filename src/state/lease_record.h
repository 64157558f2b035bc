#ifndef STATE_LEASE_RECORD_H
#define STATE_LEASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Value of seen_revision without a record read that counts. */
#define LEASE_RECORD_SETTLED 1

/** Stored record of a node's registered lease. */
typedef struct {
	int64_t lease;	    /**< id of the lease */
	int64_t written_ms; /**< write time by the node's wall clock, Unix ms */
	/**
	 * The node has received all primary records up to this revision; 0
	 * while other nodes may use proofs that an earlier run of it gave, so
	 * that the record does not stand for earlier leases of the node.
	 */
	int64_t seen_revision;
} lease_record_t;

/** @return the encoded record; free with g_free(). */
char *lease_record_encode(const lease_record_t *record);

/** @return false if @p bytes is NULL or not a valid record. */
bool lease_record_decode(GBytes *bytes, lease_record_t *record);

#endif

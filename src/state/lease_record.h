#ifndef STATE_LEASE_RECORD_H
#define STATE_LEASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What the store holds on a lease that a node has registered. */
typedef struct {
	int64_t lease;
	int64_t written_ms; /**< wall clock of the node */
	/** The node knows all records of primaries up to this revision. */
	int64_t seen_revision;
} lease_record_t;

/** @return the record as it is stored; free with g_free() */
char *lease_record_encode(const lease_record_t *record);

/** @return false when the bytes are no record; NULL is none */
bool lease_record_decode(GBytes *bytes, lease_record_t *record);

#endif

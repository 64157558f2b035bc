#ifndef STATE_PRIMARY_RECORD_H
#define STATE_PRIMARY_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/sync_holders.h"

/** Stored record of the primary of a service. */
typedef struct {
	uint64_t term;
	char primary[64];	/**< server id, empty if none is known */
	uint64_t takeover_term; /**< term of the takeover in progress, or 0 */
	uint64_t token;		/**< fencing token of the writer */
	uint64_t attempt;	/**< distinguishes writes of one writer */
	/** the takeover must not keep the primary, see TAKEOVER_RESTORED */
	bool restored;
	/**
	 * id of the server that was ordered, or is ordered next, and whose
	 * promotion may take effect yet; empty if there is none
	 */
	char ordered[64];
	/** the writer was of an earlier version, which named no server */
	bool order_unknown;
	/** era of the store in which it was written, 0 if not told */
	int64_t era;
	/** replicas that may hold commits of the term; empty without sync */
	sync_holders_t holders;
} primary_record_t;

/** @return the encoded record; free with g_free(). */
char *primary_record_encode(const primary_record_t *record);

/** @return false if @p bytes is not a valid record. */
bool primary_record_decode(GBytes *bytes, primary_record_t *record);

#endif

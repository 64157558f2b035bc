#ifndef STATE_PRIMARY_RECORD_H
#define STATE_PRIMARY_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What the store holds on the primary of a service. */
typedef struct {
	uint64_t term;
	char primary[64];	/**< id, empty when none is known */
	uint64_t takeover_term; /**< of the replacement under way, or 0 */
	uint64_t token;		/**< fencing token of who wrote it */
	uint64_t attempt;	/**< of that writer; tells its writes apart */
} primary_record_t;

/** @return the record as it is stored; free with g_free() */
char *primary_record_encode(const primary_record_t *record);

/** @return false when the bytes are no record */
bool primary_record_decode(GBytes *bytes, primary_record_t *record);

#endif

#ifndef STATE_REPORT_TABLE_H
#define STATE_REPORT_TABLE_H

#include "state/backend_entry.h"

/**
 * Orders what the backend servers report of themselves when the store is
 * restored from an older copy: an entry that comes back with the copy may say
 * that a server takes work which has left since. Within an era the store's own
 * order holds; over eras a report counts if its server wrote it after the one
 * that was known.
 */
typedef struct report_table report_table_t;

/** What to do with a report. */
typedef enum {
	REPORT_APPLY,
	REPORT_KEEP,   /**< the server exists; the known report is newer */
	REPORT_IGNORE, /**< the server has said since that it leaves */
} report_verdict_t;

report_table_t *report_table_create(void);

/** NULL is allowed. */
void report_table_destroy(report_table_t *table);

/**
 * Judges a report and remembers it if it is to be applied.
 *
 * @param revision store revision of the entry, see store_revision.h
 */
report_verdict_t report_table_judge(report_table_t *table,
				    const backend_entry_t *entry,
				    int64_t revision);

/**
 * Records that a server's entry is gone. If the server had not said that it
 * leaves, any further report of it counts.
 *
 * @param now_ms time of the boot clock
 */
void report_table_removed(report_table_t *table, const char *id,
			  uint64_t now_ms);

#endif

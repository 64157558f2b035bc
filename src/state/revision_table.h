#ifndef STATE_REVISION_TABLE_H
#define STATE_REVISION_TABLE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The revision of each key's last change, removals included, for a reader that
 * hears of changes from several sources of which some are behind others.
 */
typedef struct revision_table revision_table_t;

revision_table_t *revision_table_create(void);

/** NULL is allowed. */
void revision_table_destroy(revision_table_t *table);

/** @return the revision of the key's change that was recorded last, or 0 */
int64_t revision_table_known(const revision_table_t *table, const char *key);

/**
 * Records a change unless a later one of the key was recorded.
 *
 * @param again whether the change that was recorded last counts once more
 * @return whether the change is to be applied
 */
bool revision_table_advance(revision_table_t *table, const char *key,
			    int64_t revision, bool again);

#endif

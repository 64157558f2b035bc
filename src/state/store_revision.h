#ifndef STATE_STORE_REVISION_H
#define STATE_STORE_REVISION_H

#include <stdint.h>

/**
 * A revision of the store that keeps its order when the store is restored from
 * an older copy and gives its numbers out again. The upper bits hold the era,
 * which rises with each restore, the lower bits the number within the era.
 * Whoever stores, compares or sends a revision so keeps its era with it.
 */

/** Bits of the number; the eras fit into the rest of 53 bits for 8191 of them.
 */
#define STORE_REVISION_NUMBER_BITS 40

/** @return the revision, or 0 if @p number is 0 */
int64_t store_revision_make(int64_t era, int64_t number);

/** @return the era, 0 if the store does not tell */
int64_t store_revision_era(int64_t revision);

/** @return the number within the era */
int64_t store_revision_number(int64_t revision);

#endif

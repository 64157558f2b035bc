#ifndef COORDINATION_MEMORY_BUDGET_H
#define COORDINATION_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A holder that keeps no more may use the last quarter of a budget. */
#define MEMORY_BUDGET_SMALL_BYTES (16u * 1024)

/** One holder may keep this part of a budget. */
#define MEMORY_BUDGET_HOLDER_PART 16

/**
 * The memory of a node that its holders, such as callers' sessions, share. One
 * holder gets a sixteenth at most, and the last quarter is kept for holders of
 * MEMORY_BUDGET_SMALL_BYTES or less: where others use up the rest, whoever
 * keeps little does not notice. Nothing that was taken is taken back.
 */
typedef struct memory_budget memory_budget_t;

/** Creates a budget of @p limit_bytes; 0 only counts, without a limit. */
memory_budget_t *memory_budget_create(uint64_t limit_bytes);

/** Frees a budget; NULL is allowed. */
void memory_budget_destroy(memory_budget_t *budget);

/**
 * Replaces a part of what a holder keeps. A part that does not grow is always
 * granted.
 *
 * @param holder_bytes what the holder keeps in all, 0 at first; changed if
 *                     granted
 * @param from_bytes size of the part until now, 0 for a new one
 * @param to_bytes size of the part from now on, 0 to give it back
 * @return false, with nothing changed, if the part grows by more than
 *         memory_budget_room()
 */
bool memory_budget_resize(memory_budget_t *budget, uint64_t *holder_bytes,
			  uint64_t from_bytes, uint64_t to_bytes);

/** Gives back all that a holder keeps. */
void memory_budget_release(memory_budget_t *budget, uint64_t *holder_bytes);

/** @return what a holder of that size may keep more, in bytes */
uint64_t memory_budget_room(const memory_budget_t *budget,
			    uint64_t holder_bytes);

/** @return what all holders keep, in bytes */
uint64_t memory_budget_held(const memory_budget_t *budget);

#endif

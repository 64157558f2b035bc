#include "coordination/memory_budget.h"

#include <glib.h>

struct memory_budget {
	uint64_t limit_bytes;
	uint64_t held_bytes;
};

memory_budget_t *memory_budget_create(uint64_t limit_bytes)
{
	memory_budget_t *budget = g_new0(memory_budget_t, 1);

	budget->limit_bytes = limit_bytes ? limit_bytes : UINT64_MAX;
	return budget;
}

void memory_budget_destroy(memory_budget_t *budget)
{
	g_free(budget);
}

static uint64_t left_of(uint64_t limit_bytes, uint64_t used_bytes)
{
	return limit_bytes > used_bytes ? limit_bytes - used_bytes : 0;
}

uint64_t memory_budget_room(const memory_budget_t *budget,
			    uint64_t holder_bytes)
{
	const uint64_t limit_bytes = budget->limit_bytes;
	const uint64_t shared_bytes = limit_bytes - limit_bytes / 4;
	const uint64_t own_bytes =
		left_of(limit_bytes / MEMORY_BUDGET_HOLDER_PART, holder_bytes);
	const uint64_t small_bytes =
		MIN(left_of(MEMORY_BUDGET_SMALL_BYTES, holder_bytes),
		    left_of(limit_bytes, budget->held_bytes));

	return MIN(own_bytes,
		   MAX(left_of(shared_bytes, budget->held_bytes), small_bytes));
}

bool memory_budget_resize(memory_budget_t *budget, uint64_t *holder_bytes,
			  uint64_t from_bytes, uint64_t to_bytes)
{
	g_assert(from_bytes <= *holder_bytes);
	if (to_bytes > from_bytes &&
	    to_bytes - from_bytes > memory_budget_room(budget, *holder_bytes))
		return false;
	*holder_bytes += to_bytes - from_bytes;
	budget->held_bytes += to_bytes - from_bytes;
	return true;
}

void memory_budget_release(memory_budget_t *budget, uint64_t *holder_bytes)
{
	memory_budget_resize(budget, holder_bytes, *holder_bytes, 0);
}

uint64_t memory_budget_held(const memory_budget_t *budget)
{
	return budget->held_bytes;
}

#include "coordination/send_budget.h"

#include <math.h>

/* Answers lose weight over this time. */
#define MEMORY_MS 1500.0

/* Statements that may be sent beyond those taken, for each taken one. */
#define MARGIN_URGENT 0.6
#define MARGIN 0.25

/* Priorities below this one have the larger margin. */
#define URGENT_BELOW 2

/* Statements that may always be sent, so that a recovery is noticed. */
#define FREE 2.0

static double faded(const send_budget_t *budget, uint64_t now_ms)
{
	return exp(-(double)(now_ms - budget->at_ms) / MEMORY_MS);
}

void send_budget_answered(send_budget_t *budget, bool taken, uint64_t now_ms)
{
	const double weight = faded(budget, now_ms);

	budget->sent = budget->sent * weight + 1;
	budget->taken = budget->taken * weight + (taken ? 1 : 0);
	budget->at_ms = now_ms;
}

bool send_budget_allows(const send_budget_t *budget, uint32_t priority,
			uint64_t now_ms)
{
	const double weight = faded(budget, now_ms);
	const double margin = priority < URGENT_BELOW ? MARGIN_URGENT : MARGIN;

	return budget->sent * weight <=
	       budget->taken * weight * (1 + margin) + FREE;
}

#include "coordination/send_budget.h"

#include <math.h>

#include <glib.h>

/* Counts of what came lose weight over this time. */
#define MEMORY_MS 3000.0

/* By how much the share falls when a statement is turned away, and the time
 * until answers show what came of that. */
#define CUT 0.13
#define CUT_PAUSE_MS 100u

/* By how much it grows when one is taken, and with time: the faster, the
 * longer none was turned away. */
#define GROWTH_TAKEN 0.02
#define GROWTH_PER_S 0.02
#define GROWTH_PER_S2 0.06

/* Most that is held back, so that a recovery is noticed. */
#define HELD_BACK_MAX 0.85

/* Less than this is not held back at all. */
#define HELD_BACK_MIN 0.04

/* Ranks of one priority. */
#define RANKS_PER_PRIORITY 6u

uint32_t send_budget_rank(const send_rank_t *rank)
{
	const uint32_t priorities = SEND_BUDGET_RANKS / RANKS_PER_PRIORITY;
	const uint32_t group = MIN(rank->priority, priorities - 1);
	const uint32_t kind = rank->any_age ? 2 : rank->elsewhere ? 1 : 0;

	return group * RANKS_PER_PRIORITY + 2 * kind + (rank->opens ? 1 : 0);
}

static double elapsed_ms(const send_budget_t *budget, uint64_t now_ms)
{
	return now_ms > budget->at_ms ? (double)(now_ms - budget->at_ms) : 0;
}

/* Time since the share was cut last. */
static double quiet_s(const send_budget_t *budget, uint64_t now_ms)
{
	return now_ms > budget->cut_ms ?
		       (double)(now_ms - budget->cut_ms) / 1000 :
		       0;
}

static double held_back(const send_budget_t *budget, uint64_t now_ms)
{
	const double before_s = quiet_s(budget, budget->at_ms);
	const double after_s = quiet_s(budget, now_ms);
	const double grown =
		GROWTH_PER_S * (after_s - before_s) +
		GROWTH_PER_S2 * (after_s * after_s - before_s * before_s);

	return budget->held_back > grown ? budget->held_back - grown : 0;
}

static void age(send_budget_t *budget, uint64_t now_ms)
{
	const double weight = exp(-elapsed_ms(budget, now_ms) / MEMORY_MS);

	budget->held_back = held_back(budget, now_ms);
	for (uint32_t i = 0; i < SEND_BUDGET_RANKS; i++) {
		budget->offered[i] *= weight;
		budget->sent[i] *= weight;
	}
	budget->at_ms = MAX(budget->at_ms, now_ms);
}

void send_budget_answered(send_budget_t *budget, bool taken, uint64_t now_ms)
{
	age(budget, now_ms);
	if (budget->cut_ms && now_ms < budget->cut_ms + CUT_PAUSE_MS)
		return;
	if (taken) {
		budget->held_back = MAX(budget->held_back - GROWTH_TAKEN, 0);
		return;
	}
	budget->held_back = MIN(budget->held_back + CUT, HELD_BACK_MAX);
	budget->cut_ms = now_ms;
}

/* Part of the rank's work that may be sent when those before it are full. */
static double part_of(const send_budget_t *budget, uint32_t rank, double share)
{
	double all = 1;
	double before = 0;
	double room;

	for (uint32_t i = 0; i < SEND_BUDGET_RANKS; i++) {
		all += budget->offered[i];
		before += i < rank ? budget->offered[i] : 0;
	}
	room = share * all - before;
	return CLAMP(room / (budget->offered[rank] + 1), 0, 1);
}

bool send_budget_is_free(const send_budget_t *budget, uint64_t now_ms)
{
	return held_back(budget, now_ms) < HELD_BACK_MIN;
}

bool send_budget_allows(const send_budget_t *budget, uint32_t rank,
			uint64_t now_ms)
{
	const double weight = exp(-elapsed_ms(budget, now_ms) / MEMORY_MS);
	const double part =
		part_of(budget, rank, 1 - held_back(budget, now_ms));

	if (send_budget_is_free(budget, now_ms))
		return true;
	return budget->sent[rank] * weight + 1 <=
	       part * (budget->offered[rank] * weight + 1) + 0.5;
}

void send_budget_offered(send_budget_t *budget, uint32_t rank, bool sent,
			 uint64_t now_ms)
{
	age(budget, now_ms);
	budget->offered[rank] += 1;
	budget->sent[rank] += sent ? 1 : 0;
}

#include "coordination/send_budget.h"

#include <math.h>

#include <glib.h>

/* Time constant of the exponential decay of the counts. */
#define DECAY_MS 3000.0

/*
 * Decrease of the share when a statement is rejected, and the time until
 * answers show the effect.
 */
#define DECREASE 0.13
#define DECREASE_PAUSE_MS 100u

/*
 * Increase of the share for each accepted statement and with time. The increase
 * with time accelerates while no statement is rejected.
 */
#define INCREASE_ACCEPTED 0.02
#define INCREASE_PER_S 0.02
#define INCREASE_PER_S2 0.06

/* Maximum fraction that is held back, so that a recovery is noticed. */
#define HELD_BACK_MAX 0.85

/* Fractions below this are not held back at all. */
#define HELD_BACK_MIN 0.04

/* Number of ranks of one priority. */
#define RANKS_PER_PRIORITY 6u

uint32_t send_budget_rank(const send_rank_t *rank)
{
	const uint32_t priorities = SEND_BUDGET_RANKS / RANKS_PER_PRIORITY;
	const uint32_t group = MIN(rank->priority, priorities - 1);
	const uint32_t kind = rank->accepts_any_age  ? 2 :
			      rank->served_elsewhere ? 1 :
						       0;

	return group * RANKS_PER_PRIORITY + 2 * kind +
	       (rank->opens_transaction ? 1 : 0);
}

static double elapsed_ms(const send_budget_t *budget, uint64_t now_ms)
{
	return now_ms > budget->at_ms ? (double)(now_ms - budget->at_ms) : 0;
}

/* Returns the time since the share last fell. */
static double since_decrease_s(const send_budget_t *budget, uint64_t now_ms)
{
	return now_ms > budget->cut_ms ?
		       (double)(now_ms - budget->cut_ms) / 1000 :
		       0;
}

static double held_back(const send_budget_t *budget, uint64_t now_ms)
{
	const double before_s = since_decrease_s(budget, budget->at_ms);
	const double after_s = since_decrease_s(budget, now_ms);
	const double increase =
		INCREASE_PER_S * (after_s - before_s) +
		INCREASE_PER_S2 * (after_s * after_s - before_s * before_s);

	return budget->held_back > increase ? budget->held_back - increase : 0;
}

/* Applies the decay and the increase with time up to now. */
static void advance(send_budget_t *budget, uint64_t now_ms)
{
	const double weight = exp(-elapsed_ms(budget, now_ms) / DECAY_MS);

	budget->held_back = held_back(budget, now_ms);
	for (uint32_t i = 0; i < SEND_BUDGET_RANKS; i++) {
		budget->offered[i] *= weight;
		budget->sent[i] *= weight;
	}
	budget->at_ms = MAX(budget->at_ms, now_ms);
}

void send_budget_answered(send_budget_t *budget, bool accepted, uint64_t now_ms)
{
	advance(budget, now_ms);
	if (budget->cut_ms && now_ms < budget->cut_ms + DECREASE_PAUSE_MS)
		return;
	if (accepted) {
		budget->held_back =
			MAX(budget->held_back - INCREASE_ACCEPTED, 0);
		return;
	}
	budget->held_back = MIN(budget->held_back + DECREASE, HELD_BACK_MAX);
	budget->cut_ms = now_ms;
}

/* Returns the fraction of a rank that fits after all lower ranks are sent. */
static double rank_fraction(const send_budget_t *budget, uint32_t rank,
			    double share)
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
	const double weight = exp(-elapsed_ms(budget, now_ms) / DECAY_MS);
	const double fraction =
		rank_fraction(budget, rank, 1 - held_back(budget, now_ms));

	if (send_budget_is_free(budget, now_ms))
		return true;
	return budget->sent[rank] * weight + 1 <=
	       fraction * (budget->offered[rank] * weight + 1) + 0.5;
}

void send_budget_offered(send_budget_t *budget, uint32_t rank, bool sent,
			 uint64_t now_ms)
{
	advance(budget, now_ms);
	budget->offered[rank] += 1;
	budget->sent[rank] += sent ? 1 : 0;
}

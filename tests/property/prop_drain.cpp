/*
 * Nothing accepted is without an answer when a draining node ends, what begins
 * in the drain keeps its time, and nothing is refused that would have ended in
 * time. A node with random statements, transactions, pauses and grace periods
 * is driven by the plan; each of its rules left out must break the property.
 */
#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/drain_plan.h"
}

namespace
{

const uint64_t BEGUN_MS = 1000000;
const int64_t TICK_MS = 50;
const int64_t NOTICE_MS = 300;

/* Rule of the plan that the node leaves out. */
enum class without_t { NOTHING, BOUND, DEADLINE, ANSWER, ENDS };

/* @return a number of the range, both ends included */
using pick_t = std::function<int64_t(int64_t, int64_t)>;

/* One caller's statement; times from the start of the drain. */
struct statement_t {
	int64_t at_ms;	    /* when it comes; negative before the drain */
	int64_t timeout_ms; /* when it is answered at the latest */
	int64_t takes_ms;   /* takeovers, hops and proofs included */
	bool in_transaction;
	int64_t began_ms; /* when its transaction began */
	bool accepted;
	bool refused;
	bool answered;
	bool swept; /* answered by DRAIN_ANSWER, before its own end */
};

struct world_t {
	drain_plan_t plan;
	without_t without;
	std::vector<statement_t> statements;
	int64_t exit_ms = -1;
};

int64_t answer_ms(const world_t &world)
{
	return (int64_t)(world.plan.answer_ms - BEGUN_MS);
}

bool may_begin(const world_t &world, const statement_t &one)
{
	if (one.at_ms < 0)
		return true;
	if (one.in_transaction)
		return world.without == without_t::ENDS ||
		       !drain_plan_ends_transaction(&world.plan,
						    BEGUN_MS + one.began_ms,
						    BEGUN_MS + one.at_ms);
	return world.without == without_t::BOUND ||
	       drain_plan_may_begin(&world.plan, BEGUN_MS + one.at_ms,
				    (uint32_t)one.timeout_ms);
}

/* @return when the statement has its answer without DRAIN_ANSWER */
int64_t end_of(const world_t &world, const statement_t &one)
{
	int64_t deadline_ms = one.at_ms + one.timeout_ms;

	/* What came before the drain was not told of it. */
	if (one.at_ms >= 0 && world.without != without_t::DEADLINE)
		deadline_ms = std::min(deadline_ms, answer_ms(world));
	return std::min(one.at_ms + one.takes_ms, deadline_ms);
}

void advance(world_t &world, int64_t now_ms)
{
	for (statement_t &one : world.statements) {
		if (!one.accepted && !one.refused && one.at_ms <= now_ms) {
			one.accepted = may_begin(world, one);
			one.refused = !one.accepted;
		}
		one.answered |= one.accepted && end_of(world, one) <= now_ms;
	}
}

void answer_all(world_t &world)
{
	if (world.without == without_t::ANSWER)
		return;
	for (statement_t &one : world.statements) {
		one.swept |= one.accepted && !one.answered;
		one.answered |= one.accepted;
	}
}

bool is_idle(const world_t &world)
{
	return std::all_of(world.statements.begin(), world.statements.end(),
			   [](const statement_t &one) {
				   return !one.accepted || one.answered;
			   });
}

/* Runs the node until its process ends. @param pause_ms of the process */
void run(world_t &world, int64_t pause_at_ms, int64_t pause_ms)
{
	for (int64_t now_ms = 0; world.exit_ms < 0; now_ms += TICK_MS) {
		if (now_ms <= pause_at_ms && pause_at_ms < now_ms + TICK_MS)
			now_ms += pause_ms;
		advance(world, now_ms);
		switch (drain_plan_next(&world.plan,
					BEGUN_MS + (uint64_t)now_ms,
					is_idle(world))) {
		case DRAIN_ANSWER:
			answer_all(world);
			break;
		case DRAIN_EXIT:
			world.exit_ms = now_ms;
			break;
		default:
			break;
		}
	}
}

bool is_broken(const world_t &world, const statement_t &one)
{
	const int64_t end_ms = answer_ms(world);
	const bool fits = one.timeout_ms <= end_ms / 2;

	if (one.accepted && !one.answered)
		return true;
	if (one.at_ms < 0)
		return false;
	if (one.in_transaction)
		return one.accepted && one.at_ms + NOTICE_MS >= end_ms;
	if (one.refused)
		return one.at_ms + std::min(one.timeout_ms, end_ms / 2) <=
		       end_ms;
	return one.accepted &&
	       (one.swept || (fits && one.at_ms + one.timeout_ms > end_ms));
}

bool is_broken(const world_t &world)
{
	return std::any_of(
		world.statements.begin(), world.statements.end(),
		[&](const statement_t &one) { return is_broken(world, one); });
}

statement_t any_statement(const pick_t &pick, int64_t grace_ms)
{
	static const int64_t timeouts_ms[] = {200, 1000, 2000, 8000};
	static const int64_t takes_ms[] = {5, 300, 1500, 60000};
	statement_t one = {};

	one.at_ms = pick(-1500, grace_ms);
	one.timeout_ms = timeouts_ms[pick(0, 3)];
	one.takes_ms = takes_ms[pick(0, 3)];
	one.in_transaction = pick(0, 1);
	one.began_ms = pick(-5000, one.at_ms);
	return one;
}

world_t any_world(const pick_t &pick, without_t without, uint32_t grace_ms)
{
	const int64_t count = pick(0, 20);
	world_t world;

	world.without = without;
	drain_plan_begin(&world.plan, BEGUN_MS, grace_ms,
			 (uint32_t)pick(0, 2500));
	for (int64_t i = 0; i < count; i++)
		world.statements.push_back(any_statement(pick, grace_ms));
	return world;
}

/* @return whether the property is broken without the rule */
bool is_missed(without_t without)
{
	std::mt19937 random(20261206);
	const pick_t pick = [&](int64_t low, int64_t high) {
		return std::uniform_int_distribution<int64_t>(low,
							      high)(random);
	};

	for (int i = 0; i < 2000; i++) {
		world_t world = any_world(pick, without, 6000);

		run(world, 0, 0);
		if (is_broken(world))
			return true;
	}
	return false;
}

} // namespace

int main()
{
	bool passed = true;

	passed &= rc::check("what is accepted is answered, and no more", [] {
		const pick_t pick = [](int64_t low, int64_t high) {
			return *rc::gen::inRange<int64_t>(low, high + 1);
		};
		const uint32_t grace_ms =
			*rc::gen::element(1000u, 3000u, 6000u, 30000u);
		const int64_t pause_ms = *rc::gen::element(0, 0, 400, 9000);
		world_t world = any_world(pick, without_t::NOTHING, grace_ms);

		run(world, pick(0, grace_ms), pause_ms);
		RC_ASSERT_FALSE(is_broken(world));
		if (!pause_ms)
			RC_ASSERT(world.exit_ms < (int64_t)grace_ms);
	});
	passed &= rc::check("each rule is missed when it is left out", [] {
		RC_ASSERT_FALSE(is_missed(without_t::NOTHING));
		RC_ASSERT(is_missed(without_t::ANSWER));
		RC_ASSERT(is_missed(without_t::ENDS));
		RC_ASSERT(is_missed(without_t::DEADLINE));
		RC_ASSERT(is_missed(without_t::BOUND));
	});
	return passed ? 0 : 1;
}

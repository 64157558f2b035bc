#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/evidence.h"
#include "coordination/promotion.h"
}

namespace
{

constexpr uint32_t VALID_MS = 100;
constexpr uint32_t STEPS = 260;
constexpr uint32_t WRITES = 5;
constexpr uint32_t COORDINATORS = 2;

/* The guarantees of a backend server, see docs/DESIGN.md. */
enum server_guard_t {
	SERVER_GUARD_FENCE = 1 << 0, /* follows no term below its fence */
	SERVER_GUARD_START = 1 << 1, /* a new primary writes a record */
	SERVER_GUARD_CHECK = 1 << 2, /* is promoted only at its own fence */
	SERVER_GUARD_ALL = (1 << 3) - 1,
};

struct guards_t {
	uint32_t promotion = PROMOTION_GUARD_ALL;
	uint32_t evidence = EVIDENCE_GUARD_ALL;
	uint32_t server = SERVER_GUARD_ALL;
};

struct record_t {
	uint64_t term;
	uint32_t write; /* 0 for the initial record of a term */
	bool operator==(const record_t &other) const
	{
		return term == other.term && write == other.write;
	}
};

struct server_t {
	uint64_t fence = 1;
	uint64_t term = 1;
	bool primary = false;
	std::vector<record_t> log;

	bool holds(uint32_t write) const
	{
		for (const record_t &record : log)
			if (record.write == write)
				return true;
		return false;
	}

	server_status_t status() const
	{
		server_status_t status = {};

		status.role = primary ? SERVER_PRIMARY : SERVER_REPLICA;
		status.term = term;
		status.fence = fence;
		status.last.term = log.empty() ? 0 : log.back().term;
		status.last.position = log.size();
		status.replayed = status.last;
		return status;
	}
};

/* A request in transit, then its answer. */
struct message_t {
	bool evidence;	 /* sent for evidence, else for a promotion */
	uint32_t sender; /* index of the node or coordinator that sent it */
	uint32_t server;
	server_operation_t operation;
	uint64_t number; /* round of the evidence, or term of the promotion */
	bool answered = false;
	server_result_t result = SERVER_UNKNOWN;
	server_status_t status = {};
	bool has_status = false;
};

class group_t;

struct waiter_t {
	group_t *group;
	uint32_t write;
	log_point_t point;
};

struct sender_t {
	group_t *group;
	uint32_t index;
};

class group_t
{
      public:
	group_t(uint32_t servers, uint32_t replicas, guards_t guards,
		uint64_t seed)
	    : guards(guards), server_list(servers), random(seed)
	{
		long_steps = pick(4) * 30;
		server_list[0].primary = true;
		server_list[0].log.push_back({1, 0});
		for (uint32_t i = 0; i < servers; i++)
			add_evidence(servers, replicas, i);
		for (uint32_t i = 0; i < COORDINATORS; i++)
			add_promotion(servers, replicas, i);
		for (uint32_t i = 0; i < servers + COORDINATORS; i++) {
			offsets.push_back(pick(100000));
			rates.push_back(996 + pick(9));
		}
	}

	~group_t()
	{
		for (evidence_t *evidence : evidences)
			evidence_destroy(evidence);
		for (promotion_t *promotion : promotions)
			promotion_destroy(promotion);
	}

	group_t(const group_t &) = delete;
	group_t &operator=(const group_t &) = delete;

	/* @return whether no guarantee was broken */
	bool run()
	{
		for (uint32_t i = 0; i < STEPS && broken.empty(); i++) {
			step();
			check_primary();
		}
		return broken.empty();
	}

	std::string broken;
	std::vector<std::string> trace;
	uint32_t acknowledged = 0;
	uint32_t promoted = 0;
	uint32_t barriers = 0;

	void send(message_t message)
	{
		messages.push_back(message);
	}

	void commit_done(const waiter_t *waiter, bool proven)
	{
		if (!proven)
			return;
		note("acknowledged " + std::to_string(waiter->write));
		acknowledged++;
		acked.push_back(waiter->write);
		newest_acked = log_point_max(newest_acked, waiter->point);
		for (const server_t &server : server_list)
			if (server.primary && server.term > waiter->point.term)
				broken = "acknowledged after a replacement";
	}

	void barrier_done(const waiter_t *waiter, bool proven,
			  log_point_t point)
	{
		if (!proven)
			return;
		barriers++;
		note("barrier proven");
		if (!log_point_covers(point, waiter->point))
			broken = "barrier misses an acknowledged write";
	}

	void promotion_done()
	{
		promoted++;
	}

      private:
	guards_t guards;
	std::vector<server_t> server_list;
	std::mt19937_64 random;
	std::vector<evidence_t *> evidences;
	std::vector<promotion_t *> promotions;
	std::vector<message_t> messages;
	std::deque<waiter_t> waiters;
	std::deque<sender_t> senders;
	std::vector<uint32_t> acked;
	log_point_t newest_acked = {};
	std::vector<uint64_t> offsets;
	std::vector<uint64_t> rates;
	uint64_t now_us = 1000000;
	uint32_t long_steps = 0; /* percentage of long steps */
	uint32_t writes = 0;

	uint32_t pick(uint32_t limit)
	{
		return (uint32_t)(random() % limit);
	}

	void note(const std::string &text)
	{
		trace.push_back(text);
	}

	/* The nodes' clocks differ by an offset and slightly in rate. */
	uint64_t clock_ms(uint32_t node) const
	{
		return offsets[node] + now_us * rates[node] / 1000 / 1000;
	}

	uint64_t coordinator_ms(uint32_t index) const
	{
		return clock_ms((uint32_t)server_list.size() + index);
	}

	static void on_evidence_ask(void *context, uint32_t server,
				    uint64_t round, log_point_t wanted,
				    uint32_t wait_ms)
	{
		auto *sender = (sender_t *)context;

		sender->group->send(
			{true, sender->index, server, SERVER_STATUS, round});
	}

	static void on_promotion_ask(void *context, uint32_t server,
				     server_operation_t operation,
				     uint64_t term)
	{
		auto *sender = (sender_t *)context;

		sender->group->send(
			{false, sender->index, server, operation, term});
	}

	static void on_event(void *context, promotion_event_t event,
			     uint64_t term, uint32_t server)
	{
		if (event == PROMOTION_ENDED)
			((sender_t *)context)->group->promotion_done();
	}

	void add_evidence(uint32_t servers, uint32_t replicas, uint32_t index)
	{
		evidence_rule_t rule = {servers, replicas, VALID_MS,
					guards.evidence};
		evidence_handlers_t handlers = {};

		senders.push_back({this, index});
		handlers.send_request = on_evidence_ask;
		handlers.context = &senders.back();
		evidences.push_back(evidence_create(rule, handlers));
	}

	void add_promotion(uint32_t servers, uint32_t replicas, uint32_t index)
	{
		promotion_rule_t rule = {servers, replicas, VALID_MS, index + 1,
					 guards.promotion};
		promotion_handlers_t handlers = {};

		senders.push_back({this, index});
		handlers.send_request = on_promotion_ask;
		handlers.event = on_event;
		handlers.context = &senders.back();
		promotions.push_back(promotion_create(rule, handlers));
	}

	static void on_commit(void *context, bool proven, log_point_t point,
			      uint64_t age_ms)
	{
		auto *waiter = (waiter_t *)context;

		waiter->group->commit_done(waiter, proven);
	}

	static void on_barrier(void *context, bool proven, log_point_t point,
			       uint64_t age_ms)
	{
		auto *waiter = (waiter_t *)context;

		waiter->group->barrier_done(waiter, proven, point);
	}

	void write(uint32_t index)
	{
		server_t &server = server_list[index];

		if (!server.primary || server.fence > server.term ||
		    writes >= WRITES)
			return;
		server.log.push_back({server.term, ++writes});
		waiters.push_back(
			{this, writes, {server.term, server.log.size()}});
		note("write " + std::to_string(writes) + " at " +
		     std::to_string(index));
		evidence_commit(evidences[index], waiters.back().point,
				clock_ms(index) + 100000, on_commit,
				&waiters.back());
		evidence_step(evidences[index], clock_ms(index));
	}

	void barrier(uint32_t index)
	{
		waiters.push_back({this, 0, newest_acked});
		evidence_barrier(evidences[index], clock_ms(index) + 100000,
				 on_barrier, &waiters.back());
		evidence_step(evidences[index], clock_ms(index));
	}

	bool accepts(const server_t &server, uint64_t term) const
	{
		if (server.primary && server.term >= term)
			return false;
		if (server.term > term)
			return false;
		return !(guards.server & SERVER_GUARD_FENCE) ||
		       server.fence <= term;
	}

	/* Orders a server to follow a primary, which it has not reached yet. */
	void follow(uint32_t from, uint32_t to)
	{
		const server_t &primary = server_list[from];
		server_t &replica = server_list[to];

		if (from == to || !primary.primary ||
		    !accepts(replica, primary.term))
			return;
		replica.primary = false;
		replica.term = primary.term;
		replica.fence = std::max(replica.fence, primary.term);
		note("follow " + std::to_string(from) + " by " +
		     std::to_string(to));
	}

	/*
	 * Lets a server follow a primary: truncates its log to the common part
	 * and, if @p take, appends one record.
	 */
	void replicate(uint32_t from, uint32_t to, bool take)
	{
		const server_t &primary = server_list[from];
		server_t &replica = server_list[to];
		size_t common = 0;

		if (from == to || !primary.primary ||
		    !accepts(replica, primary.term))
			return;
		while (common < replica.log.size() &&
		       common < primary.log.size() &&
		       replica.log[common] == primary.log[common])
			common++;
		replica.primary = false;
		replica.term = primary.term;
		replica.fence = std::max(replica.fence, primary.term);
		replica.log.resize(common);
		if (take && common < primary.log.size())
			replica.log.push_back(primary.log[common]);
		note("replicate " + std::to_string(from) + " to " +
		     std::to_string(to));
	}

	server_result_t operate(server_t &server, const message_t &message)
	{
		const uint64_t term = message.number;

		if (message.operation == SERVER_STATUS)
			return SERVER_OK;
		note(std::string(server_operation_name(message.operation)) +
		     " " + std::to_string(message.server) + " term " +
		     std::to_string(term));
		if (message.operation == SERVER_FENCE) {
			if (server.fence >= term)
				return SERVER_REFUSED;
			server.fence = term;
			return SERVER_OK;
		}
		if (server.fence != term &&
		    (guards.server & SERVER_GUARD_CHECK))
			return SERVER_REFUSED;
		if (server.primary && server.term == term)
			return SERVER_OK;
		server.fence = std::max(server.fence, term);
		server.primary = true;
		server.term = term;
		if (guards.server & SERVER_GUARD_START)
			server.log.push_back({term, 0});
		return SERVER_OK;
	}

	void finish(size_t index)
	{
		const message_t message = messages[index];
		const server_status_t *status =
			message.has_status ? &message.status : nullptr;

		messages.erase(messages.begin() + (long)index);
		if (message.evidence)
			evidence_answer(evidences[message.sender],
					clock_ms(message.sender),
					message.server, message.number, status);
		else
			promotion_answer(promotions[message.sender],
					 coordinator_ms(message.sender),
					 message.server, message.operation,
					 message.number, message.result,
					 status);
	}

	void deliver(bool lose)
	{
		size_t index;

		if (messages.empty())
			return;
		/* Messages arrive mostly in order, so that rounds complete. */
		index = pick(3) ? 0 : pick((uint32_t)messages.size());
		message_t &message = messages[index];
		if (message.answered) {
			if (lose) {
				message.result = SERVER_UNKNOWN;
				message.has_status = false;
			}
			finish(index);
			return;
		}
		if (lose && pick(2)) {
			message.answered = true;
			return;
		}
		message.result = operate(server_list[message.server], message);
		/* After a lost answer another owner repeats the operation. */
		if (lose)
			message.result =
				operate(server_list[message.server], message);
		message.status = server_list[message.server].status();
		message.has_status = true;
		message.answered = true;
	}

	/* Runs one coordinator alone for a while; it may stop on the way. */
	void run_promotion(uint32_t index)
	{
		const uint32_t unreachable = pick(4);
		const uint32_t stop_after = pick(40);

		promotion_start(promotions[index], coordinator_ms(index));
		for (uint32_t i = 0; i < stop_after; i++) {
			if (promotion_report(promotions[index]).state ==
			    PROMOTION_IDLE)
				return;
			if (!deliver_next(false, index, unreachable)) {
				now_us += 30000;
				promotion_step(promotions[index],
					       coordinator_ms(index));
			}
		}
	}

	void run_evidence(uint32_t index)
	{
		evidence_step(evidences[index], clock_ms(index));
		while (deliver_next(true, index, UINT32_MAX))
			;
	}

	/* @return false if no message of the sender is in transit */
	bool deliver_next(bool evidence, uint32_t sender, uint32_t unreachable)
	{
		for (size_t i = 0; i < messages.size(); i++) {
			message_t &message = messages[i];

			if (message.evidence != evidence ||
			    message.sender != sender)
				continue;
			if (!message.answered &&
			    message.server != unreachable) {
				message.result = operate(
					server_list[message.server], message);
				message.status =
					server_list[message.server].status();
				message.has_status = true;
			}
			finish(i);
			return true;
		}
		return false;
	}

	void replicate_all(uint32_t from, uint32_t to)
	{
		for (size_t i = 0; i <= server_list[from].log.size(); i++)
			replicate(from, to, true);
	}

	void step_all()
	{
		const uint32_t node = pick(
			(uint32_t)(server_list.size() + promotions.size()));

		if (node < server_list.size()) {
			evidence_step(evidences[node], clock_ms(node));
			return;
		}
		promotion_step(promotions[node - server_list.size()],
			       clock_ms(node));
	}

	void step()
	{
		const auto servers = (uint32_t)server_list.size();

		if (pick(100) < long_steps)
			step_long(pick(100), pick(servers), pick(COORDINATORS));
		else
			step_short(pick(100), pick(servers));
	}

	void step_long(uint32_t action, uint32_t server, uint32_t coordinator)
	{
		if (action < 30)
			run_promotion(coordinator);
		else if (action < 60)
			replicate_all(server,
				      pick((uint32_t)server_list.size()));
		else if (action < 90)
			run_evidence(server);
		else if (action < 94)
			follow(server, pick((uint32_t)server_list.size()));
		else
			write(server);
	}

	void step_short(uint32_t action, uint32_t server)
	{
		const uint32_t coordinator = pick(COORDINATORS);

		if (action < 38)
			deliver(pick(8) == 0);
		else if (action < 60)
			replicate(server, pick((uint32_t)server_list.size()),
				  pick(4));
		else if (action < 64)
			write(server);
		else if (action < 66)
			follow(server, pick((uint32_t)server_list.size()));
		else if (action < 70)
			barrier(server);
		else if (action < 72)
			promotion_start(promotions[coordinator],
					coordinator_ms(coordinator));
		else if (action < 90)
			step_all();
		else
			now_us += action < 98 ? pick(8000) : pick(300000);
	}

	/* The primary of the highest term holds all acknowledged writes. */
	void check_primary()
	{
		const server_t *primary = nullptr;

		for (const server_t &server : server_list)
			if (server.primary &&
			    (!primary || server.term > primary->term))
				primary = &server;
		for (uint32_t write : acked)
			if (primary && !primary->holds(write))
				broken = "acknowledged write " +
					 std::to_string(write) + " is lost";
	}
};

struct outcome_t {
	uint32_t runs = 0;
	uint32_t acknowledged = 0;
	uint32_t promoted = 0;
	uint32_t barriers = 0;
	std::string broken;
	std::vector<std::string> trace;
};

outcome_t explore(uint32_t servers, uint32_t replicas, guards_t guards,
		  uint64_t seed, uint32_t runs)
{
	outcome_t outcome;

	for (uint32_t i = 0; i < runs && outcome.broken.empty(); i++) {
		group_t group(servers, replicas, guards, seed * 1000003 + i);

		group.run();
		outcome.runs++;
		outcome.acknowledged += group.acknowledged;
		outcome.promoted += group.promoted;
		outcome.barriers += group.barriers;
		outcome.broken = group.broken;
		outcome.trace = group.trace;
	}
	return outcome;
}

void print_trace(const outcome_t &outcome)
{
	for (const std::string &line : outcome.trace)
		printf("  %s\n", line.c_str());
	printf("  => %s\n", outcome.broken.c_str());
}

/* Every guard is needed: without it some schedule breaks a guarantee. */
bool breaks(const char *name, uint32_t servers, uint32_t replicas,
	    guards_t guards, const char *guarantee)
{
	const outcome_t outcome = explore(servers, replicas, guards, 1, 200000);
	const bool found = outcome.broken.find(guarantee) != std::string::npos;

	printf("without %s: %s after %u schedules\n", name,
	       outcome.broken.empty() ? "NOTHING BROKE" :
					outcome.broken.c_str(),
	       outcome.runs);
	return found;
}

guards_t without(uint32_t promotion, uint32_t evidence, uint32_t server)
{
	guards_t guards;

	guards.promotion &= ~promotion;
	guards.evidence &= ~evidence;
	guards.server &= ~server;
	return guards;
}

bool guards_are_needed()
{
	bool all = true;

	all &= breaks("all fences", 3, 1, without(PROMOTION_GUARD_FENCES, 0, 0),
		      "");
	all &= breaks("terms of records", 3, 1,
		      without(PROMOTION_GUARD_LAST_TERM, 0, 0), "lost");
	all &= breaks("records before fences", 3, 1,
		      without(PROMOTION_GUARD_FENCE_TERM, 0, 0), "lost");
	all &= breaks("the wait for old evidence", 3, 1,
		      without(PROMOTION_GUARD_WAIT, 0, 0), "replacement");
	all &= breaks("one server for a term", 3, 1,
		      without(PROMOTION_GUARD_ONE_PER_TERM, 0, 0), "lost");
	all &= breaks("fences in evidence", 3, 1,
		      without(0, EVIDENCE_GUARD_FENCE, 0), "");
	all &= breaks("one term in evidence", 3, 1,
		      without(0, EVIDENCE_GUARD_TERM, 0), "lost");
	all &= breaks("the age of evidence", 3, 1,
		      without(0, EVIDENCE_GUARD_AGE, 0), "replacement");
	all &= breaks("the primary's evidence", 3, 1,
		      without(0, EVIDENCE_GUARD_PRIMARY, 0), "replacement");
	all &= breaks("evidence after the question", 3, 1,
		      without(0, EVIDENCE_GUARD_NEW_ROUND, 0), "barrier");
	all &= breaks("enough replicas", 3, 1,
		      without(0, EVIDENCE_GUARD_REPLICAS, 0), "");
	all &= breaks("fences at all", 3, 1,
		      without(0, EVIDENCE_GUARD_FENCE, SERVER_GUARD_FENCE), "");
	all &= breaks("the check at promotion", 3, 1,
		      without(0, 0, SERVER_GUARD_CHECK), "");
	return all;
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("three servers keep commits confirmed by one replica",
			[](uint32_t seed) {
				const outcome_t outcome =
					explore(3, 1, guards_t(), seed, 500);

				if (!outcome.broken.empty())
					print_trace(outcome);
				RC_ASSERT(outcome.broken.empty());
				RC_ASSERT(outcome.acknowledged > 0);
				RC_ASSERT(outcome.promoted > 0);
				RC_ASSERT(outcome.barriers > 0);
			});
	ok &= rc::check("five servers keep commits confirmed by two replicas",
			[](uint32_t seed) {
				const outcome_t outcome =
					explore(5, 2, guards_t(), seed, 200);

				if (!outcome.broken.empty())
					print_trace(outcome);
				RC_ASSERT(outcome.broken.empty());
			});
	ok &= guards_are_needed();
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

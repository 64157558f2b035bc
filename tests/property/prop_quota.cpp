#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/quota_bucket.h"
#include "coordination/quota_leadership.h"
#include "state/store_revision.h"
}

namespace
{

constexpr uint32_t DOMAINS = 2;
constexpr uint32_t HUBS = 3; /* in each domain */
constexpr uint64_t STEP_MS = 100;
constexpr uint64_t WATCH_MS = 3000;
constexpr uint64_t START_MS = 1000000;
constexpr uint64_t RUN_MS = 300000;
constexpr uint64_t WINDOW_MS = 5000;

/* More tokens than a bucket can hold. */
constexpr uint32_t TAKEN_MAX = 2000;

/* Rules that a shortcut leaves out. */
enum guard_t {
	GUARD_EMPTY = 1 << 0,	 /* a new leader's buckets are empty */
	GUARD_SETTLE = 1 << 1,	 /* a takeover waits */
	GUARD_PROOF = 1 << 2,	 /* admission ends without a proof */
	GUARD_BOOT = 1 << 3,	 /* the clock counts a freeze */
	GUARD_SETTLING = 1 << 4, /* the record shows that its holder waits */
	GUARD_ERA = 1 << 5,	 /* the record shows its era */
	GUARD_LENDER = 1 << 6,	 /* the lender gives up what it lends */
	GUARD_ALL = (1 << 7) - 1,
};

struct entry_t {
	std::optional<quota_record_t> record;
	int64_t number = 0;
};

/* The store: one record for each domain. */
struct store_t {
	int64_t era = 1;
	int64_t number = 1;
	uint64_t down_until_ms = 0;
	entry_t entries[DOMAINS];
	entry_t copy[DOMAINS];
	int64_t copy_number = 1;

	void back_up()
	{
		std::copy(entries, entries + DOMAINS, copy);
		copy_number = number;
	}

	void restore()
	{
		std::copy(copy, copy + DOMAINS, entries);
		number = copy_number;
		era++;
	}
};

/* A write under way. It may outlive the process that sent it. */
struct write_t {
	uint32_t domain;
	uint32_t hub;
	uint32_t run;
	quota_write_t write;
	uint64_t effect_ms;
	uint64_t answer_ms;
	bool lost; /* the answer does not arrive */
	bool done = false;
	quota_write_result_t result = QUOTA_WRITE_UNKNOWN;
	int64_t revision = 0;
};

struct hub_t {
	uint32_t run = 0;
	quota_leadership_t *leadership = nullptr;
	quota_buckets_t *buckets = nullptr;
	uint32_t tenure = 0;
	uint64_t start_ms = 0; /* down before then */
	uint64_t frozen_until_ms = 0;
	uint64_t frozen_ms = 0;	     /* total time of freezes */
	uint64_t cut_until_ms = 0;   /* from the store */
	uint64_t mute_until_ms = 0;  /* from the other hubs */
	uint64_t watch_sent_ms = 0;  /* on the hub's clock, 0 for none */
	uint64_t watch_until_ms = 0; /* when the watch is answered */
	int64_t known_number = 0;
	int64_t known_era = 0;
};

/* A loan under way from the other domain. */
struct transfer_t {
	uint32_t domain; /* of the borrower */
	uint32_t hub;
	uint32_t run;
	uint32_t count;
	uint64_t lend_ms;
	uint64_t end_ms;
	bool lost_request;
	bool lost_answer;
	bool given = false;
	uint32_t granted = 0;
};

struct model_t {
	uint32_t guards;
	std::mt19937_64 random;
	uint64_t now_ms = START_MS;
	store_t store;
	hub_t hubs[DOMAINS][HUBS];
	std::vector<write_t> writes;
	std::vector<transfer_t> transfers;
	uint64_t lent = 0;
	/* Domains whose callers take all; in half of the runs both always. */
	bool calls[DOMAINS] = {true, true};
	quota_limit_t limit = {300, 500};
	std::deque<std::pair<uint64_t, uint32_t>> admitted;
	uint64_t in_window = 0;
	uint64_t total = 0;
	/* The highest limit in force in the window. */
	std::deque<std::pair<uint64_t, quota_limit_t>> limits;
	bool violated = false;

	bool pauses;

	model_t(uint32_t guards, uint64_t seed)
	    : guards(guards), random(seed), pauses(seed % 2)
	{
		limits.push_back({now_ms, limit});
	}

	uint64_t below(uint64_t bound)
	{
		return std::uniform_int_distribution<uint64_t>(0, bound - 1)(
			random);
	}

	bool chance(uint64_t parts_of_10000)
	{
		return below(10000) < parts_of_10000;
	}
};

std::string name_of(uint32_t hub)
{
	return "n" + std::to_string(hub);
}

uint64_t clock_of(const model_t &model, const hub_t &hub)
{
	return model.guards & GUARD_BOOT ? model.now_ms :
					   model.now_ms - hub.frozen_ms;
}

void stop(hub_t &hub)
{
	quota_leadership_destroy(hub.leadership);
	quota_buckets_destroy(hub.buckets);
	hub.leadership = nullptr;
	hub.buckets = nullptr;
	hub.watch_sent_ms = 0;
	hub.known_number = 0;
	hub.tenure = 0;
}

void start(model_t &model, hub_t &hub, uint32_t index)
{
	const std::string name = name_of(index);
	const uint32_t guards = model.guards;
	quota_leadership_settings_t settings = {};

	settings.node = name.c_str();
	settings.spread_ms = 100 * index;
	settings.proof_ms =
		guards & GUARD_PROOF ? QUOTA_LEADERSHIP_PROOF_MS : 3600000;
	settings.settle_ms =
		guards & GUARD_SETTLE ? QUOTA_LEADERSHIP_SETTLE_MS : 0;
	hub.run++;
	hub.leadership = quota_leadership_create(settings);
	quota_leadership_enable(hub.leadership, true);
	quota_leadership_register(hub.leadership);
}

bool is_up(const model_t &model, const hub_t &hub)
{
	return hub.leadership && model.now_ms >= hub.frozen_until_ms;
}

bool reaches_store(const model_t &model, const hub_t &hub)
{
	return model.now_ms >= hub.cut_until_ms &&
	       model.now_ms >= model.store.down_until_ms;
}

quota_record_t as_read(const model_t &model, quota_record_t record)
{
	if (!(model.guards & GUARD_SETTLING) &&
	    record.state == QUOTA_RECORD_SETTLING)
		record.state = QUOTA_RECORD_LEADING;
	if (!(model.guards & GUARD_ERA))
		record.era = model.store.era;
	return record;
}

void deliver_watch(model_t &model, hub_t &hub, uint32_t domain)
{
	const entry_t &entry = model.store.entries[domain];
	const int64_t era = model.store.era;
	const uint64_t now_ms = clock_of(model, hub);

	if (entry.number != hub.known_number || era != hub.known_era) {
		const int64_t revision = store_revision_make(
			era, std::max(entry.number, int64_t(1)));

		if (entry.record) {
			const quota_record_t record =
				as_read(model, *entry.record);

			quota_leadership_changed(hub.leadership, &record,
						 revision, now_ms);
		} else if (hub.known_era && era != hub.known_era) {
			quota_leadership_changed(
				hub.leadership, nullptr,
				store_revision_make(era, model.store.number),
				now_ms);
		}
	}
	hub.known_number = entry.number;
	hub.known_era = era;
	quota_leadership_synced(hub.leadership,
				store_revision_make(era, model.store.number),
				hub.watch_sent_ms, now_ms);
	hub.watch_sent_ms = 0;
}

/* Watches the record; an answer may be as old as a freeze or cut. */
void step_watch(model_t &model, hub_t &hub, uint32_t domain)
{
	const entry_t &entry = model.store.entries[domain];
	const bool changed = entry.number != hub.known_number ||
			     model.store.era != hub.known_era;

	if (!reaches_store(model, hub)) {
		hub.watch_sent_ms = 0;
		return;
	}
	if (!hub.watch_sent_ms) {
		hub.watch_sent_ms = clock_of(model, hub);
		hub.watch_until_ms = model.now_ms + WATCH_MS;
		return;
	}
	if (changed || model.now_ms >= hub.watch_until_ms)
		deliver_watch(model, hub, domain);
}

void send_write(model_t &model, const hub_t &hub, uint32_t domain,
		uint32_t index, const quota_write_t &write)
{
	write_t sent = {};

	sent.domain = domain;
	sent.hub = index;
	sent.run = hub.run;
	sent.write = write;
	/* Some take effect late, at most some seconds after they were sent. */
	sent.effect_ms = model.now_ms + (model.chance(500) ? model.below(8000) :
							     model.below(100));
	sent.answer_ms = sent.effect_ms + model.below(100);
	sent.lost = model.chance(500) || !reaches_store(model, hub);
	if (!reaches_store(model, hub))
		sent.answer_ms = model.now_ms + 1000;
	sent.done = !reaches_store(model, hub);
	model.writes.push_back(sent);
}

/* Executes a conditional write as kv_eras and the store do. */
void execute(model_t &model, write_t &write)
{
	entry_t &entry = model.store.entries[write.domain];
	const int64_t revision = write.write.revision;
	const bool same =
		revision ? entry.record && store_revision_make(model.store.era,
							       entry.number) ==
						   revision :
			   !entry.record;

	write.done = true;
	if (model.now_ms < model.store.down_until_ms)
		return;
	write.result = same ? QUOTA_WRITE_DONE : QUOTA_WRITE_CONFLICT;
	if (!same)
		return;
	entry.record = write.write.record;
	entry.number = ++model.store.number;
	write.revision = store_revision_make(model.store.era, entry.number);
}

void step_writes(model_t &model)
{
	for (write_t &write : model.writes) {
		hub_t &hub = model.hubs[write.domain][write.hub];

		if (!write.done && model.now_ms >= write.effect_ms)
			execute(model, write);
		if (!write.done || model.now_ms < write.answer_ms ||
		    hub.run != write.run || !is_up(model, hub))
			continue;
		if (!reaches_store(model, hub) || write.lost)
			write.result = QUOTA_WRITE_UNKNOWN;
		quota_leadership_written(hub.leadership, write.result,
					 write.revision, clock_of(model, hub));
		write.run = 0;
	}
	model.writes.erase(
		std::remove_if(
			model.writes.begin(), model.writes.end(),
			[&](const write_t &write) {
				return write.done &&
				       model.hubs[write.domain][write.hub]
						       .run != write.run;
			}),
		model.writes.end());
}

void hear_holder(model_t &model, hub_t &hub, uint32_t domain)
{
	const quota_record_t *record = quota_leadership_record(hub.leadership);

	if (!record)
		return;
	for (uint32_t i = 0; i < HUBS; i++) {
		const hub_t &other = model.hubs[domain][i];
		const bool heard = is_up(model, other) &&
				   model.now_ms >= other.mute_until_ms &&
				   model.now_ms >= hub.mute_until_ms;

		if (name_of(i) == record->holder)
			quota_leadership_holder_seen(
				hub.leadership, is_up(model, other),
				heard ? clock_of(model, hub) : 0,
				clock_of(model, hub));
	}
}

/* Has the hub borrow from the other domain's leader; messages get lost. */
void start_transfer(model_t &model, hub_t &hub, uint32_t domain, uint32_t index)
{
	const uint32_t count = quota_buckets_shortage(
		hub.buckets, "a", model.limit, clock_of(model, hub));
	transfer_t transfer = {};

	for (const transfer_t &other : model.transfers)
		if (other.domain == domain && other.hub == index)
			return;
	if (!count)
		return;
	quota_buckets_start_loan(hub.buckets, "a", count);
	transfer.domain = domain;
	transfer.hub = index;
	transfer.run = hub.run;
	transfer.count = count;
	transfer.lend_ms = model.now_ms + model.below(150);
	transfer.end_ms = transfer.lend_ms + model.below(150);
	transfer.lost_request = model.chance(300);
	transfer.lost_answer = model.chance(300);
	model.transfers.push_back(transfer);
}

/* The other domain's leader gives tokens. */
void lend(model_t &model, transfer_t &transfer)
{
	transfer.given = true;
	if (transfer.lost_request)
		return;
	if (!(model.guards & GUARD_LENDER))
		transfer.granted = transfer.count;
	for (hub_t &hub : model.hubs[!transfer.domain]) {
		const uint64_t now_ms = clock_of(model, hub);

		if ((model.guards & GUARD_LENDER) && is_up(model, hub) &&
		    hub.buckets &&
		    quota_leadership_may_admit(hub.leadership, now_ms))
			transfer.granted =
				quota_buckets_lend(hub.buckets, "a",
						   model.limit, transfer.count,
						   now_ms)
					.granted;
	}
}

void step_transfers(model_t &model)
{
	for (transfer_t &transfer : model.transfers) {
		hub_t &hub = model.hubs[transfer.domain][transfer.hub];

		if (!transfer.given && model.now_ms >= transfer.lend_ms)
			lend(model, transfer);
		if (model.now_ms < transfer.end_ms || !is_up(model, hub) ||
		    hub.run != transfer.run)
			continue;
		transfer.run = 0;
		if (transfer.lost_answer)
			transfer.granted = 0;
		model.lent += transfer.granted;
		/* The bucket may be of a later tenure. */
		quota_buckets_end_loan(hub.buckets, "a", model.limit,
				       transfer.granted, clock_of(model, hub));
	}
	model.transfers.erase(
		std::remove_if(
			model.transfers.begin(), model.transfers.end(),
			[&](const transfer_t &transfer) {
				return model.hubs[transfer.domain][transfer.hub]
					       .run != transfer.run;
			}),
		model.transfers.end());
}

/* Callers use all that they can get. */
uint32_t admit(model_t &model, hub_t &hub, uint32_t domain, uint32_t index)
{
	const uint64_t now_ms = clock_of(model, hub);
	const uint32_t tenure = quota_leadership_tenure(hub.leadership);
	uint32_t granted = 0;

	if (!quota_leadership_may_admit(hub.leadership, now_ms))
		return 0;
	if (hub.tenure != tenure) {
		hub.tenure = tenure;
		quota_buckets_destroy(hub.buckets);
		hub.buckets = quota_buckets_create(
			{DOMAINS, domain}, 10,
			model.guards & GUARD_EMPTY ? now_ms : now_ms - 600000);
	}
	if (model.calls[domain])
		granted = quota_buckets_admit(hub.buckets, "a", model.limit,
					      TAKEN_MAX, now_ms)
				  .granted;
	start_transfer(model, hub, domain, index);
	return granted;
}

void step_hub(model_t &model, uint32_t domain, uint32_t index)
{
	hub_t &hub = model.hubs[domain][index];
	quota_write_t write;
	uint32_t granted;

	if (!hub.leadership && model.now_ms >= hub.start_ms)
		start(model, hub, index);
	if (hub.leadership && !is_up(model, hub))
		hub.frozen_ms += STEP_MS;
	if (!is_up(model, hub))
		return;
	/* Admission may come before the answers that wait in the socket. */
	granted = admit(model, hub, domain, index);
	if (granted)
		model.admitted.push_back({model.now_ms, granted});
	model.in_window += granted;
	model.total += granted;
	step_watch(model, hub, domain);
	hear_holder(model, hub, domain);
	if (quota_leadership_step(hub.leadership, clock_of(model, hub), &write))
		send_write(model, hub, domain, index, write);
}

/* A machine is frozen, cut off or restarted; several of it may coincide. */
void disturb_hub(model_t &model, hub_t &hub)
{
	const uint64_t until_ms = model.now_ms + 500 + model.below(60000);

	if (model.chance(4))
		hub.cut_until_ms = until_ms;
	if (model.chance(4))
		hub.mute_until_ms = until_ms;
	if (model.chance(4))
		hub.cut_until_ms = hub.mute_until_ms = until_ms;
	if (model.chance(4)) {
		hub.frozen_until_ms = until_ms;
		hub.cut_until_ms = until_ms + model.below(30000);
	}
	if (model.chance(6)) {
		stop(hub);
		hub.start_ms = model.now_ms + model.below(6000);
	}
	if (model.chance(1) && hub.leadership)
		quota_leadership_resign(hub.leadership);
}

void set_limit(model_t &model)
{
	model.limit = {uint32_t(model.below(600)), uint32_t(model.below(1000))};
	model.limits.push_back({model.now_ms, model.limit});
}

/* Some hubs cannot reach a store for a while after it was restored. */
void restore(model_t &model)
{
	model.store.restore();
	for (auto &domain : model.hubs)
		for (hub_t &hub : domain)
			if (model.chance(4000))
				hub.cut_until_ms =
					model.now_ms + model.below(40000);
}

void lose_power(model_t &model)
{
	for (auto &domain : model.hubs)
		for (hub_t &hub : domain) {
			stop(hub);
			hub.start_ms = model.now_ms + 500;
			hub.frozen_until_ms = 0;
		}
}

void disturb(model_t &model)
{
	for (auto &domain : model.hubs)
		for (hub_t &hub : domain)
			disturb_hub(model, hub);
	if (model.chance(5))
		model.store.down_until_ms = model.now_ms + model.below(50000);
	if (model.chance(10))
		model.store.back_up();
	if (model.chance(8))
		restore(model);
	if (model.chance(20))
		set_limit(model);
	if (model.chance(5))
		lose_power(model);
	for (bool &calls : model.calls)
		if (model.pauses && model.chance(100))
			calls = !calls;
}

/* A lower limit is binding one window after it is in force. */
double bound(model_t &model)
{
	quota_limit_t most = {0, 0};

	while (model.limits.size() > 1 &&
	       model.limits[1].first + 2 * WINDOW_MS <= model.now_ms)
		model.limits.pop_front();
	for (const auto &limit : model.limits) {
		most.rate_per_s =
			std::max(most.rate_per_s, limit.second.rate_per_s);
		most.burst = std::max(most.burst, limit.second.burst);
	}
	return (most.rate_per_s * (WINDOW_MS / 1000.0) + most.burst) * 1.1 + 20;
}

void check_window(model_t &model)
{
	while (!model.admitted.empty() &&
	       model.admitted.front().first + WINDOW_MS <= model.now_ms) {
		model.in_window -= model.admitted.front().second;
		model.admitted.pop_front();
	}
	if (model.in_window > bound(model))
		model.violated = true;
}

/* @return whether the quota held in every window */
bool run(uint32_t guards, uint64_t seed, uint64_t *total,
	 uint64_t *lent = nullptr)
{
	auto model = std::make_unique<model_t>(guards, seed);
	bool violated;

	while (model->now_ms < START_MS + RUN_MS && !model->violated) {
		disturb(*model);
		step_writes(*model);
		step_transfers(*model);
		for (uint32_t i = 0; i < DOMAINS; i++)
			for (uint32_t j = 0; j < HUBS; j++)
				step_hub(*model, i, j);
		check_window(*model);
		model->now_ms += STEP_MS;
	}
	for (auto &domain : model->hubs)
		for (hub_t &hub : domain)
			stop(hub);
	violated = model->violated;
	if (total)
		*total += model->total;
	if (lent)
		*lent += model->lent;
	return !violated;
}

/* Runs until a shortcut breaks the rule. */
bool is_needed(const char *name, uint32_t guard)
{
	constexpr uint64_t RUNS_MAX = 3000;

	for (uint64_t seed = 1; seed <= RUNS_MAX; seed++) {
		if (run(GUARD_ALL & ~guard, seed, nullptr))
			continue;
		printf("without %s: broken with seed %lu\n", name,
		       (unsigned long)seed);
		return true;
	}
	printf("without %s: not broken\n", name);
	return false;
}

} // namespace

int main()
{
	uint64_t total = 0;
	uint64_t lent = 0;
	bool passed = rc::check(
		"no window exceeds the quota of a customer",
		[&](uint64_t seed) {
			RC_ASSERT(run(GUARD_ALL, seed, &total, &lent));
		});

	/* A fleet that admits nothing would keep the quota as well. */
	printf("admitted %lu lent %lu\n", (unsigned long)total,
	       (unsigned long)lent);
	passed &= total > 0 && lent > 0;
	passed &= is_needed("empty buckets at start", GUARD_EMPTY);
	passed &= is_needed("the wait after a takeover", GUARD_SETTLE);
	passed &= is_needed("an end without proof", GUARD_PROOF);
	passed &= is_needed("a clock that counts freezes", GUARD_BOOT);
	passed &= is_needed("the settling state", GUARD_SETTLING);
	passed &= is_needed("the era of the record", GUARD_ERA);
	passed &= is_needed("the lender's part of a loan", GUARD_LENDER);
	return passed ? 0 : 1;
}

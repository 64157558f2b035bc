#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>
#include <rapidcheck.h>

extern "C" {
#include "coordination/config_apply.h"
}

namespace
{

constexpr uint64_t deadline_ms = 20000;
constexpr uint64_t index_step = 3;

config_t *config_new(uint64_t revision, const std::string &change_id)
{
	config_t *config = g_new0(config_t, 1);

	config->revision = revision;
	config->change_id = g_strdup(change_id.c_str());
	return config;
}

/* A swap in transit, which may take effect at any time, or never. */
struct Swap {
	size_t sender;
	uint64_t index;
	uint64_t revision;
	std::string change_id;
};

struct Platform {
	config_t *current = nullptr;
	uint64_t index = 0;
	std::vector<std::string> history; /* change id of each revision */
	std::vector<config_t *> values;	  /* of each revision */

	~Platform()
	{
		for (config_t *value : values)
			config_delete(value);
	}

	bool swap(const Swap &swap)
	{
		config_t *next;

		if (swap.index != index)
			return false;
		/* Each swap that takes effect raises the revision by one. */
		RC_ASSERT(swap.revision == history.size() + 1);
		next = config_new(0, "");
		config_apply_stamp(next, current, swap.revision,
				   swap.change_id.c_str());
		values.push_back(next);
		current = next;
		index += index_step;
		history.push_back(swap.change_id);
		return true;
	}

	size_t count(const std::string &change_id) const
	{
		size_t count = 0;

		for (const std::string &id : history)
			count += id == change_id;
		return count;
	}
};

struct Operator {
	config_apply_t *apply = nullptr;
	std::string change_id;
	config_apply_step_t step = CONFIG_APPLY_READ;
	uint64_t now_ms = 0;
	uint32_t reads = 0;
};

struct Race {
	Platform platform;
	std::vector<Operator> operators;
	std::deque<Swap> delayed;
	GRand *random;
	bool outage = false;

	Race(size_t count, uint32_t seed) : random(g_rand_new_with_seed(seed))
	{
		for (size_t i = 0; i < count; i++) {
			Operator one;

			one.change_id = "change-" + std::to_string(i);
			one.apply = config_apply_create(
				one.change_id.c_str(),
				below(3) ? 0 : 1 + below(3), 0, deadline_ms);
			one.step = config_apply_begin(one.apply);
			operators.push_back(one);
		}
	}

	~Race()
	{
		for (Operator &one : operators)
			config_apply_destroy(one.apply);
		g_rand_free(random);
	}

	uint32_t below(uint32_t limit)
	{
		return (uint32_t)g_rand_int_range(random, 0, (gint32)limit);
	}

	void read(Operator &one)
	{
		const config_t *value = platform.current;
		uint64_t index = platform.index;

		one.now_ms += 10 + config_apply_pause_ms(one.apply);
		if (outage || !below(5)) {
			one.step = config_apply_read(one.apply, STORE_UNKNOWN,
						     nullptr, false, 0,
						     one.now_ms);
			return;
		}
		/* A replaced leader of the platform answers with old values. */
		if (value && value->revision > 1 && one.reads && !below(5)) {
			value = platform.values[value->revision - 2];
			index -= index_step;
		}
		one.reads++;
		one.step = config_apply_read(
			one.apply, value ? STORE_OK : STORE_ABSENT, value,
			value && value->change_id == one.change_id, index,
			one.now_ms);
	}

	store_result_t send(const Swap &swap)
	{
		switch (outage ? 0 : below(10)) {
		case 0: /* the request is lost */
			return STORE_UNKNOWN;
		case 1:
			return STORE_REFUSED;
		case 2: /* the answer is lost after the swap took effect */
		case 3:
			platform.swap(swap);
			return STORE_UNKNOWN;
		case 4: /* the swap takes effect later, if at all */
		case 5:
		case 6:
			delayed.push_back(swap);
			return STORE_UNKNOWN;
		default:
			return platform.swap(swap) ? STORE_OK : STORE_CONFLICT;
		}
	}

	void swap(size_t i)
	{
		Operator &one = operators[i];
		const Swap request = {i, config_apply_index(one.apply),
				      config_apply_revision(one.apply),
				      one.change_id};

		one.now_ms += 10;
		one.step = config_apply_swapped(one.apply, send(request),
						one.now_ms);
	}

	void deliver_delayed()
	{
		if (delayed.empty())
			return;
		platform.swap(delayed.front());
		delayed.pop_front();
	}

	/* Makes changes of operators that the test does not track. */
	void make_other_changes()
	{
		const uint32_t count = below(4) ? 1 : CONFIG_CHANGES_MAX + 3;

		for (uint32_t i = 0; i < count; i++)
			platform.swap(
				{0, platform.index, platform.history.size() + 1,
				 "other-" + std::to_string(
						    platform.history.size())});
	}

	bool step()
	{
		std::vector<size_t> running;

		for (size_t i = 0; i < operators.size(); i++)
			if (operators[i].step != CONFIG_APPLY_END)
				running.push_back(i);
		if (running.empty())
			return false;
		if (!below(3))
			deliver_delayed();
		if (!below(20))
			make_other_changes();
		if (!below(12))
			outage = !outage;
		const size_t i = running[below((uint32_t)running.size())];
		if (operators[i].step == CONFIG_APPLY_READ)
			read(operators[i]);
		else
			swap(i);
		return true;
	}

	void check_outcome(const Operator &one) const
	{
		const size_t count = platform.count(one.change_id);
		const uint64_t revision = config_apply_revision(one.apply);

		RC_ASSERT(count <= 1);
		switch (config_apply_outcome(one.apply)) {
		case CONFIG_APPLY_ACCEPTED:
			RC_ASSERT(count == 1);
			RC_ASSERT(platform.history[revision - 1] ==
				  one.change_id);
			break;
		case CONFIG_APPLY_UNKNOWN:
			break;
		default:
			RC_ASSERT(count == 0);
		}
	}
};

void accepted_means_in_force_once()
{
	Race race(*rc::gen::inRange<size_t>(1, 5),
		  *rc::gen::arbitrary<uint32_t>());

	while (race.step())
		continue;
	/* Delayed swaps arrive after all operators have their outcome. */
	while (!race.delayed.empty())
		race.deliver_delayed();
	for (const Operator &one : race.operators)
		race.check_outcome(one);
}

/* Without an outage and with few changes no outcome is unknown. */
void doubt_is_resolved()
{
	Race race(*rc::gen::inRange<size_t>(1, 5),
		  *rc::gen::arbitrary<uint32_t>());

	while (race.step()) {
		race.outage = false;
		RC_PRE(race.platform.history.size() < CONFIG_CHANGES_MAX);
	}
	for (const Operator &one : race.operators)
		RC_ASSERT(config_apply_outcome(one.apply) !=
			  CONFIG_APPLY_UNKNOWN);
}

/* On a platform without values the revision starts above the nodes' one. */
void starts_above_revision_of_nodes()
{
	const auto above = *rc::gen::inRange<uint64_t>(0, 1000);
	config_apply_t *apply = config_apply_create("a", 0, above, deadline_ms);

	RC_ASSERT(config_apply_read(apply, STORE_ABSENT, nullptr, false, 0,
				    0) == CONFIG_APPLY_SWAP);
	RC_ASSERT(config_apply_revision(apply) > above);
	config_apply_destroy(apply);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("an accepted change is in force once, a refused never",
			accepted_means_in_force_once);
	ok &= rc::check("a swap in doubt is resolved if the platform answers",
			doubt_is_resolved);
	ok &= rc::check("a new revision is above the revision of the nodes",
			starts_above_revision_of_nodes);
	return !ok;
}

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

config_t *config_new(uint64_t revision, const std::string &change_id)
{
	config_t *config = g_new0(config_t, 1);

	config->revision = revision;
	config->change_id = g_strdup(change_id.c_str());
	return config;
}

/* A swap that is on its way and may take effect at any time, or never. */
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

	~Platform()
	{
		config_delete(current);
	}

	bool swap(const Swap &swap)
	{
		config_t *next;

		if (swap.index != index)
			return false;
		/* The whole is swapped at once, each time one revision on. */
		RC_ASSERT(swap.revision == history.size() + 1);
		next = config_new(0, "");
		config_apply_stamp(next, current, swap.revision,
				   swap.change_id.c_str());
		config_delete(current);
		current = next;
		index += 3;
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
};

struct Race {
	Platform platform;
	std::vector<Operator> operators;
	std::deque<Swap> late;
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
		const config_t *current = platform.current;
		const bool same =
			current && current->change_id == one.change_id;

		one.now_ms += 10 + config_apply_pause_ms(one.apply);
		if (outage || !below(5))
			one.step = config_apply_read(one.apply, STORE_UNKNOWN,
						     nullptr, false, 0,
						     one.now_ms);
		else
			one.step = config_apply_read(
				one.apply, current ? STORE_OK : STORE_ABSENT,
				current, same, platform.index, one.now_ms);
	}

	store_result_t send(const Swap &swap)
	{
		switch (outage ? 0 : below(10)) {
		case 0: /* it was lost on its way */
			return STORE_UNKNOWN;
		case 1:
			return STORE_REFUSED;
		case 2: /* the answer is lost after the effect */
		case 3:
			platform.swap(swap);
			return STORE_UNKNOWN;
		case 4: /* it takes effect later, if at all */
		case 5:
		case 6:
			late.push_back(swap);
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

	void deliver_late()
	{
		if (late.empty())
			return;
		platform.swap(late.front());
		late.pop_front();
	}

	/* Operators who are not watched here make many changes. */
	void others()
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
			deliver_late();
		if (!below(20))
			others();
		if (!below(12))
			outage = !outage;
		const size_t i = running[below((uint32_t)running.size())];
		if (operators[i].step == CONFIG_APPLY_READ)
			read(operators[i]);
		else
			swap(i);
		return true;
	}

	void judge(const Operator &one) const
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
	/* What was on its way arrives after all have made up their minds. */
	while (!race.late.empty())
		race.deliver_late();
	for (const Operator &one : race.operators)
		race.judge(one);
}

/* Without an outage and with few changes nothing stays unknown. */
void doubt_is_settled()
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

/* A platform that lost its values starts above what nodes have in force. */
void starts_above_what_nodes_have()
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

	ok &= rc::check("accepted means in force, once; refused means never",
			accepted_means_in_force_once);
	ok &= rc::check("doubt is settled once the platform answers",
			doubt_is_settled);
	ok &= rc::check("a new revision is above what nodes have",
			starts_above_what_nodes_have);
	return !ok;
}

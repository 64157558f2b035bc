#include <algorithm>
#include <cstdint>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "sim/member_sim.h"
}

namespace
{

constexpr uint64_t settle_ms = 30000;
constexpr uint64_t near_dead_ms = 3000;
constexpr uint64_t far_dead_ms = 12000;

struct Fleet {
	uint32_t nodes;
	uint32_t domains;
	member_sim_t *sim;
	std::vector<bool> leaving;

	Fleet(uint32_t nodes_min, uint32_t domains_min)
	{
		member_sim_settings_t settings{};

		nodes = *rc::gen::inRange<uint32_t>(nodes_min, 16);
		domains = *rc::gen::inRange<uint32_t>(domains_min, 4);
		settings.nodes_count = nodes;
		settings.domains_count = domains;
		settings.same_domain_delay_ms = 1;
		settings.cross_domain_delay_ms =
			*rc::gen::inRange<uint32_t>(1, 60);
		settings.seed = *rc::gen::inRange<uint32_t>(0, 1000000);
		sim = member_sim_create(&settings);
		leaving.resize(nodes);
		for (uint32_t i = 0; i < nodes; i++)
			member_sim_start(sim, i);
		member_sim_run(sim, settle_ms);
	}

	~Fleet()
	{
		member_sim_destroy(sim);
	}

	uint32_t any()
	{
		return *rc::gen::inRange<uint32_t>(0, nodes);
	}

	void disturb()
	{
		const uint32_t node = any();
		const bool is_running = member_sim_is_running(sim, node);

		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			if (is_running && member_sim_running_count(sim) > 1)
				member_sim_stop(sim, node);
			break;
		case 1:
			if (!is_running) {
				member_sim_start(sim, node);
				leaving[node] = false;
			}
			break;
		case 2:
			if (is_running) {
				member_sim_leave(sim, node);
				leaving[node] = true;
			}
			break;
		case 3:
			member_sim_cut(sim,
				       *rc::gen::inRange<uint32_t>(0, domains),
				       *rc::gen::arbitrary<bool>());
			break;
		}
		member_sim_run(sim, *rc::gen::inRange<uint64_t>(0, 8000));
	}

	void heal()
	{
		for (uint32_t i = 0; i < domains; i++)
			member_sim_cut(sim, i, false);
		member_sim_set_loss(sim, 0);
	}

	member_state_t actual_state(uint32_t node) const
	{
		if (!member_sim_is_running(sim, node))
			return MEMBER_DEAD;
		return leaving[node] ? MEMBER_LEAVING : MEMBER_LIVE;
	}

	void assert_all_agree() const
	{
		const uint32_t running = member_sim_running_count(sim);

		for (uint32_t i = 0; i < nodes; i++)
			RC_ASSERT(member_sim_count(sim, i, actual_state(i)) ==
				  running);
	}
};

/* After any disturbances all nodes agree on the state of all members. */
void all_agree_after_disturbances()
{
	Fleet fleet(2, 1);
	const auto disturbances = *rc::gen::inRange(0, 12);

	fleet.assert_all_agree();
	member_sim_set_loss(fleet.sim, *rc::gen::inRange<uint32_t>(0, 25));
	for (int i = 0; i < disturbances; i++)
		fleet.disturb();
	fleet.heal();
	member_sim_run(fleet.sim, 3 * settle_ms);
	fleet.assert_all_agree();
}

/* A failed node is detected although the platform's list still names it. */
void dead_node_is_detected_in_time()
{
	Fleet fleet(3, 1);
	const uint32_t victim = fleet.any();
	const uint32_t domain = member_sim_domain(fleet.sim, victim);

	member_sim_stop(fleet.sim, victim);
	member_sim_run(fleet.sim, near_dead_ms);
	for (uint32_t i = 0; i < fleet.nodes; i++)
		if (i != victim && member_sim_domain(fleet.sim, i) == domain)
			RC_ASSERT(member_sim_state(fleet.sim, i, victim) ==
				  MEMBER_DEAD);
	member_sim_run(fleet.sim, far_dead_ms - near_dead_ms);
	fleet.assert_all_agree();
}

/* Within a domain that is cut off no member is ever declared dead. */
void cut_off_domain_keeps_its_members()
{
	Fleet fleet(4, 2);
	const uint32_t domain = *rc::gen::inRange<uint32_t>(0, fleet.domains);

	member_sim_cut(fleet.sim, domain, true);
	for (int i = 0; i < 100; i++) {
		member_sim_run(fleet.sim, 300);
		for (uint32_t a = 0; a < fleet.nodes; a++)
			for (uint32_t b = 0; b < fleet.nodes; b++)
				if (member_sim_domain(fleet.sim, a) ==
				    member_sim_domain(fleet.sim, b))
					RC_ASSERT(member_sim_state(fleet.sim, a,
								   b) !=
						  MEMBER_DEAD);
	}
	fleet.heal();
	member_sim_run(fleet.sim, settle_ms);
	fleet.assert_all_agree();
}

/* A member refutes a wrong record of itself. */
void wrong_record_is_refuted()
{
	Fleet fleet(2, 1);
	const uint32_t victim = fleet.any();
	const uint32_t listener = (victim + 1) % fleet.nodes;

	member_sim_inject_record(
		fleet.sim, listener, victim,
		*rc::gen::element(MEMBER_DEAD, MEMBER_SUSPECT));
	member_sim_run(fleet.sim, settle_ms);
	fleet.assert_all_agree();
}

} /* namespace */

int main()
{
	bool ok = true;

	ok &= rc::check("all nodes agree after disturbances",
			all_agree_after_disturbances);
	ok &= rc::check("a dead node is detected in time",
			dead_node_is_detected_in_time);
	ok &= rc::check("a domain that is cut off keeps its members",
			cut_off_domain_keeps_its_members);
	ok &= rc::check("a wrong record is refuted", wrong_record_is_refuted);
	return ok ? 0 : 1;
}

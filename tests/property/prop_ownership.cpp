#include <algorithm>
#include <cstring>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <glib.h>
#include <rapidcheck.h>

extern "C" {
#include "coordination/owner.h"
#include "coordination/ownership.h"
}

namespace
{

constexpr uint64_t origin_ms = 100000;
constexpr uint64_t startup_end_ms = 6000; /* the fleet starts until then */
constexpr uint64_t startup_lag_ms = 400;
constexpr uint64_t lag_ms = OWNERSHIP_TAKEOVER_MS - 100;
constexpr uint64_t refute_ms = 200;
constexpr uint64_t last_event_ms = 30000;
constexpr uint64_t quiet_ms = 2 * OWNERSHIP_TAKEOVER_MS + 1000;
constexpr uint64_t step_ms = 10;

enum class Kind { start, settle, accuse, refute, leave, die };

struct Event {
	uint64_t at_ms;
	size_t node;
	Kind kind;
	std::vector<uint64_t> seen_ms; /* when each node learns of the event */
};

struct Process {
	ownership_t *ownership = nullptr;
	std::map<std::string, uint32_t> held; /* server to its connections */
};

void on_change(void *context, const char *database, const char *server,
	       uint32_t connections, bool watched)
{
	auto *process = static_cast<Process *>(context);

	process->held[server] =
		connections + (watched ? OWNER_CONTROL_CONNECTIONS : 0);
}

/* A configuration of one database with servers in two failure domains. */
struct Configuration {
	std::vector<config_server_t> servers;
	std::vector<std::string> names;
	config_database_t database{};
	config_service_t service{};
	config_t config{};

	Configuration(size_t count, uint32_t connections, uint32_t owners)
	{
		static char domains[2][6] = {"akl-a", "wlg-a"};

		for (size_t i = 0; i < count; i++)
			names.push_back("s" + std::to_string(i));
		for (size_t i = 0; i < count; i++) {
			config_server_t server{};

			server.name = names[i].data();
			server.failure_domain = domains[i % 2];
			servers.push_back(server);
		}
		database.name = domains[0];
		database.servers = servers.data();
		database.servers_count = static_cast<uint32_t>(count);
		service.connections = connections;
		service.owners = owners;
		service.databases = &database;
		service.databases_count = 1;
		config.services = &service;
		config.services_count = 1;
	}
};

member_t make_member(size_t index)
{
	member_t member{};

	g_snprintf(member.name, sizeof(member.name), "node-%zu", index);
	g_strlcpy(member.failure_domain, index % 3 ? "akl-a" : "wlg-a",
		  sizeof(member.failure_domain));
	return member;
}

void apply(member_t *member, const Event &event)
{
	switch (event.kind) {
	case Kind::start:
		member->incarnation = event.at_ms;
		member->settled = false;
		member->state = MEMBER_LIVE;
		break;
	case Kind::settle:
		member->settled = true;
		break;
	case Kind::accuse:
		member->state = MEMBER_DEAD;
		break;
	case Kind::refute:
		member->state = MEMBER_LIVE;
		break;
	case Kind::leave:
		member->state = MEMBER_LEAVING;
		break;
	case Kind::die:
		member->state = MEMBER_DEAD;
		break;
	}
}

/* The events of all nodes, and when each other node learns of them. */
struct Schedule {
	size_t nodes;
	size_t first; /* nodes that the platform's list names from the start */
	std::vector<Event> events;

	void add(uint64_t at_ms, size_t node, Kind kind)
	{
		const uint64_t limit_ms = at_ms < startup_end_ms ?
						  startup_lag_ms :
						  lag_ms - refute_ms;
		Event event{origin_ms + at_ms, node, kind, {}};

		for (size_t i = 0; i < nodes; i++)
			event.seen_ms.push_back(
				event.at_ms +
				(i == node ? 0 :
					     *rc::gen::inRange<uint64_t>(
						     0, limit_ms + 1)));
		events.push_back(event);
	}

	/* Lets other nodes count a running node as dead for a short time. */
	void accuse(uint64_t from_ms, uint64_t to_ms, size_t node)
	{
		const uint64_t at_ms =
			from_ms + *rc::gen::inRange<uint64_t>(1000, 20000);

		if (at_ms < startup_end_ms || at_ms > last_event_ms ||
		    at_ms + lag_ms > to_ms)
			return;
		add(at_ms, node, Kind::accuse);
		add(at_ms + refute_ms, node, Kind::refute);
	}

	void run_process(uint64_t from_ms, uint64_t to_ms, size_t node,
			 Kind end)
	{
		add(from_ms, node, Kind::start);
		if (from_ms + OWNERSHIP_TAKEOVER_MS < to_ms)
			add(from_ms + OWNERSHIP_TAKEOVER_MS, node,
			    Kind::settle);
		accuse(from_ms + OWNERSHIP_TAKEOVER_MS, to_ms, node);
		if (to_ms > last_event_ms)
			return;
		add(to_ms, node, end);
		if (end == Kind::leave)
			add(to_ms + 500, node, Kind::die);
	}
};

/* Node 0 never stops, so that the whole fleet never starts again. */
Schedule make_schedule()
{
	Schedule schedule{};

	schedule.nodes = *rc::gen::inRange<size_t>(2, 8);
	schedule.first = *rc::gen::inRange<size_t>(2, schedule.nodes + 1);
	for (size_t node = 0; node < schedule.nodes; node++) {
		uint64_t from_ms =
			node < schedule.first ?
				*rc::gen::inRange<uint64_t>(0, 300) :
				*rc::gen::inRange<uint64_t>(8000, 20000);

		while (from_ms < last_event_ms) {
			const uint64_t to_ms =
				node ? from_ms + 8000 +
						*rc::gen::inRange<uint64_t>(
							0, 30000) :
				       last_event_ms + 1;
			const bool leaves = *rc::gen::arbitrary<bool>();

			schedule.run_process(from_ms, to_ms, node,
					     leaves ? Kind::leave : Kind::die);
			from_ms = to_ms + 600 +
				  *rc::gen::inRange<uint64_t>(0, 9000);
		}
	}
	std::stable_sort(schedule.events.begin(), schedule.events.end(),
			 [](const Event &a, const Event &b) {
				 return a.at_ms < b.at_ms;
			 });
	return schedule;
}

struct Simulation {
	const Schedule &schedule;
	Configuration &configuration;
	std::vector<Process> processes;
	std::vector<std::set<size_t>> seen; /* events that each node knows */

	Simulation(const Schedule &s, Configuration &t)
	    : schedule(s), configuration(t), processes(s.nodes), seen(s.nodes)
	{
	}

	~Simulation()
	{
		for (auto &process : processes)
			ownership_destroy(process.ownership);
	}

	/* Updates a node's ownership from the events that it knows. */
	void update(size_t index, uint64_t now_ms)
	{
		Process &process = processes[index];
		std::vector<member_t> members;
		member_view_t view{};

		for (size_t i = 0; i < schedule.nodes; i++) {
			member_t member = make_member(i);
			bool is_known = i < schedule.first;

			for (size_t e : seen[index])
				if (schedule.events[e].node == i &&
				    !(i == index && schedule.events[e].kind ==
							    Kind::accuse)) {
					apply(&member, schedule.events[e]);
					is_known = true;
				}
			if (is_known)
				members.push_back(member);
		}
		view.members = members.data();
		view.members_count = static_cast<uint32_t>(members.size());
		ownership_update(process.ownership, &view,
				 &configuration.config, now_ms, on_change,
				 &process);
	}

	void apply_event(const Event &event)
	{
		Process &process = processes[event.node];

		if (event.kind == Kind::start)
			process.ownership =
				ownership_create(make_member(event.node).name);
		if (event.kind != Kind::die)
			return;
		ownership_destroy(process.ownership);
		process.ownership = nullptr;
		process.held.clear();
	}

	/* Events of one node are learned in their order. */
	bool learn(size_t index, uint64_t now_ms)
	{
		const size_t before = seen[index].size();

		for (size_t e = 0; e < schedule.events.size(); e++) {
			if (schedule.events[e].seen_ms[index] > now_ms)
				continue;
			for (size_t k = 0; k <= e; k++)
				if (schedule.events[k].node ==
				    schedule.events[e].node)
					seen[index].insert(k);
		}
		return seen[index].size() != before;
	}

	void step(uint64_t now_ms)
	{
		for (const auto &event : schedule.events)
			if (event.at_ms > now_ms - step_ms &&
			    event.at_ms <= now_ms)
				apply_event(event);
		for (size_t i = 0; i < schedule.nodes; i++) {
			const bool is_new = learn(i, now_ms);
			Process &process = processes[i];

			if (process.ownership &&
			    (is_new ||
			     ownership_next_ms(process.ownership) <= now_ms))
				update(i, now_ms);
		}
	}

	/* Without recent events each node lists exactly the nodes with a share.
	 */
	void assert_owners_are_known() const
	{
		for (const auto &process : processes)
			for (const auto &server : configuration.servers)
				if (process.ownership)
					assert_owners(process, server);
	}

	void assert_owners(const Process &process,
			   const config_server_t &server) const
	{
		const char *nodes[OWNER_LIMIT];
		const uint32_t count = ownership_owners(process.ownership,
							&configuration.service,
							&server, nodes);
		std::set<std::string> known(nodes, nodes + count);
		std::set<std::string> holding;

		for (size_t i = 0; i < schedule.nodes; i++) {
			const auto held = processes[i].held.find(server.name);

			if (held != processes[i].held.end() && held->second)
				holding.insert(make_member(i).name);
		}
		RC_ASSERT(known == holding);
	}

	uint32_t sum(const std::string &server) const
	{
		uint32_t total = 0;

		for (const auto &process : processes) {
			const auto held = process.held.find(server);

			if (held != process.held.end())
				total += held->second;
		}
		return total;
	}
};

void shares_never_exceed_the_limit()
{
	const Schedule schedule = make_schedule();
	const auto connections = *rc::gen::inRange<uint32_t>(3, 41);
	const auto owners = *rc::gen::inRange<uint32_t>(1, 4);
	Configuration configuration(4, connections, owners);
	Simulation simulation(schedule, configuration);
	const uint64_t end_ms = origin_ms + last_event_ms + 500 + quiet_ms;

	for (uint64_t now_ms = origin_ms; now_ms < end_ms; now_ms += step_ms) {
		simulation.step(now_ms);
		for (const auto &name : configuration.names)
			RC_ASSERT(simulation.sum(name) <= connections);
	}
	for (const auto &name : configuration.names)
		RC_ASSERT(simulation.sum(name) == connections);
	simulation.assert_owners_are_known();
}

std::vector<member_t> make_members(size_t count)
{
	std::vector<member_t> members;

	for (size_t i = 0; i < count; i++) {
		member_t member = make_member(i);

		g_strlcpy(member.failure_domain, "akl-a",
			  sizeof(member.failure_domain));
		member.state = MEMBER_LIVE;
		members.push_back(member);
	}
	return members;
}

std::vector<std::string> rank(const std::vector<member_t> &members,
			      const std::string &server, uint32_t wanted)
{
	const member_view_t view = {members.data(),
				    static_cast<uint32_t>(members.size()), 1};
	const char *nodes[OWNER_LIMIT];
	const uint32_t count =
		owner_rank(&view, server.c_str(), "akl-a", wanted, nodes);

	return std::vector<std::string>(nodes, nodes + count);
}

void loss_of_a_node_moves_only_its_servers()
{
	const auto count = *rc::gen::inRange<size_t>(2, 40);
	const auto gone = *rc::gen::inRange<size_t>(0, count);
	const auto wanted = *rc::gen::inRange<uint32_t>(1, 4);
	const auto members = make_members(count);
	auto rest = members;

	rest[gone].state = *rc::gen::element(MEMBER_DEAD, MEMBER_LEAVING);
	for (int i = 0; i < 50; i++) {
		const std::string server = "s" + std::to_string(i);
		auto before = rank(members, server, wanted);
		const auto after = rank(rest, server, wanted);

		before.erase(std::remove(before.begin(), before.end(),
					 members[gone].name),
			     before.end());
		RC_ASSERT(std::equal(before.begin(), before.end(),
				     after.begin()));
		RC_ASSERT(after.size() == std::min<size_t>(wanted, count - 1));
	}
}

void owners_are_near_if_possible()
{
	auto members = make_members(*rc::gen::inRange<size_t>(1, 12));
	bool any_near = false;
	size_t candidates = 0;

	for (auto &member : members) {
		const bool is_near = *rc::gen::arbitrary<bool>();

		g_strlcpy(member.failure_domain, is_near ? "akl-a" : "wlg-a",
			  sizeof(member.failure_domain));
		member.state = *rc::gen::element(MEMBER_LIVE, MEMBER_SUSPECT,
						 MEMBER_LEAVING, MEMBER_DEAD);
		any_near |= is_near && owner_is_candidate(&member);
	}
	const auto chosen = rank(members, "s1", OWNER_LIMIT);

	for (const auto &member : members) {
		const bool is_near =
			!strcmp(member.failure_domain, "akl-a") || !any_near;
		const bool expected = owner_is_candidate(&member) && is_near;

		candidates += expected;
		RC_ASSERT(expected || !std::count(chosen.begin(), chosen.end(),
						  std::string(member.name)));
	}
	RC_ASSERT(chosen.size() == std::min<size_t>(candidates, OWNER_LIMIT));
}

void servers_are_spread_evenly()
{
	const auto members = make_members(20);
	const auto first = *rc::gen::inRange<int>(0, 1000000);
	std::map<std::string, int> load;
	constexpr int servers = 2000;

	for (int i = 0; i < servers; i++)
		load[rank(members, "db" + std::to_string(first + i), 1)[0]]++;
	for (const auto &member : members)
		RC_ASSERT(load[member.name] > servers / 20 / 2 &&
			  load[member.name] < servers / 20 * 2);
}

} /* namespace */

int main()
{
	bool ok = true;

	ok &= rc::check("shares never exceed the limit while views differ",
			shares_never_exceed_the_limit);
	ok &= rc::check("the loss of a node moves only its servers",
			loss_of_a_node_moves_only_its_servers);
	ok &= rc::check(
		"owners are in the server's domain if it has candidates",
		owners_are_near_if_possible);
	ok &= rc::check("servers are spread evenly", servers_are_spread_evenly);
	return ok ? 0 : 1;
}

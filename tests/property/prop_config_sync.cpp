#include <deque>
#include <map>
#include <string>
#include <vector>

#include <glib.h>
#include <rapidcheck.h>

extern "C" {
#include "coordination/config_sync.h"
}

namespace
{

constexpr uint64_t step_ms = 100;
constexpr uint64_t heartbeat_ms = 500;
constexpr uint64_t start_ms = 1000000;

struct Message {
	uint64_t due_ms;
	size_t from;
	size_t to;
	config_action_kind_t kind; /* FETCH, TELL; READ_CONFIG for a value */
	config_digest_t digest;
};

struct Read {
	uint64_t due_ms;
	size_t node;
	config_action_kind_t kind;
	uint64_t after;
};

struct Node {
	std::string name;
	std::string domain;
	config_sync_t *spread = nullptr;
	uint64_t seen = 0; /* highest revision of this incarnation */
	bool platform = true;
};

/* Simulates a fleet, its network and its platform. */
struct Fleet {
	std::vector<Node> nodes;
	std::vector<member_t> members;
	std::deque<Message> messages;
	std::deque<Read> reads;
	GRand *random;
	uint64_t now_ms = start_ms;
	uint64_t accepted = 0;
	uint64_t list_index = 1; /* of the platform's list of VMs */
	uint32_t loss_percent = 0;
	uint32_t platform_calls = 0;
	bool heartbeats = true;

	Fleet(size_t count, size_t domains, uint32_t seed)
	    : random(g_rand_new_with_seed(seed))
	{
		for (size_t i = 0; i < count; i++) {
			Node node;
			member_t member = {};

			node.name = "node-" + std::to_string(100 + i);
			node.domain = "domain-" + std::to_string(i % domains);
			g_strlcpy(member.name, node.name.c_str(),
				  sizeof(member.name));
			g_strlcpy(member.failure_domain, node.domain.c_str(),
				  sizeof(member.failure_domain));
			nodes.push_back(node);
			members.push_back(member);
		}
		for (size_t i = 0; i < count; i++)
			restart(i);
	}

	~Fleet()
	{
		for (Node &node : nodes)
			config_sync_destroy(node.spread);
		g_rand_free(random);
	}

	member_view_t view() const
	{
		member_view_t view = {};

		view.members = members.data();
		view.members_count = (uint32_t)members.size();
		return view;
	}

	void restart(size_t i)
	{
		const member_view_t all = view();
		std::deque<Read> others;

		config_sync_destroy(nodes[i].spread);
		nodes[i].spread = config_sync_create(nodes[i].name.c_str(),
						     nodes[i].domain.c_str(),
						     g_rand_int(random));
		nodes[i].seen = 0;
		config_sync_set_members(nodes[i].spread, &all);
		for (const Read &read : reads)
			if (read.node != i)
				others.push_back(read);
		reads = others;
	}

	uint32_t below(uint32_t limit)
	{
		return (uint32_t)g_rand_int_range(random, 0, (gint32)limit);
	}

	size_t find(const char *name) const
	{
		for (size_t i = 0; i < nodes.size(); i++)
			if (nodes[i].name == name)
				return i;
		RC_FAIL("an action names an unknown node");
		return 0;
	}

	void send(size_t from, size_t to, config_action_kind_t kind)
	{
		const uint32_t copies = 1 + !below(10);

		for (uint32_t i = 0; i < copies; i++) {
			if (below(100) < loss_percent)
				continue;
			messages.push_back(
				{now_ms + 5 + below(300), from, to, kind,
				 config_sync_digest(nodes[from].spread,
						    now_ms)});
		}
	}

	void run(size_t i, GArray *actions)
	{
		for (guint n = 0; n < actions->len; n++) {
			const config_action_t &action =
				g_array_index(actions, config_action_t, n);

			if (action.kind == CONFIG_ACTION_FETCH ||
			    action.kind == CONFIG_ACTION_SEND_DIGEST) {
				send(i, find(action.node), action.kind);
				continue;
			}
			platform_calls++;
			reads.push_back(
				{now_ms + (action.after_index ? action.wait_ms :
								10),
				 i, action.kind, action.after_index});
		}
		g_array_unref(actions);
	}

	static GArray *actions()
	{
		return g_array_new(FALSE, FALSE, sizeof(config_action_t));
	}

	uint64_t listed(size_t i) const
	{
		return config_sync_digest(nodes[i].spread, now_ms).list_index;
	}

	void offer(size_t i, uint64_t revision)
	{
		GArray *found = actions();
		const bool taken =
			config_sync_offer(nodes[i].spread, revision, found);

		RC_ASSERT(taken == (revision > nodes[i].seen));
		if (taken)
			nodes[i].seen = revision;
		RC_ASSERT(config_sync_revision(nodes[i].spread) ==
			  nodes[i].seen);
		run(i, found);
	}

	void deliver(const Message &message)
	{
		GArray *found = actions();

		switch (message.kind) {
		case CONFIG_ACTION_SEND_DIGEST:
			config_sync_handle_digest(
				nodes[message.to].spread,
				nodes[message.from].name.c_str(),
				&message.digest, now_ms, found);
			break;
		case CONFIG_ACTION_FETCH:
			if (nodes[message.to].seen > message.digest.revision)
				send(message.to, message.from,
				     CONFIG_ACTION_READ_CONFIG);
			if (listed(message.to) > message.digest.list_index)
				send(message.to, message.from,
				     CONFIG_ACTION_READ_MEMBERS);
			break;
		case CONFIG_ACTION_READ_MEMBERS:
			config_sync_offer_list(nodes[message.to].spread,
					       message.digest.list_index);
			break;
		default:
			offer(message.to, message.digest.revision);
		}
		run(message.to, found);
	}

	/* The index of the key is the revision plus one. */
	void answer(const Read &read)
	{
		Node &node = nodes[read.node];
		const config_read_t result = !node.platform ?
						     CONFIG_READ_FAILED :
					     accepted ? CONFIG_READ_DONE :
							CONFIG_READ_ABSENT;

		if (read.kind == CONFIG_ACTION_READ_MEMBERS) {
			GArray *found = actions();

			config_sync_members_read(node.spread,
						 node.platform ?
							 CONFIG_READ_DONE :
							 CONFIG_READ_FAILED,
						 list_index, now_ms, found);
			run(read.node, found);
			return;
		}
		if (result == CONFIG_READ_DONE)
			offer(read.node, accepted);
		config_sync_config_read(node.spread, result, accepted + 1,
					now_ms);
	}

	bool is_due(const Read &read) const
	{
		const uint64_t index = read.kind == CONFIG_ACTION_READ_CONFIG ?
					       accepted + 1 :
					       list_index;

		return now_ms >= read.due_ms ||
		       (nodes[read.node].platform && read.after &&
			index > read.after);
	}

	void step()
	{
		std::deque<Message> due;
		std::deque<Message> later;
		std::deque<Read> answered;
		std::deque<Read> held;

		now_ms += step_ms;
		for (const Message &message : messages)
			(message.due_ms <= now_ms ? due : later)
				.push_back(message);
		messages = later;
		for (const Message &message : due)
			deliver(message);
		for (const Read &read : reads)
			(is_due(read) ? answered : held).push_back(read);
		reads = held;
		for (const Read &read : answered)
			answer(read);
		for (size_t i = 0; i < nodes.size(); i++) {
			GArray *found = actions();

			config_sync_tick(nodes[i].spread, now_ms, found);
			run(i, found);
			if (heartbeats && now_ms % heartbeat_ms == 0)
				send(i, below((uint32_t)nodes.size()),
				     CONFIG_ACTION_SEND_DIGEST);
		}
	}

	void run_ms(uint64_t time_ms)
	{
		for (uint64_t end_ms = now_ms + time_ms; now_ms < end_ms;)
			step();
	}

	void set_platform(bool up)
	{
		for (Node &node : nodes)
			node.platform = up;
	}

	uint64_t highest() const
	{
		uint64_t highest = 0;

		for (const Node &node : nodes)
			highest = std::max(highest, node.seen);
		return highest;
	}

	bool all_at(uint64_t revision) const
	{
		for (const Node &node : nodes)
			if (node.seen != revision)
				return false;
		return true;
	}

	bool all_listed() const
	{
		for (size_t i = 0; i < nodes.size(); i++)
			if (listed(i) != list_index)
				return false;
		return true;
	}
};

/* Causes random changes, restarts, message losses and outages. */
void disturb(Fleet &fleet, uint32_t steps)
{
	for (uint32_t i = 0; i < steps; i++) {
		Node &node =
			fleet.nodes[fleet.below((uint32_t)fleet.nodes.size())];

		switch (fleet.below(8)) {
		case 0:
			fleet.accepted += 1 + fleet.below(3);
			fleet.list_index += fleet.below(2);
			break;
		case 1:
			node.platform = !node.platform;
			break;
		case 2:
			fleet.set_platform(fleet.below(2));
			break;
		case 3:
			fleet.loss_percent = fleet.below(90);
			break;
		case 4:
			fleet.restart((size_t)(&node - &fleet.nodes[0]));
			break;
		default:
			fleet.run_ms(fleet.below(40) * step_ms);
		}
	}
}

void converges_after_disturbance()
{
	const auto seed = *rc::gen::arbitrary<uint32_t>();
	const auto count = *rc::gen::inRange<size_t>(2, 12);
	const auto domains = *rc::gen::inRange<size_t>(1, 4);
	Fleet fleet(count, domains, seed);

	disturb(fleet, 60);
	fleet.accepted++;
	fleet.loss_percent = 5;
	fleet.set_platform(true);
	/* Covers the longest backoff of a watcher and the distribution. */
	fleet.run_ms(75000);
	RC_ASSERT(fleet.all_at(fleet.accepted));
	RC_ASSERT(fleet.all_listed());
	fleet.accepted++;
	fleet.list_index++;
	fleet.run_ms(5000);
	RC_ASSERT(fleet.all_at(fleet.accepted));
	RC_ASSERT(fleet.all_listed());
}

void converges_while_the_platform_is_down()
{
	const auto seed = *rc::gen::arbitrary<uint32_t>();
	const auto count = *rc::gen::inRange<size_t>(2, 12);
	Fleet fleet(count, 3, seed);

	disturb(fleet, 40);
	fleet.set_platform(false);
	fleet.loss_percent = 20;
	fleet.restart(fleet.below((uint32_t)count));
	fleet.run_ms(20000);
	RC_ASSERT(fleet.all_at(fleet.highest()));
}

void watchers_report_changes_at_once()
{
	const auto seed = *rc::gen::arbitrary<uint32_t>();
	const auto count = *rc::gen::inRange<size_t>(2, 12);
	Fleet fleet(count, 3, seed);

	fleet.accepted = 1;
	fleet.run_ms(5000);
	fleet.heartbeats = false;
	fleet.accepted = 2;
	fleet.list_index = 2;
	fleet.run_ms(2000);
	RC_ASSERT(fleet.all_at(2));
	RC_ASSERT(fleet.all_listed());
}

void new_node_fetches_from_peers()
{
	const auto seed = *rc::gen::arbitrary<uint32_t>();
	Fleet fleet(8, 2, seed);

	fleet.accepted = 1;
	fleet.run_ms(5000);
	fleet.heartbeats = false;
	fleet.set_platform(false);
	fleet.restart(fleet.below(8));
	fleet.run_ms(5000);
	RC_ASSERT(fleet.all_at(1));
}

/*
 * Both watchers of a domain lose the platform while its other nodes can reach
 * it. Those must read the platform themselves.
 */
void domain_without_watchers_gets_changes()
{
	const auto seed = *rc::gen::arbitrary<uint32_t>();
	Fleet fleet(8, 1, seed);

	fleet.accepted = 1;
	fleet.run_ms(5000);
	for (size_t i = 0; i < fleet.nodes.size(); i++) {
		bool watches = false;

		for (const Read &read : fleet.reads)
			watches = watches || read.node == i;
		fleet.nodes[i].platform = !watches;
	}
	fleet.accepted = 2;
	fleet.run_ms(CONFIG_SYNC_STALE_MS + 30000);
	RC_ASSERT(fleet.all_at(2));
}

/* Returns the calls to the platform in a minute without changes. */
uint32_t calls_of_a_quiet_minute(size_t count, uint32_t seed)
{
	Fleet fleet(count, 3, seed);

	fleet.accepted = 1;
	fleet.run_ms(20000);
	fleet.platform_calls = 0;
	fleet.run_ms(60000);
	return fleet.platform_calls;
}

void calls_depend_on_domains_only()
{
	const auto seed = *rc::gen::arbitrary<uint32_t>();
	/* Each of two keys is watched again at most once every wait. */
	const uint32_t most = 3 * CONFIG_SYNC_WATCHERS * 2 *
			      (60000 / CONFIG_SYNC_WAIT_MS + 1);

	RC_ASSERT(calls_of_a_quiet_minute(6, seed) <= most);
	RC_ASSERT(calls_of_a_quiet_minute(24, seed) <= most);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("all nodes get the highest revision, none goes back",
			converges_after_disturbance);
	ok &= rc::check("peers alone distribute the highest known revision",
			converges_while_the_platform_is_down);
	ok &= rc::check("watchers report a change to peers at once",
			watchers_report_changes_at_once);
	ok &= rc::check("a new node fetches from peers without the platform",
			new_node_fetches_from_peers);
	ok &= rc::check("a domain whose watchers are cut off gets changes",
			domain_without_watchers_gets_changes);
	ok &= rc::check("calls to the platform depend on domains only",
			calls_depend_on_domains_only);
	return !ok;
}

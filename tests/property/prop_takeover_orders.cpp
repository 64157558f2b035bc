/*
 * Orders to promote a server, of several coordinators one after the other.
 * Orders arrive, are answered and take effect late or not at all; coordinators
 * crash, pause, lose the lease to a silent store, resign and come back; servers
 * go dark or answer nothing, in all orders. Whenever the record lets callers
 * use a primary, no other server may lead.
 */
#include <cstdint>
#include <cstring>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/takeover.h"
}

namespace
{

const uint64_t STEP_MS = 10;
const uint64_t CALL_TIMEOUT_MS = 800;
const uint64_t WRITE_TIMEOUT_MS = 600;
const uint64_t LEASE_MS = 2000;
const uint64_t RENEWAL_AGE_MAX_MS = 1000;
const uint64_t SETTLE_MS = TAKEOVER_ORDER_EFFECT_MS + CALL_TIMEOUT_MS;
const uint64_t LOST_AFTER_MS = 300;
const uint64_t PROMOTE_MS_MIN = 100;
const uint64_t PROMOTE_MS_SPREAD = 900;
const uint64_t STEP_DOWN_MS = 1000;
const uint64_t TROUBLE_MS = 20000;
const uint64_t CALM_MS = 40000;
const int SERVERS = 3;
const int NODES = 2;

struct server_t {
	std::string id;
	bool primary = false;
	uint64_t term = 1;
	uint64_t fence = 0;
	uint64_t dark_until_ms = 0;
	uint64_t mute_until_ms = 0;
	uint64_t apart_until_ms = 0; /* cut off from the other servers */
	uint64_t step_down_ms = 0;
};

struct record_t {
	uint64_t term = 1;
	std::string primary = "a";
	uint64_t takeover_term = 0;
	std::string ordered;
	bool unclear = false;
	uint64_t token = 0;
	uint64_t revision = 1;
};

struct event_t {
	uint64_t due_ms;
	std::function<void()> run;
};

struct world_t;

/* A node that may hold the coordinator lease. */
struct node_t {
	world_t *world = nullptr;
	takeover_t *takeover = nullptr;
	uint64_t run = 1; /* rises when it is started again */
	uint64_t token = 0;
	uint64_t renewed_ms = 0;
	uint64_t settled_ms = 0;
	uint64_t down_until_ms = 0;
	uint64_t paused_until_ms = 0;
	uint64_t heard_ms = 0;
	uint64_t round = 0;
	uint64_t write = 0;
	bool assumed = false;
	record_t record; /* as last seen */
	std::vector<event_t> inbox;
};

struct world_t {
	std::mt19937 random;
	uint64_t now_ms = 1000;
	bool calm = true;
	server_t servers[SERVERS];
	node_t nodes[NODES];
	record_t record;     /* in the store */
	uint64_t holder = 0; /* token of the lease, 0 while it is free */
	uint64_t expires_ms = 0;
	uint64_t free_at_ms = 0;
	uint64_t tokens = 0;
	uint64_t store_away_until_ms = 0;
	std::string leader = "a";
	std::vector<event_t> events;
	int promotions = 0;
};

uint64_t draw(world_t &world, uint32_t limit)
{
	return world.random() % limit;
}

server_t &server_of(world_t &world, const std::string &id)
{
	for (server_t &server : world.servers)
		if (server.id == id)
			return server;
	throw id;
}

bool is_dark(const world_t &world, const server_t &server)
{
	return world.now_ms < server.dark_until_ms;
}

bool is_store_away(const world_t &world)
{
	return world.now_ms < world.store_away_until_ms;
}

void later(world_t &world, uint64_t delay_ms, std::function<void()> run)
{
	world.events.push_back({world.now_ms + delay_ms, std::move(run)});
}

/* Runs at the node, unless it was started again; a paused one runs it later. */
void tell(node_t &node, uint64_t delay_ms, std::function<void()> run)
{
	const uint64_t number = node.run;

	later(*node.world, delay_ms, [&node, number, run] {
		if (node.run == number)
			node.inbox.push_back({0, run});
	});
}

/* As in the relay: answers of earlier takeovers are dropped. */
void tell_takeover(node_t &node, uint64_t delay_ms, std::function<void()> run)
{
	const uint64_t round = node.round;

	tell(node, delay_ms, [&node, round, run] {
		if (node.round == round &&
		    takeover_phase(node.takeover) != TAKEOVER_IDLE)
			run();
	});
}

void on_write(void *context, uint64_t term, const char *primary,
	      uint64_t takeover_term)
{
	node_t &node = *(node_t *)context;
	world_t &world = *node.world;
	const char *ordered = takeover_ordered(node.takeover);
	const uint64_t known = node.record.revision;
	const uint64_t arrives_ms =
		is_store_away(world) ? draw(world, 4000) : draw(world, 20);
	const bool answered =
		!is_store_away(world) && (world.calm || draw(world, 12));
	record_t record;

	if (takeover_phase(node.takeover) == TAKEOVER_INTENT)
		node.round++;
	node.write++;
	record.term = term;
	record.primary = primary;
	record.takeover_term = takeover_term;
	record.ordered = ordered ? ordered : "";
	record.unclear = takeover_term &&
			 takeover_kind(node.takeover) == TAKEOVER_RESTORED;
	record.token = node.token;
	later(world, arrives_ms, [&world, &node, record, known, answered] {
		const bool done = world.holder == record.token &&
				  world.record.revision == known;

		if (done) {
			world.record = record;
			world.record.revision = known + 1;
		}
		if (!answered)
			return;
		tell_takeover(node, 5, [&node, record, known, done] {
			if (done) {
				node.record = record;
				node.record.revision = known + 1;
			}
			node.write = 0;
			takeover_written(node.takeover, done,
					 node.world->now_ms);
		});
	});
	tell_takeover(node, WRITE_TIMEOUT_MS, [&node, write = node.write] {
		if (node.write == write)
			takeover_written(node.takeover, false,
					 node.world->now_ms);
	});
}

void on_revoke(void *context)
{
	node_t &node = *(node_t *)context;

	tell_takeover(node, 20, [&node] {
		takeover_revoked(node.takeover, node.world->now_ms);
		takeover_proofs_forgotten(node.takeover, node.world->now_ms);
	});
}

takeover_status_t status_of(const world_t &world, const server_t &server)
{
	takeover_status_t status = {};

	if (is_dark(world, server) || world.now_ms < server.mute_until_ms)
		return status;
	status.answered = true;
	status.role = server.primary ? SERVER_PRIMARY : SERVER_REPLICA;
	status.term = server.term;
	status.fence = server.fence;
	status.received = log_point_t{1, 1};
	return status;
}

void on_status(void *context, const char *id)
{
	node_t &node = *(node_t *)context;
	world_t &world = *node.world;
	const server_t &server = server_of(world, id);

	later(world, draw(world, 10), [&node, &world, &server] {
		const takeover_status_t status = status_of(world, server);

		tell_takeover(node, draw(world, 20), [&node, &server, status] {
			takeover_status(node.takeover, server.id.c_str(),
					&status, node.world->now_ms);
		});
	});
}

void on_fence(void *context, const char *id, uint64_t term)
{
	node_t &node = *(node_t *)context;
	world_t &world = *node.world;
	server_t &server = server_of(world, id);

	if (!is_dark(world, server) && term > server.term)
		server.fence = term;
	tell_takeover(node, draw(world, 20), [&node, &world, &server] {
		const takeover_status_t status = status_of(world, server);

		takeover_fenced(node.takeover, server.id.c_str(), &status,
				world.now_ms);
	});
}

void on_release(void *context, const char *id)
{
	node_t &node = *(node_t *)context;

	later(*node.world, draw(*node.world, 20),
	      [&node, id = std::string(id)] {
		      server_of(*node.world, id).fence = 0;
	      });
}

void lead(world_t &world, server_t &server)
{
	uint64_t term = 0;

	if (is_dark(world, server) || world.leader == server.id)
		return;
	for (const server_t &other : world.servers)
		term = std::max(term, other.term);
	server_of(world, world.leader).step_down_ms =
		world.now_ms + STEP_DOWN_MS;
	world.leader = server.id;
	world.promotions++;
	server.primary = true;
	server.term = term + 1;
	server.fence = 0;
	server.step_down_ms = 0;
}

/* @return whether the platform accepts the order */
bool accept(world_t &world, server_t &server)
{
	if (is_dark(world, server))
		return false;
	if (world.leader != server.id)
		later(world, PROMOTE_MS_MIN + draw(world, PROMOTE_MS_SPREAD),
		      [&world, &server] { lead(world, server); });
	return true;
}

void answer_order(node_t &node, uint64_t number, takeover_promoted_t result)
{
	if (number == takeover_order_number(node.takeover))
		takeover_promoted(node.takeover, result, node.world->now_ms);
}

bool may_order(const node_t &node)
{
	return node.token &&
	       node.world->now_ms < node.renewed_ms + RENEWAL_AGE_MAX_MS;
}

/* The order may be lost, arrive late, or lose its answer. */
void on_promote(void *context, const char *id)
{
	node_t &node = *(node_t *)context;
	world_t &world = *node.world;
	server_t &server = server_of(world, id);
	const uint64_t number = takeover_order_number(node.takeover);
	const bool odd = !world.calm && !draw(world, 3);
	const uint64_t arrives_ms =
		odd ? draw(world, CALL_TIMEOUT_MS) : draw(world, 10);
	const bool lost = odd && !draw(world, 3);
	const bool answered = !lost && !(odd && !draw(world, 2));

	if (!may_order(node)) {
		answer_order(node, number, TAKEOVER_NOT_DONE);
		return;
	}
	if (!answered)
		tell(node, CALL_TIMEOUT_MS, [&node, number] {
			answer_order(node, number, TAKEOVER_UNKNOWN);
		});
	if (lost)
		return;
	later(world, arrives_ms, [&world, &node, &server, number, answered] {
		const bool done = accept(world, server);

		if (answered)
			tell(node, 1, [&node, number, done] {
				answer_order(node, number,
					     done ? TAKEOVER_PROMOTED :
						    TAKEOVER_NOT_RUNNING);
			});
	});
}

void on_done(void *context, bool published, uint64_t term, const char *old,
	     const char *primary)
{
	node_t &node = *(node_t *)context;

	node.heard_ms = node.world->now_ms;
	for (server_t &server : node.world->servers)
		if (published && server.id != primary)
			server.fence = 0;
}

void create_takeover(node_t &node)
{
	node.takeover =
		takeover_create({on_write, on_revoke, on_status, on_fence,
				 on_release, on_promote, on_done, &node});
}

/* As in the relay: what is known of orders of before the acquisition. */
void assume_order(node_t &node)
{
	if (node.assumed && node.record.token == node.token)
		return;
	node.assumed = true;
	takeover_assume_order(node.takeover, node.record.ordered.c_str(),
			      node.settled_ms);
}

takeover_kind_t unfinished_kind(const record_t &record)
{
	if (record.unclear)
		return TAKEOVER_RESTORED;
	return record.ordered.empty() ? TAKEOVER_LOST : TAKEOVER_UNFINISHED;
}

void start(node_t &node, takeover_kind_t kind)
{
	static const takeover_server_t servers[SERVERS] = {
		{"a", false, 1}, {"b", false, 2}, {"c", false, 3}};

	assume_order(node);
	takeover_start(node.takeover, node.record.term,
		       node.record.primary.c_str(), kind, servers, SERVERS,
		       node.world->now_ms);
}

void coordinate(node_t &node)
{
	world_t &world = *node.world;
	const server_t &primary = server_of(world, node.record.primary);

	if (takeover_phase(node.takeover) != TAKEOVER_IDLE) {
		takeover_step(node.takeover, world.now_ms);
		return;
	}
	if (node.record.takeover_term) {
		start(node, unfinished_kind(node.record));
		return;
	}
	if (status_of(world, primary).answered)
		node.heard_ms = world.now_ms;
	if (world.now_ms >= node.heard_ms + LOST_AFTER_MS)
		start(node, TAKEOVER_LOST);
	else if (!world.calm && !draw(world, 40))
		start(node,
		      draw(world, 2) ? TAKEOVER_LEAVING : TAKEOVER_HANDOVER);
}

void drop(node_t &node)
{
	node.token = 0;
	takeover_abort(node.takeover);
}

void resign(node_t &node)
{
	world_t &world = *node.world;

	if (world.holder == node.token && node.token) {
		world.holder = 0;
		world.free_at_ms = world.now_ms + draw(world, 300);
	}
	drop(node);
}

void acquire(world_t &world, node_t &node)
{
	world.holder = ++world.tokens;
	world.expires_ms = world.now_ms + LEASE_MS;
	node.token = world.holder;
	node.renewed_ms = world.now_ms;
	node.heard_ms = world.now_ms;
	node.settled_ms =
		world.tokens > 1 ? world.now_ms + SETTLE_MS : world.now_ms;
	node.assumed = false;
}

bool is_running(const node_t &node)
{
	return node.world->now_ms >= node.down_until_ms &&
	       node.world->now_ms >= node.paused_until_ms;
}

void step_lease(world_t &world, node_t &node)
{
	if (!node.token)
		return;
	if (world.now_ms >= node.renewed_ms + LEASE_MS) {
		drop(node);
	} else if (!is_store_away(world)) {
		if (world.holder != node.token) {
			drop(node);
		} else {
			node.renewed_ms = world.now_ms;
			world.expires_ms = world.now_ms + LEASE_MS;
		}
	}
}

void step_node(world_t &world, node_t &node)
{
	std::vector<event_t> inbox;

	if (!is_running(node))
		return;
	inbox.swap(node.inbox);
	for (const event_t &event : inbox)
		event.run();
	if (!is_store_away(world) && !draw(world, 4) &&
	    node.record.revision < world.record.revision)
		node.record = world.record;
	if (world.now_ms % 100 == 0)
		step_lease(world, node);
	if (node.token && world.now_ms % 50 == 0)
		coordinate(node);
}

void step_store(world_t &world)
{
	if (world.holder && world.now_ms >= world.expires_ms) {
		world.holder = 0;
		world.free_at_ms = world.now_ms + draw(world, 300);
	}
	node_t &node = world.nodes[draw(world, NODES)];

	if (!world.holder && world.now_ms >= world.free_at_ms &&
	    !is_store_away(world) && is_running(node) && !node.token)
		acquire(world, node);
}

void crash(node_t &node)
{
	world_t &world = *node.world;

	node.run++;
	node.inbox.clear();
	takeover_destroy(node.takeover);
	create_takeover(node);
	node.token = 0;
	node.record = record_t();
	node.down_until_ms = world.now_ms + 300 + draw(world, 3000);
}

void trouble(world_t &world)
{
	server_t &server = world.servers[draw(world, SERVERS)];
	node_t &node = world.nodes[draw(world, NODES)];
	const uint64_t until_ms = world.now_ms + 100 + draw(world, 4000);

	switch (draw(world, 9)) {
	case 0:
		server.dark_until_ms = until_ms;
		return;
	case 8:
		server.apart_until_ms = world.now_ms + draw(world, 9000);
		return;
	case 1:
	case 2:
		server.mute_until_ms = world.now_ms + draw(world, 9000);
		return;
	case 3:
		crash(node);
		return;
	case 4:
		node.paused_until_ms = until_ms;
		return;
	case 5:
		world.store_away_until_ms = until_ms;
		return;
	default:
		if (is_running(node))
			resign(node);
	}
}

void step_servers(world_t &world)
{
	for (server_t &server : world.servers) {
		if (server.step_down_ms &&
		    (is_dark(world, server) ||
		     world.now_ms < server.apart_until_ms))
			server.step_down_ms = world.now_ms + STEP_DOWN_MS;
		if (server.step_down_ms && !is_dark(world, server) &&
		    world.now_ms >= server.step_down_ms) {
			server.primary = false;
			server.step_down_ms = 0;
		}
		if (!server.primary && !is_dark(world, server))
			server.term = server_of(world, world.leader).term;
	}
}

void run_due(world_t &world)
{
	std::vector<event_t> due;
	std::vector<event_t> rest;

	for (event_t &event : world.events)
		(event.due_ms <= world.now_ms ? due : rest).push_back(event);
	world.events.swap(rest);
	for (const event_t &event : due)
		event.run();
}

void run(world_t &world, uint64_t for_ms, bool calm)
{
	const uint64_t end_ms = world.now_ms + for_ms;

	world.calm = calm;
	while (world.now_ms < end_ms) {
		world.now_ms += STEP_MS;
		if (!calm && !draw(world, 40))
			trouble(world);
		run_due(world);
		step_servers(world);
		step_store(world);
		for (node_t &node : world.nodes)
			step_node(world, node);
		/* Callers use the primary of a record without a takeover. */
		RC_ASSERT(world.record.takeover_term ||
			  world.record.primary == world.leader);
	}
}

void no_other_server_leads()
{
	world_t world;

	world.random.seed(*rc::gen::resize(
		100, rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
	for (int i = 0; i < SERVERS; i++) {
		world.servers[i].id = std::string(1, (char)('a' + i));
		world.servers[i].primary = i == 0;
	}
	for (node_t &node : world.nodes) {
		node.world = &world;
		create_takeover(node);
	}
	run(world, TROUBLE_MS, false);
	run(world, CALM_MS, true);
	RC_TAG(world.promotions > 1);
	RC_ASSERT(!world.record.takeover_term);
	for (node_t &node : world.nodes)
		takeover_destroy(node.takeover);
}

} // namespace

int main()
{
	return rc::check("no other server leads while callers use a primary",
			 no_other_server_leads) ?
		       0 :
		       1;
}

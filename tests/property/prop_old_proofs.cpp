/*
 * Proofs of a primary that is replaced. Nodes register leases, prove the
 * primary by the store, by the replicas and, for a node that follows a hub, by
 * the hub; they are killed, stopped, paused, turned away by the store, and lose
 * the answers to what the store does later. The duty to replace primaries
 * passes between them; fences are set and lifted, and lifts arrive late;
 * replicas start again. In all orders: when the order to promote is sent, and
 * when it takes effect, no node has a proof of the old primary.
 */
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/delegation.h"
#include "coordination/fence_release.h"
#include "coordination/lease_keys.h"
#include "coordination/lease_revocation.h"
#include "coordination/primary_lease.h"
#include "coordination/takeover.h"
#include "state/lease_record.h"
}

namespace
{

const uint64_t STEP_MS = 10;
const uint64_t LEASE_MS = 5000;
const uint64_t RENEW_MS = 450;
const uint64_t DUTY_MS = 2000;
const uint64_t DUTY_RENEWAL_AGE_MAX_MS = 1000;
const uint64_t SETTLE_MS = TAKEOVER_ORDER_EFFECT_MS + 800;
const uint64_t CALL_TIMEOUT_MS = 600;
const uint64_t LATE_MS = 3000;
const uint64_t LIFT_LATE_MS = 900;
const uint64_t RETRY_MS = 200;
const uint64_t POLL_MS = 200;
const uint64_t FOLLOW_MS = 300;
const uint64_t CONFIRM_MS = 90;
const uint64_t FORGET_MS = 150;
const int CONFIRM_POLLS = 3;
const int FORGET_POLLS = 4;
const uint64_t PROMOTE_MS = 300;
const uint64_t TROUBLE_MS = 30000;
const int SERVERS = 3;
const int NODES = 3;
const uint32_t WORLDS = 10;
const char PREFIX[] = "leases/";

struct server_t {
	std::string id;
	bool primary = false;
	uint64_t term = 1;
	uint64_t fence = 0;
	uint64_t started_ms = 0;
	uint64_t silent_until_ms = 0;
	uint64_t draining_until_ms = 0;
};

struct record_t {
	uint64_t term = 1;
	std::string primary = "a";
	uint64_t takeover_term = 0;
	std::string ordered;
	bool unclear = false;
	uint64_t token = 0;
	int64_t revision = 1;
};

struct key_t {
	std::string value;
	int64_t revision;
};

struct event_t {
	uint64_t due_ms;
	std::function<void()> run;
};

enum result_t { DONE, ABSENT, CONFLICT, REFUSED, UNKNOWN };

struct answer_t {
	result_t result = DONE;
	int64_t revision = 0;
	int64_t lease = 0;
	std::map<std::string, key_t> keys;
};

struct world_t;

/* A node without a lease, which uses the proofs of one hub. */
struct follower_t {
	primary_lease_t lease = {};
	bool asked = false;
	uint64_t asked_ms = 0;
	uint64_t connection = 0; /* rises when the connection breaks */
};

/* A node that registers leases, and may hold the duty. */
struct node_t {
	world_t *world = nullptr;
	std::string name;
	bool up = false;
	uint64_t run = 0; /* rises when it is started again */
	uint64_t start_at_ms = 0;
	uint64_t paused_until_ms = 0;
	uint64_t away_until_ms = 0; /* the store turns it away */
	std::string cut_from;	    /* a server that it does not reach */
	uint64_t cut_until_ms = 0;
	std::vector<event_t> inbox;
	/* Registration. */
	lease_keys_t *keys = nullptr;
	bool listing = false;
	node_lease_t lease = {};
	std::string key;
	int64_t key_revision = 0;
	int64_t seen = 0;
	int64_t next_confirmation = 0;
	bool opening = false;
	bool confirming = false;
	bool leaving = false;
	uint64_t due_ms = 0;
	uint64_t renew_ms = 0;
	/* The primary. */
	primary_lease_t service = {};
	int64_t settling = 0; /* takeover to confirm once followers know it */
	int64_t known_takeover = 0;
	uint64_t round = 0;
	uint64_t poll_ms = 0;
	uint64_t read_ms = 0;
	uint64_t verified_ms = 0; /* when the last read was sent */
	std::map<std::string, uint64_t> opened_ms; /* connections, by server */
	delegation_t *delegation = nullptr;
	uint64_t next_connection = 0;
	follower_t follower;
	/* The duty. */
	takeover_t *takeover = nullptr;
	uint64_t token = 0;
	uint64_t renewed_ms = 0;
	uint64_t settled_ms = 0;
	uint64_t takeover_round = 0;
	bool assumed = false;
	record_t record;
	fence_release_t release = {};
	lease_revocation_t *revocation = nullptr;
	uint64_t revocation_number = 0;
};

struct world_t {
	std::mt19937 random;
	uint64_t now_ms = 100000;
	server_t servers[SERVERS];
	node_t nodes[NODES];
	int64_t revision = 1;
	std::map<std::string, key_t> keys;
	std::map<int64_t, uint64_t> leases; /* id -> end */
	int64_t last_lease = 0;
	record_t record;
	uint64_t holder = 0;
	uint64_t holder_until_ms = 0;
	uint64_t tokens = 0;
	std::string leader = "a";
	std::vector<event_t> events;
	bool harsh = false; /* takeovers are disturbed more than before them */
	bool troubled = false;
	int promotions = 0;
	int unwaited = 0; /* takeovers in which no proof was in use */
};

uint64_t draw(world_t &world, uint64_t limit)
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

void later(world_t &world, uint64_t delay_ms, std::function<void()> run)
{
	world.events.push_back({world.now_ms + delay_ms, std::move(run)});
}

/* Runs at the node, unless it was started again; a paused one runs it later. */
void tell(node_t &node, uint64_t delay_ms, std::function<void()> run)
{
	const uint64_t number = node.run;

	later(*node.world, delay_ms, [&node, number, run] {
		if (node.run == number && node.up)
			node.inbox.push_back({0, run});
	});
}

bool is_away(const node_t &node)
{
	return node.world->now_ms < node.away_until_ms;
}

/*
 * Calls the store, which may turn the node away, or lose one answer in @p lost;
 * a call without an answer may be executed seconds later.
 */
void call_store(node_t &node, std::function<answer_t()> execute,
		std::function<void(const answer_t &)> done, uint64_t lost = 0)
{
	world_t &world = *node.world;
	const uint64_t way_ms = draw(world, 12);

	if (is_away(node)) {
		tell(node, way_ms, [done] { done({REFUSED}); });
		return;
	}
	if (!draw(world, lost ? lost : world.harsh ? 15 : 25)) {
		if (draw(world, 3))
			later(world, draw(world, LATE_MS),
			      [execute] { execute(); });
		tell(node, CALL_TIMEOUT_MS, [done] { done({UNKNOWN}); });
		return;
	}
	later(world, way_ms, [&node, &world, execute, done] {
		const answer_t answer = execute();

		tell(node, draw(world, 12), [done, answer] { done(answer); });
	});
}

bool has_lease(const world_t &world, int64_t lease)
{
	const auto found = world.leases.find(lease);

	return found != world.leases.end() && world.now_ms < found->second;
}

std::string encode(int64_t lease, int64_t seen)
{
	const lease_record_t record = {lease, 1, seen};
	char *text = lease_record_encode(&record);
	const std::string value = text;

	g_free(text);
	return value;
}

/* The registration; what it may remove is decided by lease_keys. */

void forget_proofs(node_t &node)
{
	node_lease_lost(&node.lease);
	primary_lease_forget_proofs(&node.service);
}

std::vector<std::string> removable(const node_t &node)
{
	GPtrArray *list = lease_keys_removable(node.keys, node.world->now_ms);
	std::vector<std::string> keys;

	for (guint i = 0; i < list->len; i++)
		keys.push_back((const char *)list->pdata[i]);
	g_ptr_array_unref(list);
	return keys;
}

void removed(node_t &node, const std::vector<std::string> &keys)
{
	GPtrArray *list = g_ptr_array_new();

	for (const std::string &key : keys)
		g_ptr_array_add(list, (gpointer)key.c_str());
	lease_keys_removed(node.keys, list);
	g_ptr_array_unref(list);
}

void confirm(node_t &node, int64_t revision);

void settle_earlier(node_t &node)
{
	const int64_t next = node.next_confirmation;

	if (!lease_keys_is_settled(node.keys, node.world->now_ms))
		return;
	if (!next && removable(node).empty())
		return;
	node.next_confirmation = 0;
	confirm(node, next);
}

void on_registered(node_t &node, int64_t lease, uint64_t sent_ms,
		   const std::vector<std::string> &gone, const answer_t &answer)
{
	node.opening = false;
	if (answer.result != DONE) {
		node.due_ms = node.world->now_ms + RETRY_MS;
		return;
	}
	removed(node, gone);
	node.lease.lease = lease;
	node.lease.registered_at = answer.revision;
	node.key_revision = answer.revision;
	node_lease_renewed(&node.lease, sent_ms);
	node.renew_ms = node.world->now_ms + RENEW_MS;
	node.read_ms = 0;
}

answer_t run_register(world_t &world, const std::string &key, int64_t lease,
		      const std::vector<std::string> &gone)
{
	answer_t answer;

	if (!has_lease(world, lease)) {
		answer.result = ABSENT;
		return answer;
	}
	for (const std::string &old : gone)
		world.keys.erase(old);
	answer.revision = ++world.revision;
	world.keys[key] = {encode(lease, 0), answer.revision};
	return answer;
}

void register_lease(node_t &node, int64_t lease, uint64_t sent_ms)
{
	world_t &world = *node.world;

	if (!node.key.empty())
		lease_keys_forgotten(node.keys, node.key.c_str());
	const std::vector<std::string> gone = removable(node);
	const std::string key =
		PREFIX + node.name + "/" + std::to_string(lease);

	lease_keys_written(node.keys, key.c_str());
	node.key = key;
	node.seen = 0;
	call_store(
		node,
		[&world, key, lease, gone] {
			return run_register(world, key, lease, gone);
		},
		[&node, lease, sent_ms, gone](const answer_t &answer) {
			on_registered(node, lease, sent_ms, gone, answer);
		});
}

void open_lease(node_t &node)
{
	world_t &world = *node.world;
	const uint64_t sent_ms = world.now_ms;

	node.opening = true;
	call_store(
		node,
		[&world] {
			answer_t answer;

			answer.lease = ++world.last_lease;
			world.leases[answer.lease] = world.now_ms + LEASE_MS;
			return answer;
		},
		[&node, sent_ms](const answer_t &answer) {
			if (answer.result == DONE) {
				register_lease(node, answer.lease, sent_ms);
				return;
			}
			node.opening = false;
			node.due_ms = node.world->now_ms + RETRY_MS;
		});
}

void renew(node_t &node)
{
	world_t &world = *node.world;
	const int64_t lease = node.lease.lease;
	const uint64_t sent_ms = world.now_ms;

	node.renew_ms = world.now_ms + RENEW_MS;
	call_store(
		node,
		[&world, lease] {
			answer_t answer;

			if (has_lease(world, lease))
				world.leases[lease] = world.now_ms + LEASE_MS;
			else
				answer.result = ABSENT;
			return answer;
		},
		[&node, lease, sent_ms](const answer_t &answer) {
			if (lease != node.lease.lease)
				return;
			if (answer.result == DONE)
				node_lease_renewed(&node.lease, sent_ms);
			else if (answer.result == ABSENT)
				forget_proofs(node);
		});
}

answer_t run_confirm(world_t &world, const std::string &key, int64_t revision,
		     const std::string &value,
		     const std::vector<std::string> &gone)
{
	const auto found = world.keys.find(key);
	answer_t answer;

	if (found == world.keys.end() || found->second.revision != revision) {
		answer.result = CONFLICT;
		return answer;
	}
	for (const std::string &old : gone)
		world.keys.erase(old);
	answer.revision = ++world.revision;
	world.keys[key] = {value, answer.revision};
	return answer;
}

void on_confirmed(node_t &node, const std::string &key,
		  const std::vector<std::string> &gone, const answer_t &answer)
{
	const int64_t next = node.next_confirmation;

	node.confirming = false;
	node.next_confirmation = 0;
	if (answer.result == DONE)
		removed(node, gone);
	if (key != node.key || !node.lease.lease)
		return;
	if (answer.result != DONE) {
		forget_proofs(node);
		return;
	}
	node.key_revision = answer.revision;
	if (next)
		confirm(node, next);
}

void confirm(node_t &node, int64_t revision)
{
	world_t &world = *node.world;

	if (node.leaving || node.opening || !node.lease.lease)
		return;
	if (node.confirming ||
	    !lease_keys_is_settled(node.keys, world.now_ms)) {
		node.next_confirmation =
			std::max(node.next_confirmation, revision);
		return;
	}
	const std::vector<std::string> gone = removable(node);
	const std::string key = node.key;
	const int64_t key_revision = node.key_revision;

	node.seen = std::max(node.seen, revision);
	node.confirming = true;
	const std::string value = encode(node.lease.lease, node.seen);

	call_store(
		node,
		[&world, key, key_revision, value, gone] {
			return run_confirm(world, key, key_revision, value,
					   gone);
		},
		[&node, key, gone](const answer_t &answer) {
			on_confirmed(node, key, gone, answer);
		});
}

void list_keys(node_t &node)
{
	world_t &world = *node.world;
	const std::string prefix = PREFIX + node.name + "/";

	node.listing = true;
	call_store(
		node,
		[&world] {
			answer_t answer;

			answer.keys = world.keys;
			return answer;
		},
		[&node, prefix](const answer_t &answer) {
			node.listing = false;
			if (answer.result != DONE)
				return;
			for (const auto &entry : answer.keys)
				if (!entry.first.compare(0, prefix.size(),
							 prefix))
					lease_keys_found(node.keys,
							 entry.first.c_str());
			lease_keys_listed(node.keys);
		},
		world.harsh ? 3 : 0);
}

bool is_hub_settled(const node_t &node)
{
	return !delegation_until_ms(node.delegation, DELEGATION_ALL,
				    node.world->now_ms);
}

void step_registration(node_t &node)
{
	const uint64_t now_ms = node.world->now_ms;

	if (node.leaving)
		return;
	if (!lease_keys_is_listed(node.keys) && !node.listing)
		list_keys(node);
	settle_earlier(node);
	if (node.opening || now_ms < node.due_ms)
		return;
	if (!node.lease.lease && is_hub_settled(node))
		open_lease(node);
	else if (node.lease.lease && now_ms >= node.renew_ms)
		renew(node);
}

/* The primary: its record, and proofs by the replicas. */

void set_replicas(primary_lease_t &lease)
{
	const char *replicas[SERVERS];
	uint32_t count = 0;

	for (const char *id : {"a", "b", "c"})
		if (strcmp(id, lease.primary))
			replicas[count++] = id;
	primary_lease_set_replicas(&lease, replicas, count);
}

void apply_record(primary_lease_t &lease, const record_t &record)
{
	primary_lease_apply_record(&lease, record.term, record.primary.c_str(),
				   record.takeover_term, record.revision);
	set_replicas(lease);
}

/* Reads the record, after the registration or as it changes. */
void read_record(node_t &node)
{
	world_t &world = *node.world;
	const record_t record = world.record;
	const int64_t revision = world.revision;

	const uint64_t sent_ms = world.now_ms;

	node.read_ms = world.now_ms + 30 + draw(world, 100);
	tell(node, draw(world, 12), [&node, record, revision, sent_ms] {
		node.verified_ms = sent_ms;
		apply_record(node.service, record);
		primary_lease_unchanged(&node.service, revision);
		if (record.revision > node.record.revision)
			node.record = record;
		if (record.takeover_term &&
		    record.revision > node.known_takeover) {
			node.known_takeover = record.revision;
			node.settling = revision;
		}
	});
}

void step_confirmation(node_t &node)
{
	const int64_t revision = node.settling;

	if (!revision ||
	    delegation_until_ms(node.delegation, revision, node.world->now_ms))
		return;
	node.settling = 0;
	confirm(node, revision);
}

bool is_silent(const world_t &world, const server_t &server)
{
	return world.now_ms < server.silent_until_ms;
}

bool reaches(const node_t &node, const server_t &server)
{
	const world_t &world = *node.world;

	return !is_silent(world, server) && !(server.id == node.cut_from &&
					      world.now_ms < node.cut_until_ms);
}

/* An answer counts on a connection that is older than the last read. */
void poll_replica(node_t &node, server_t &server)
{
	world_t &world = *node.world;
	const uint64_t round = node.round;
	const uint64_t term = node.service.term;
	const uint64_t sent_ms = world.now_ms;
	uint64_t &opened_ms = node.opened_ms[server.id];

	/* A server that starts again breaks its connections. */
	if (opened_ms <= server.started_ms)
		opened_ms = world.now_ms;
	const bool verified = opened_ms < node.verified_ms;

	later(world, draw(world, 20), [=, &node, &world, &server] {
		const bool fenced = server.primary || server.fence > term ||
				    server.term > term;

		if (!reaches(node, server) || server.started_ms >= sent_ms ||
		    !(verified || fenced))
			return;
		tell(node, draw(world, 20), [=, &node, &server] {
			if (node.service.term == term)
				primary_lease_replica_answer(
					&node.service, server.id.c_str(),
					fenced, round, sent_ms);
		});
	});
}

void poll_replicas(node_t &node)
{
	world_t &world = *node.world;

	node.poll_ms = world.now_ms + POLL_MS;
	if (node.service.takeover)
		return;
	node.round++;
	for (server_t &server : world.servers)
		if (server.id != node.service.primary)
			poll_replica(node, server);
}

/* A follower asks its hub, which delegates its proofs. */

void break_connection(node_t &node)
{
	if (node.delegation && node.follower.connection)
		delegation_left(node.delegation, node.follower.connection,
				node.world->now_ms);
	node.follower.connection = 0;
	node.follower.asked = false;
}

void answer_follower(node_t &node, uint64_t connection)
{
	world_t &world = *node.world;
	const uint64_t until_ms =
		node.leaving ?
			0 :
			primary_lease_own_until_ms(&node.service, &node.lease);
	const record_t record = node.record;
	const int64_t revision = node.service.read_at;
	const uint64_t now_ms = world.now_ms;

	delegation_answered(node.delegation, connection, revision,
			    until_ms > now_ms ? until_ms : 0);
	later(world, draw(world, 60), [&node, connection, record, until_ms] {
		follower_t &follower = node.follower;

		if (follower.connection != connection)
			return;
		follower.asked = false;
		apply_record(follower.lease, record);
		primary_lease_delegated(&follower.lease, until_ms);
	});
}

void step_follower(node_t &node)
{
	world_t &world = *node.world;
	follower_t &follower = node.follower;

	if (!node.up || (follower.asked &&
			 world.now_ms < follower.asked_ms + CALL_TIMEOUT_MS))
		return;
	if (follower.asked)
		break_connection(node);
	if (!follower.connection)
		follower.connection = ++node.next_connection;
	follower.asked = true;
	follower.asked_ms = world.now_ms;
	const uint64_t connection = follower.connection;
	const int64_t known = follower.lease.read_at;

	tell(node, draw(world, FOLLOW_MS), [&node, connection, known] {
		delegation_requested(node.delegation, connection, known);
		answer_follower(node, connection);
	});
}

/* The duty: takeovers, and the fences that they leave. */

bool may_act(const node_t &node)
{
	return node.token &&
	       node.world->now_ms < node.renewed_ms + DUTY_RENEWAL_AGE_MAX_MS;
}

void tell_takeover(node_t &node, uint64_t delay_ms, std::function<void()> run)
{
	const uint64_t round = node.takeover_round;

	tell(node, delay_ms, [&node, round, run] {
		if (node.takeover_round == round &&
		    takeover_phase(node.takeover) != TAKEOVER_IDLE)
			run();
	});
}

answer_t run_write(world_t &world, record_t record, int64_t known)
{
	answer_t answer;

	if (world.holder != record.token || world.record.revision != known) {
		answer.result = CONFLICT;
		return answer;
	}
	record.revision = ++world.revision;
	world.record = record;
	answer.revision = record.revision;
	return answer;
}

void on_write(void *context, uint64_t term, const char *primary,
	      uint64_t takeover_term)
{
	node_t &node = *(node_t *)context;
	world_t &world = *node.world;
	const char *ordered = takeover_ordered(node.takeover);
	const int64_t known = node.record.revision;
	record_t record;

	if (takeover_phase(node.takeover) == TAKEOVER_INTENT)
		node.takeover_round++;
	record.term = term;
	record.primary = primary;
	record.takeover_term = takeover_term;
	record.ordered = ordered ? ordered : "";
	record.unclear = takeover_term &&
			 takeover_kind(node.takeover) == TAKEOVER_RESTORED;
	record.token = node.token;
	const uint64_t round = node.takeover_round;

	call_store(
		node,
		[&world, record, known] {
			return run_write(world, record, known);
		},
		[&node, record, round](const answer_t &answer) {
			if (node.takeover_round != round ||
			    takeover_phase(node.takeover) == TAKEOVER_IDLE)
				return;
			if (answer.result == DONE) {
				node.record = record;
				node.record.revision = answer.revision;
			}
			takeover_written(node.takeover, answer.result == DONE,
					 node.world->now_ms);
		});
}

void list_leases(node_t &node, uint64_t number,
		 std::function<void(bool)> listed)
{
	world_t &world = *node.world;

	call_store(
		node,
		[&world] {
			answer_t answer;

			answer.keys = world.keys;
			return answer;
		},
		[&node, number, listed](const answer_t &answer) {
			if (node.revocation_number != number)
				return;
			lease_revocation_restart(node.revocation);
			for (const auto &entry : answer.keys) {
				const std::string &value = entry.second.value;
				GBytes *bytes =
					g_bytes_new(value.data(), value.size());

				lease_revocation_add(node.revocation,
						     entry.first.c_str(), bytes,
						     entry.second.revision);
				g_bytes_unref(bytes);
			}
			listed(answer.result == DONE);
		});
}

void poll_forgotten(node_t &node, uint64_t number, int polls)
{
	tell(node, FORGET_MS, [&node, number, polls] {
		if (node.revocation_number != number)
			return;
		list_leases(node, number, [&node, number, polls](bool listed) {
			world_t &world = *node.world;

			if (listed &&
			    lease_revocation_all_over(node.revocation)) {
				world.unwaited++;
				takeover_proofs_forgotten(node.takeover,
							  world.now_ms);
			} else if (polls + 1 < FORGET_POLLS) {
				poll_forgotten(node, number, polls + 1);
			}
		});
	});
}

struct ending_t {
	node_t *node;
	int pending = 0;
	bool failed = false;
	std::vector<int64_t> leases;
};

void note_lease(void *context, const char *key, int64_t lease)
{
	((ending_t *)context)->leases.push_back(lease);
}

void end_leases(node_t &node, uint64_t number);

void leases_ended(node_t &node, uint64_t number, bool failed)
{
	if (node.revocation_number != number)
		return;
	if (failed) {
		tell(node, FORGET_MS,
		     [&node, number] { end_leases(node, number); });
		return;
	}
	takeover_revoked(node.takeover, node.world->now_ms);
	poll_forgotten(node, number, 0);
}

void end_listed(node_t &node, uint64_t number, bool listed)
{
	auto ending = std::make_shared<ending_t>();

	lease_revocation_end(node.revocation, note_lease, ending.get());
	ending->failed = !listed;
	ending->pending = (int)ending->leases.size();
	if (!ending->pending)
		leases_ended(node, number, ending->failed);
	for (const int64_t lease : ending->leases)
		call_store(
			node,
			[&node, lease] {
				node.world->leases.erase(lease);
				return answer_t();
			},
			[&node, number, ending](const answer_t &answer) {
				ending->failed |= answer.result != DONE;
				if (!--ending->pending)
					leases_ended(node, number,
						     ending->failed);
			});
}

void end_leases(node_t &node, uint64_t number)
{
	if (node.revocation_number == number)
		list_leases(node, number, [&node, number](bool listed) {
			end_listed(node, number, listed);
		});
}

void poll_confirmed(node_t &node, uint64_t number, int polls)
{
	tell(node, CONFIRM_MS, [&node, number, polls] {
		if (node.revocation_number != number)
			return;
		list_leases(node, number, [&node, number, polls](bool listed) {
			const uint64_t now_ms = node.world->now_ms;

			if (listed &&
			    lease_revocation_is_confirmed(node.revocation)) {
				node.world->unwaited++;
				takeover_revoked(node.takeover, now_ms);
				takeover_proofs_forgotten(node.takeover,
							  now_ms);
			} else if (polls + 1 < CONFIRM_POLLS) {
				poll_confirmed(node, number, polls + 1);
			} else {
				end_listed(node, number, listed);
			}
		});
	});
}

void stop_revocation(node_t &node)
{
	node.revocation_number++;
	lease_revocation_destroy(node.revocation);
	node.revocation = nullptr;
}

void on_revoke(void *context)
{
	node_t &node = *(node_t *)context;

	stop_revocation(node);
	node.revocation = lease_revocation_create(node.record.revision);
	poll_confirmed(node, node.revocation_number, 0);
}

takeover_status_t status_of(const server_t &server)
{
	takeover_status_t status = {};

	status.answered = true;
	status.role = server.primary ? SERVER_PRIMARY : SERVER_REPLICA;
	status.term = server.term;
	status.fence = server.fence;
	status.received = log_point_t{1, 1};
	return status;
}

void control(node_t &node, const char *id, std::function<void(server_t &)> run,
	     std::function<void(server_t &, const takeover_status_t &)> done)
{
	world_t &world = *node.world;
	server_t &server = server_of(world, id);
	const uint64_t sent_ms = world.now_ms;

	later(world, draw(world, 20),
	      [&node, &world, &server, sent_ms, run, done] {
		      takeover_status_t status = {};

		      if (reaches(node, server)) {
			      run(server);
			      status = status_of(server);
		      }
		      status.sent_ms = sent_ms;
		      tell_takeover(node, draw(world, 20),
				    [&server, status, done] {
					    done(server, status);
				    });
	      });
}

void on_status(void *context, const char *id)
{
	node_t &node = *(node_t *)context;

	control(
		node, id, [](server_t &) {},
		[&node](server_t &server, const takeover_status_t &status) {
			takeover_status(node.takeover, server.id.c_str(),
					&status, node.world->now_ms);
		});
}

void on_fence(void *context, const char *id, uint64_t term)
{
	node_t &node = *(node_t *)context;

	control(
		node, id,
		[term](server_t &server) {
			if (!server.primary && term > server.term)
				server.fence = term;
		},
		[&node](server_t &server, const takeover_status_t &status) {
			takeover_fenced(node.takeover, server.id.c_str(),
					&status, node.world->now_ms);
		});
}

/* Lifts a fence, at times late: also one that was set meanwhile. */
void lift(world_t &world, const std::string &id)
{
	const uint64_t delay_ms =
		draw(world, 3) ? draw(world, 20) : draw(world, LIFT_LATE_MS);

	later(world, delay_ms, [&world, id] {
		server_t &server = server_of(world, id);

		if (!is_silent(world, server))
			server.fence = 0;
	});
}

void on_release(void *context, const char *id)
{
	node_t &node = *(node_t *)context;

	if (may_act(node))
		lift(*node.world, id);
}

/* No node may have a proof of a primary of before the term. */
void check_proofs(world_t &world, uint64_t term)
{
	const node_lease_t unregistered = {};

	for (const node_t &node : world.nodes) {
		if (node.up && node.service.term < term)
			RC_ASSERT(!primary_lease_valid(
				&node.service, &node.lease, world.now_ms));
		if (node.follower.lease.term < term)
			RC_ASSERT(!primary_lease_valid(&node.follower.lease,
						       &unregistered,
						       world.now_ms));
	}
}

void lead(world_t &world, server_t &server)
{
	const uint64_t term = server_of(world, world.leader).term;

	if (is_silent(world, server) || world.leader == server.id)
		return;
	check_proofs(world, term + 1);
	world.leader = server.id;
	world.promotions++;
	for (server_t &other : world.servers) {
		other.primary = &other == &server;
		other.term = term + 1;
		other.fence = 0;
	}
}

void on_promote(void *context, const char *id)
{
	node_t &node = *(node_t *)context;
	world_t &world = *node.world;
	server_t &server = server_of(world, id);
	const uint64_t number = takeover_order_number(node.takeover);
	const bool runs = !is_silent(world, server);
	takeover_promoted_t result =
		runs ? TAKEOVER_PROMOTED : TAKEOVER_NOT_RUNNING;

	if (!may_act(node))
		result = TAKEOVER_NOT_DONE;
	else if (world.leader != id)
		check_proofs(world, server_of(world, world.leader).term + 1);
	if (result == TAKEOVER_PROMOTED)
		later(world, PROMOTE_MS,
		      [&world, &server] { lead(world, server); });
	if (result == TAKEOVER_NOT_DONE) {
		takeover_promoted(node.takeover, result, world.now_ms);
		return;
	}
	tell(node, 5, [&node, number, result] {
		if (number == takeover_order_number(node.takeover))
			takeover_promoted(node.takeover, result,
					  node.world->now_ms);
	});
}

void on_done(void *context, bool published, uint64_t term, const char *old,
	     const char *primary)
{
	node_t &node = *(node_t *)context;

	stop_revocation(node);
	fence_release_schedule(&node.release, node.world->now_ms);
}

void start(node_t &node, takeover_kind_t kind)
{
	world_t &world = *node.world;
	takeover_server_t servers[SERVERS];

	for (int i = 0; i < SERVERS; i++)
		servers[i] = {world.servers[i].id.c_str(),
			      world.now_ms < world.servers[i].draining_until_ms,
			      world.servers[i].started_ms};
	if (!node.assumed || node.record.token != node.token)
		takeover_assume_order(node.takeover,
				      node.record.ordered.c_str(),
				      node.settled_ms);
	node.assumed = true;
	takeover_start(node.takeover, node.record.term,
		       node.record.primary.c_str(), kind, servers, SERVERS,
		       world.now_ms);
}

takeover_kind_t unfinished_kind(const record_t &record)
{
	if (record.unclear)
		return TAKEOVER_RESTORED;
	return record.ordered.empty() ? TAKEOVER_LOST : TAKEOVER_UNFINISHED;
}

void resign(node_t &node);

void lift_fences(node_t &node)
{
	world_t &world = *node.world;
	const fence_release_duty_t duty = {
		node.token != 0,
		may_act(node),
		takeover_phase(node.takeover) == TAKEOVER_IDLE &&
			!node.record.takeover_term,
	};

	if (!fence_release_is_due(&node.release, &duty, world.now_ms))
		return;
	fence_release_cancel(&node.release);
	for (const server_t &server : world.servers)
		if (server.id != node.record.primary)
			lift(world, server.id);
	/* The next holder may begin a takeover while these are on their way. */
	if (world.troubled && !draw(world, 3)) {
		resign(node);
		server_of(world, world.leader).draining_until_ms =
			world.now_ms + 2500;
	}
}

void coordinate(node_t &node)
{
	world_t &world = *node.world;
	const server_t &primary = server_of(world, node.record.primary);

	lift_fences(node);
	if (!node.token)
		return;
	if (takeover_phase(node.takeover) != TAKEOVER_IDLE)
		takeover_step(node.takeover, world.now_ms);
	else if (node.record.takeover_term)
		start(node, unfinished_kind(node.record));
	else if (is_silent(world, primary))
		start(node, TAKEOVER_LOST);
	else if (world.now_ms < primary.draining_until_ms)
		start(node, TAKEOVER_LEAVING);
}

void drop_duty(node_t &node)
{
	node.token = 0;
	takeover_abort(node.takeover);
	stop_revocation(node);
	fence_release_cancel(&node.release);
}

void resign(node_t &node)
{
	world_t &world = *node.world;

	if (node.token && world.holder == node.token && !is_away(node))
		world.holder = 0;
	drop_duty(node);
}

void step_duty(node_t &node)
{
	world_t &world = *node.world;

	if (!node.token && !node.leaving && !world.holder && !is_away(node) &&
	    node.lease.lease && !draw(world, 20)) {
		node.token = world.holder = ++world.tokens;
		node.renewed_ms = world.now_ms;
		node.settled_ms = world.now_ms + SETTLE_MS;
		node.assumed = false;
		node.record = world.record;
		if (world.tokens > 1)
			fence_release_schedule(&node.release, world.now_ms);
	}
	if (!node.token)
		return;
	if (!is_away(node)) {
		if (world.holder != node.token) {
			drop_duty(node);
			return;
		}
		node.renewed_ms = world.now_ms;
		world.holder_until_ms = world.now_ms + DUTY_MS;
	} else if (world.now_ms >= node.renewed_ms + DUTY_MS) {
		drop_duty(node);
	}
}

/* Processes, and what happens to them. */

void stop_node(node_t &node)
{
	break_connection(node);
	node.up = false;
	node.inbox.clear();
	node.token = 0;
	stop_revocation(node);
	takeover_destroy(node.takeover);
	node.takeover = nullptr;
	lease_keys_destroy(node.keys);
	node.keys = nullptr;
	delegation_destroy(node.delegation);
	node.delegation = nullptr;
}

/* A new run knows nothing of before. */
void start_node(node_t &node)
{
	node_t fresh;

	fresh.world = node.world;
	fresh.name = node.name;
	fresh.run = node.run + 1;
	fresh.away_until_ms = node.away_until_ms;
	fresh.next_connection = node.next_connection;
	fresh.follower = node.follower;
	fresh.up = true;
	fresh.keys = lease_keys_create(node.world->now_ms);
	fresh.delegation = delegation_create();
	node = fresh;
	node.takeover =
		takeover_create({on_write, on_revoke, on_status, on_fence,
				 on_release, on_promote, on_done, &node});
	node.read_ms = node.world->now_ms;
}

void kill_node(node_t &node)
{
	stop_node(node);
	node.start_at_ms = node.world->now_ms + 100 + draw(*node.world, 900);
}

/* As a node that is told to stop, gives up its duty and removes its keys. */
void leave(node_t &node)
{
	world_t &world = *node.world;
	const std::string key = node.key;

	resign(node);
	node.leaving = true;
	if (is_hub_settled(node) && !key.empty() && !is_away(node))
		later(world, draw(world, 50),
		      [&world, key] { world.keys.erase(key); });
	forget_proofs(node);
	later(world, 300, [&node, number = node.run] {
		if (node.run == number && node.up)
			kill_node(node);
	});
}

void trouble(world_t &world)
{
	node_t &node = world.nodes[draw(world, NODES)];
	server_t &server = world.servers[draw(world, SERVERS)];
	const uint64_t until_ms = world.now_ms + 100 + draw(world, 4000);

	if (world.harsh && world.record.takeover_term && !draw(world, 3) &&
	    node.up) {
		kill_node(node);
		return;
	}
	switch (draw(world, world.harsh ? 11 : 10)) {
	case 0:
	case 1:
		if (node.up)
			kill_node(node);
		return;
	case 2:
		if (node.up && !node.leaving)
			leave(node);
		return;
	case 3:
	case 4:
		node.away_until_ms = until_ms;
		return;
	case 5:
		node.paused_until_ms = world.now_ms + draw(world, 1500);
		return;
	case 6:
		if (node.up)
			resign(node);
		return;
	case 7: /* a replica starts again, and has no fence */
		if (!server.primary) {
			server.started_ms = world.now_ms;
			server.fence = 0;
		}
		return;
	case 8:
		server.silent_until_ms = world.now_ms + draw(world, 1500);
		return;
	case 10:
		node.cut_from = server.id;
		node.cut_until_ms = until_ms;
		return;
	default:
		server_of(world, world.leader).draining_until_ms =
			world.now_ms + 2500;
	}
}

void step_node(node_t &node)
{
	world_t &world = *node.world;
	std::vector<event_t> inbox;

	if (!node.up && world.now_ms >= node.start_at_ms)
		start_node(node);
	if (!node.up || world.now_ms < node.paused_until_ms)
		return;
	inbox.swap(node.inbox);
	for (const event_t &event : inbox)
		event.run();
	step_duty(node);
	step_registration(node);
	step_confirmation(node);
	if (!is_away(node) && world.now_ms >= node.read_ms)
		read_record(node);
	if (world.now_ms >= node.poll_ms)
		poll_replicas(node);
	if (node.token && world.now_ms % 50 == 0)
		coordinate(node);
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

void run(world_t &world, uint64_t for_ms, bool with_trouble)
{
	const uint64_t end_ms = world.now_ms + for_ms;

	world.troubled = with_trouble;
	while (world.now_ms < end_ms) {
		world.now_ms += STEP_MS;
		if (with_trouble && !draw(world, world.harsh ? 30 : 40))
			trouble(world);
		run_due(world);
		if (world.holder && world.now_ms >= world.holder_until_ms)
			world.holder = 0;
		for (node_t &node : world.nodes) {
			step_node(node);
			step_follower(node);
		}
	}
}

/* @return whether some takeovers came to an end, with and without a wait */
bool play(uint32_t seed)
{
	world_t world;

	world.random.seed(seed);
	world.harsh = seed % 2;
	for (int i = 0; i < SERVERS; i++) {
		world.servers[i].id = std::string(1, (char)('a' + i));
		world.servers[i].primary = i == 0;
		world.servers[i].started_ms = (uint64_t)i + 1;
	}
	for (int i = 0; i < NODES; i++) {
		world.nodes[i].world = &world;
		world.nodes[i].name = "node-" + std::to_string(i);
	}
	run(world, 2500, false);
	run(world, TROUBLE_MS, true);
	run(world, 6000, false);
	for (node_t &node : world.nodes)
		if (node.up)
			stop_node(node);
	return world.promotions > 1 && world.unwaited;
}

/* Many worlds in one case: some of the orders that matter are rare. */
void no_node_has_a_proof()
{
	const uint32_t seed = *rc::gen::resize(
		100, rc::gen::inRange<uint32_t>(0, UINT32_MAX));
	int played = 0;

	for (uint32_t i = 0; i < WORLDS; i++)
		played += play(seed + i);
	RC_TAG(played > (int)WORLDS / 3);
}

} // namespace

int main()
{
	return rc::check("no node has a proof of a primary that is replaced",
			 no_node_has_a_proof) ?
		       0 :
		       1;
}

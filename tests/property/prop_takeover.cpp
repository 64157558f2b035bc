/*
 * Takeovers of a service with one synchronous replica. Servers go dark, receive
 * nothing, leave, lose their entries and start again with an empty log, alone
 * and together; no commit that was acknowledged may be missing from the log of
 * the server that is promoted.
 */
#include <cstdint>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/takeover.h"
#include "state/sync_holders.h"
}

namespace
{

const uint64_t STEP_MS = 10;
const uint64_t POLL_MS = 500;
const uint64_t LOST_AFTER_MS = 300;
const uint64_t PROMOTE_MS = 300;
const uint64_t STEP_DOWN_MS = 1000;
const uint64_t RESTART_MS = 400;
const uint64_t TROUBLE_MS = 20000;
const uint64_t CALM_MS = 30000;
const int SERVERS = 3;

struct server_t {
	std::string id;
	bool primary = false;
	uint64_t term = 1;
	uint64_t fence = 0;
	uint64_t received = 0; /* commits of the log, a prefix of the lineage */
	uint64_t started_ms = 1;
	uint64_t dark_until_ms = 0;
	uint64_t deaf_until_ms = 0;
	uint64_t draining_until_ms = 0;
	uint64_t absent_until_ms = 0;
	uint64_t step_down_ms = 0;
};

struct operation_t {
	std::string name;
	std::string server;
	uint64_t term;
	uint64_t due_ms;
	uint64_t sent_ms;
};

/* A service, its coordinator and the store. */
struct world_t {
	std::mt19937 random;
	uint64_t now_ms = 1000;
	std::vector<uint64_t> lineage; /* term of each commit */
	uint64_t acknowledged = 0;     /* commits told to callers */
	bool forgot = false; /* an acknowledged commit is on no server */
	server_t servers[SERVERS];
	std::vector<operation_t> operations;
	takeover_t *takeover = nullptr;
	sync_holders_t holders = {};
	uint64_t term = 1;
	std::string primary = "a";
	uint64_t heard_ms = 1000;
	uint64_t polled_ms = 0;
	uint64_t promote_at_ms = 0;
	std::string promoted;
	int promotions = 0;
};

/* A number from 0 to below @p limit. */
uint64_t draw(world_t &world, uint32_t limit)
{
	return world.random() % limit;
}

server_t *find(world_t &world, const std::string &id)
{
	for (server_t &server : world.servers)
		if (server.id == id)
			return &server;
	return nullptr;
}

bool is_dark(const world_t &world, const server_t &server)
{
	return world.now_ms < server.dark_until_ms;
}

bool is_present(const world_t &world, const server_t &server)
{
	return !is_dark(world, server) &&
	       world.now_ms >= server.absent_until_ms;
}

log_point_t end_of(const world_t &world, const server_t &server)
{
	if (!server.received)
		return log_point_t{1, 0};
	return log_point_t{world.lineage[server.received - 1], server.received};
}

/* The store's record of the primary. */
void set_record(world_t &world, uint64_t term, const char *primary)
{
	if (term != world.term)
		sync_holders_new_term(&world.holders, primary,
				      world.primary.c_str(),
				      find(world, world.primary)->started_ms);
	world.term = term;
	world.primary = primary;
	world.heard_ms = world.now_ms;
}

void on_write(void *context, uint64_t term, const char *primary,
	      uint64_t takeover_term)
{
	world_t &world = *(world_t *)context;

	if (!takeover_term)
		set_record(world, term, primary);
	world.operations.push_back({"write", "", 0, world.now_ms});
}

void on_revoke(void *context)
{
	world_t &world = *(world_t *)context;

	world.operations.push_back({"revoke", "", 0, world.now_ms});
}

void ask(void *context, const char *name, const char *server, uint64_t term)
{
	world_t &world = *(world_t *)context;
	const uint64_t delay_ms = draw(world, 60);

	world.operations.push_back(
		{name, server, term, world.now_ms + delay_ms, world.now_ms});
}

void on_status(void *context, const char *server)
{
	ask(context, "status", server, 0);
}

void on_fence(void *context, const char *server, uint64_t term)
{
	ask(context, "fence", server, term);
}

void on_release(void *context, const char *server)
{
	ask(context, "release", server, 0);
}

void on_promote(void *context, const char *server)
{
	ask(context, "promote", server, 0);
}

void on_done(void *context, bool published, uint64_t term, const char *old,
	     const char *primary)
{
	world_t &world = *(world_t *)context;

	world.heard_ms = world.now_ms;
	for (server_t &server : world.servers)
		if (server.id != primary)
			server.fence = 0;
}

takeover_status_t status_of(const world_t &world, const server_t &server)
{
	takeover_status_t status = {};

	if (is_dark(world, server) || !is_present(world, server))
		return status;
	status.answered = true;
	status.role = server.primary ? SERVER_PRIMARY : SERVER_REPLICA;
	status.term = server.term;
	status.fence = server.fence;
	status.received = end_of(world, server);
	return status;
}

void run_fence(server_t &server, uint64_t term)
{
	if (!server.primary && term > server.term)
		server.fence = term;
}

void run_promote(world_t &world, const server_t &server)
{
	const bool runs = !is_dark(world, server);

	if (runs && !server.primary) {
		world.promoted = server.id;
		world.promote_at_ms = world.now_ms + PROMOTE_MS;
	}
	takeover_promoted(world.takeover,
			  runs ? TAKEOVER_PROMOTED : TAKEOVER_NOT_RUNNING,
			  world.now_ms);
}

void run_operation(world_t &world, const operation_t &operation)
{
	server_t *server = find(world, operation.server);
	takeover_status_t status = {};

	if (server && operation.name == "fence" && !is_dark(world, *server) &&
	    is_present(world, *server))
		run_fence(*server, operation.term);
	if (operation.name == "release") {
		if (!is_dark(world, *server))
			server->fence = 0;
		return;
	}
	if (server)
		status = status_of(world, *server);
	status.sent_ms = operation.sent_ms;
	if (operation.name == "write")
		takeover_written(world.takeover, true, world.now_ms);
	else if (operation.name == "revoke")
		takeover_revoked(world.takeover, world.now_ms);
	else if (operation.name == "status")
		takeover_status(world.takeover, operation.server.c_str(),
				&status, world.now_ms);
	else if (operation.name == "fence")
		takeover_fenced(world.takeover, operation.server.c_str(),
				&status, world.now_ms);
	else
		run_promote(world, *server);
}

void run_operations(world_t &world)
{
	std::vector<operation_t> due;
	std::vector<operation_t> later;

	for (const operation_t &operation : world.operations)
		(operation.due_ms <= world.now_ms ? due : later)
			.push_back(operation);
	world.operations = later;
	for (const operation_t &operation : due)
		run_operation(world, operation);
}

/* The promoted server leads with what it has; nothing told may be missing. */
void lead(world_t &world)
{
	server_t *server = find(world, world.promoted);
	uint64_t term = 0;

	world.promote_at_ms = 0;
	if (is_dark(world, *server))
		return;
	RC_ASSERT(server->received >= world.acknowledged);
	world.promotions++;
	for (const server_t &other : world.servers)
		term = std::max(term, other.term);
	world.lineage.resize(server->received);
	for (server_t &other : world.servers) {
		other.received = std::min(other.received, server->received);
		if (other.primary)
			other.step_down_ms = world.now_ms + STEP_DOWN_MS;
		else
			other.term = term + 1;
	}
	server->primary = true;
	server->term = term + 1;
	server->fence = 0;
	server->step_down_ms = 0;
}

server_t *leader(world_t &world)
{
	server_t *found = nullptr;

	for (server_t &server : world.servers)
		if (server.primary && (!found || server.term > found->term))
			found = &server;
	return found;
}

/* Whether callers may be told of commits: not while a server is chosen. */
bool may_acknowledge(const world_t &world, const server_t &primary)
{
	const takeover_phase_t phase = takeover_phase(world.takeover);

	return primary.id == world.primary && primary.term == world.term &&
	       (phase == TAKEOVER_IDLE || phase == TAKEOVER_INTENT ||
		phase == TAKEOVER_REVOKE || phase == TAKEOVER_WAIT);
}

void replicate(world_t &world, server_t &primary)
{
	uint64_t confirmed = 0;

	for (server_t &server : world.servers) {
		if (&server == &primary || is_dark(world, server) ||
		    server.fence || world.now_ms < server.deaf_until_ms)
			continue;
		if (server.primary) {
			if (world.now_ms < server.step_down_ms)
				continue;
			server.primary = false;
		}
		server.term = primary.term;
		server.received += std::min<uint64_t>(
			primary.received - server.received, draw(world, 4));
		confirmed = std::max(confirmed, server.received);
	}
	if (may_acknowledge(world, primary))
		world.acknowledged = std::max(world.acknowledged, confirmed);
}

void serve(world_t &world)
{
	server_t *primary = leader(world);

	if (!primary || is_dark(world, *primary))
		return;
	if (primary->received == world.lineage.size() &&
	    may_acknowledge(world, *primary))
		world.lineage.push_back(primary->term);
	primary->received = world.lineage.size();
	replicate(world, *primary);
}

void follow(world_t &world)
{
	std::vector<sync_replica_t> replicas;

	for (const server_t &server : world.servers)
		if (is_present(world, server) && server.id != world.primary)
			replicas.push_back(
				{server.id.c_str(), server.started_ms});
	sync_holders_update(&world.holders, replicas.data(),
			    (uint32_t)replicas.size(), world.now_ms);
}

/* Forgets departed replicas once another one has all that the primary had. */
void poll(world_t &world)
{
	const server_t *primary = find(world, world.primary);

	if (world.now_ms < world.polled_ms + POLL_MS ||
	    !sync_holders_departed(&world.holders) ||
	    !is_present(world, *primary) || !primary->primary ||
	    primary->term != world.term)
		return;
	world.polled_ms = world.now_ms;
	for (const server_t &server : world.servers)
		if (&server != primary && is_present(world, server) &&
		    log_point_covers(end_of(world, server),
				     end_of(world, *primary))) {
			sync_holders_superseded(&world.holders, world.now_ms);
			return;
		}
}

void guard(world_t &world)
{
	const takeover_guarantee_t guarantee = {
		1, sync_holders_departed(&world.holders)};

	takeover_set_guarantee(world.takeover, &guarantee);
}

std::vector<takeover_server_t> list(const world_t &world)
{
	std::vector<takeover_server_t> servers;

	for (const server_t &server : world.servers)
		if (is_present(world, server))
			servers.push_back(
				{server.id.c_str(),
				 world.now_ms < server.draining_until_ms,
				 server.started_ms});
	return servers;
}

void start(world_t &world, takeover_kind_t kind)
{
	const std::vector<takeover_server_t> servers = list(world);

	guard(world);
	takeover_start(world.takeover, world.term, world.primary.c_str(), kind,
		       servers.data(), (uint32_t)servers.size(), world.now_ms);
}

void coordinate(world_t &world)
{
	const server_t *primary = find(world, world.primary);
	const std::vector<takeover_server_t> servers = list(world);

	follow(world);
	if (takeover_phase(world.takeover) != TAKEOVER_IDLE) {
		guard(world);
		takeover_set_servers(world.takeover, servers.data(),
				     (uint32_t)servers.size());
		takeover_step(world.takeover, world.now_ms);
		return;
	}
	poll(world);
	if (is_present(world, *primary) && primary->primary)
		world.heard_ms = world.now_ms;
	if (world.now_ms >= world.heard_ms + LOST_AFTER_MS)
		start(world, TAKEOVER_LOST);
	else if (world.now_ms < primary->draining_until_ms)
		start(world, TAKEOVER_LEAVING);
}

/* A server starts again under its id and knows nothing of before. */
void start_again(world_t &world, server_t &server)
{
	if (server.primary)
		return;
	server.dark_until_ms = world.now_ms + RESTART_MS;
	server.started_ms = world.now_ms;
	server.received = 0;
	server.fence = 0;
}

void trouble(world_t &world)
{
	server_t &server = world.servers[draw(world, SERVERS)];
	const uint64_t until_ms = world.now_ms + 200 + draw(world, 5800);

	switch (draw(world, 6)) {
	case 0:
		server.dark_until_ms = until_ms;
		return;
	case 1:
		server.deaf_until_ms = until_ms;
		return;
	case 2:
		server.draining_until_ms = until_ms;
		return;
	case 3: /* without an entry, but receiving */
		server.absent_until_ms =
			world.now_ms + draw(world, SYNC_HOLDERS_GONE_MS);
		return;
	case 4:
		start_again(world, server);
		return;
	default:
		server.deaf_until_ms = until_ms;
		leader(world)->dark_until_ms = until_ms;
	}
}

void check_remembered(world_t &world)
{
	uint64_t most = 0;

	for (const server_t &server : world.servers)
		most = std::max(most, server.received);
	world.forgot |= most < world.acknowledged;
}

void run(world_t &world, uint64_t for_ms, bool with_trouble)
{
	const uint64_t end_ms = world.now_ms + for_ms;

	while (world.now_ms < end_ms) {
		world.now_ms += STEP_MS;
		if (with_trouble && !draw(world, 60))
			trouble(world);
		if (world.promote_at_ms && world.now_ms >= world.promote_at_ms)
			lead(world);
		serve(world);
		run_operations(world);
		if (world.now_ms % 50 == 0)
			coordinate(world);
		check_remembered(world);
	}
}

void open_world(world_t &world)
{
	const takeover_actions_t actions = {
		on_write,   on_revoke,	on_status, on_fence,
		on_release, on_promote, on_done,   &world,
	};

	for (int i = 0; i < SERVERS; i++) {
		world.servers[i].id = std::string(1, (char)('a' + i));
		world.servers[i].primary = i == 0;
		world.servers[i].started_ms = (uint64_t)i + 1;
	}
	world.takeover = takeover_create(actions);
}

void acknowledged_commits_survive()
{
	world_t world;

	world.random.seed(*rc::gen::resize(
		100, rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
	open_world(world);
	/* The coordinator has seen all servers before the trouble. */
	run(world, 200, false);
	run(world, TROUBLE_MS, true);
	run(world, CALM_MS, false);
	RC_TAG(world.promotions > 0);
	/* Once all servers are back the service is served again. */
	if (!world.forgot) {
		const uint64_t before = world.acknowledged;

		run(world, STEP_MS * 100, false);
		RC_ASSERT(world.acknowledged > before);
	}
	takeover_destroy(world.takeover);
}

} // namespace

int main()
{
	return rc::check("acknowledged commits survive a takeover",
			 acknowledged_commits_survive) ?
		       0 :
		       1;
}

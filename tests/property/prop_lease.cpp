#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "coordination/lease_table.h"
}

namespace
{

const uint64_t SESSIONS = 5;
const uint64_t CONNECTIONS = 4;
const uint64_t IDLE_MS = 100;

/* A server connection knows whose transaction is open on it. */
struct connection_t {
	uint64_t owner = 0; /* session of the open transaction */
	uint64_t runs = 0;  /* session whose request runs */
};

struct session_t {
	uint64_t lease_id = 0;
	uint64_t connection = 0; /* where a request runs, or 0 */
};

struct world_t {
	lease_table_t *table;
	std::map<uint64_t, connection_t> connections;
	std::map<uint64_t, session_t> sessions;
	std::set<uint64_t> old_leases;
	uint64_t now_ms = 0;
};

/* A connection that nobody uses, or 0. */
uint64_t free_connection(const world_t &world)
{
	for (const auto &entry : world.connections)
		if (!entry.second.owner && !entry.second.runs &&
		    !lease_table_of(world.table, entry.first))
			return entry.first;
	return 0;
}

/* A statement runs: it must meet no other session's transaction. */
void run_on(world_t &world, uint64_t id, uint64_t connection_id)
{
	connection_t &connection = world.connections[connection_id];

	RC_ASSERT(connection.runs == 0);
	RC_ASSERT(connection.owner == 0 || connection.owner == id);
	connection.runs = id;
	world.sessions[id].connection = connection_id;
}

void start(world_t &world, uint64_t id)
{
	session_t &session = world.sessions[id];
	uint64_t connection_id = 0;

	if (session.connection)
		return;
	if (!session.lease_id) {
		connection_id = free_connection(world);
		if (connection_id)
			run_on(world, id, connection_id);
		return;
	}
	switch (lease_table_take(world.table, session.lease_id, id,
				 &connection_id)) {
	case LEASE_TAKEN:
		RC_ASSERT(world.connections[connection_id].owner == id);
		run_on(world, id, connection_id);
		return;
	case LEASE_UNKNOWN:
		RC_ASSERT(world.old_leases.count(session.lease_id) == 1);
		session.lease_id = 0;
		return;
	case LEASE_BUSY:
		RC_FAIL("a session that waits cannot be busy");
	}
}

void end_lease(world_t &world, uint64_t lease_id)
{
	if (lease_id && lease_table_end(world.table, lease_id, nullptr))
		world.old_leases.insert(lease_id);
}

/* A request ends inside a transaction, or with it. */
void finish(world_t &world, uint64_t id, bool open)
{
	session_t &session = world.sessions[id];
	const uint64_t connection_id = session.connection;
	uint64_t lease_id;

	if (!connection_id)
		return;
	connection_t &connection = world.connections[connection_id];
	lease_id = lease_table_of(world.table, connection_id);
	session.connection = 0;
	connection.runs = 0;
	connection.owner = open ? id : 0;
	if (!open) {
		end_lease(world, lease_id);
		session.lease_id = 0;
	} else if (lease_id) {
		lease_table_give_back(world.table, lease_id, world.now_ms);
	} else {
		session.lease_id = lease_table_grant(world.table, connection_id,
						     id, world.now_ms);
		RC_ASSERT(world.old_leases.count(session.lease_id) == 0);
	}
}

/* The connection is closed and another one opened in its place. */
void break_connection(world_t &world, uint64_t connection_id)
{
	connection_t &connection = world.connections[connection_id];

	end_lease(world, lease_table_of(world.table, connection_id));
	if (connection.runs)
		world.sessions[connection.runs].connection = 0;
	connection = connection_t();
}

void release(world_t &world, uint64_t id)
{
	session_t &session = world.sessions[id];
	bool busy = false;
	const uint64_t connection_id =
		lease_table_end(world.table, session.lease_id, &busy);

	if (!connection_id)
		return;
	world.old_leases.insert(session.lease_id);
	RC_ASSERT(busy == (session.connection != 0));
	session.connection = 0;
	world.connections[connection_id] = connection_t();
}

void sweep(world_t &world)
{
	uint64_t lease_id;

	world.now_ms += *rc::gen::inRange<uint64_t>(0, 2 * IDLE_MS);
	while ((lease_id =
			lease_table_idle(world.table, world.now_ms, IDLE_MS))) {
		const uint64_t connection_id =
			lease_table_end(world.table, lease_id, nullptr);

		RC_ASSERT(world.connections[connection_id].runs == 0);
		world.old_leases.insert(lease_id);
		world.connections[connection_id] = connection_t();
	}
}

/* Another session's number opens nothing. */
void steal(world_t &world, uint64_t id)
{
	uint64_t connection_id = 0;

	for (const auto &entry : world.sessions)
		if (entry.first != id && entry.second.lease_id)
			RC_ASSERT(lease_table_take(
					  world.table, entry.second.lease_id,
					  id, &connection_id) == LEASE_UNKNOWN);
}

void step(world_t &world)
{
	const uint64_t id = *rc::gen::inRange<uint64_t>(1, SESSIONS + 1);

	switch (*rc::gen::inRange(0, 10)) {
	case 0:
	case 1:
	case 2:
		start(world, id);
		return;
	case 3:
	case 4:
		finish(world, id, true);
		return;
	case 5:
		finish(world, id, false);
		return;
	case 6:
		break_connection(
			world, *rc::gen::inRange<uint64_t>(1, CONNECTIONS + 1));
		return;
	case 7:
		release(world, id);
		return;
	case 8:
		sweep(world);
		return;
	default:
		steal(world, id);
	}
}

void transactions_never_mix()
{
	world_t world;
	const int steps = *rc::gen::inRange(1, 300);

	world.table = lease_table_create(*rc::gen::arbitrary<uint64_t>());
	for (uint64_t i = 1; i <= CONNECTIONS; i++)
		world.connections[i] = connection_t();
	for (uint64_t i = 1; i <= SESSIONS; i++)
		world.sessions[i] = session_t();
	for (int i = 0; i < steps; i++)
		step(world);
	RC_ASSERT(lease_table_count(world.table) <= CONNECTIONS);
	lease_table_destroy(world.table);
}

} // namespace

int main()
{
	return rc::check("transactions never mix", transactions_never_mix) ? 0 :
									     1;
}

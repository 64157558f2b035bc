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

/* A server connection and the sessions that use it. */
struct connection_t {
	uint64_t owner = 0; /* session of the open transaction, or 0 */
	uint64_t runs = 0;  /* session whose request is running, or 0 */
};

struct session_t {
	uint64_t lease_id = 0;
	uint64_t connection = 0; /* connection of the running request, or 0 */
};

struct model_t {
	lease_table_t *table;
	std::map<uint64_t, connection_t> connections;
	std::map<uint64_t, session_t> sessions;
	std::set<uint64_t> old_leases;
	uint64_t now_ms = 0;
};

/* Returns an unused connection, or 0. */
uint64_t free_connection(const model_t &model)
{
	for (const auto &entry : model.connections)
		if (!entry.second.owner && !entry.second.runs &&
		    !lease_table_for_connection(model.table, entry.first))
			return entry.first;
	return 0;
}

/* Runs a statement; the connection must have no other open transaction. */
void run_on(model_t &model, uint64_t id, uint64_t connection_id)
{
	connection_t &connection = model.connections[connection_id];

	RC_ASSERT(connection.runs == 0);
	RC_ASSERT(connection.owner == 0 || connection.owner == id);
	connection.runs = id;
	model.sessions[id].connection = connection_id;
}

void start(model_t &model, uint64_t id)
{
	session_t &session = model.sessions[id];
	uint64_t connection_id = 0;

	if (session.connection)
		return;
	if (!session.lease_id) {
		connection_id = free_connection(model);
		if (connection_id)
			run_on(model, id, connection_id);
		return;
	}
	switch (lease_table_acquire(model.table, session.lease_id, id,
				    &connection_id)) {
	case LEASE_ACQUIRED:
		RC_ASSERT(model.connections[connection_id].owner == id);
		run_on(model, id, connection_id);
		return;
	case LEASE_UNKNOWN:
		RC_ASSERT(model.old_leases.count(session.lease_id) == 1);
		session.lease_id = 0;
		return;
	case LEASE_BUSY:
		RC_FAIL("lease of an idle session is busy");
	}
}

void end_lease(model_t &model, uint64_t lease_id)
{
	if (lease_id && lease_table_end(model.table, lease_id, nullptr))
		model.old_leases.insert(lease_id);
}

/* Ends a request; @p open if its transaction stays open. */
void finish(model_t &model, uint64_t id, bool open)
{
	session_t &session = model.sessions[id];
	const uint64_t connection_id = session.connection;
	uint64_t lease_id;

	if (!connection_id)
		return;
	connection_t &connection = model.connections[connection_id];
	lease_id = lease_table_for_connection(model.table, connection_id);
	session.connection = 0;
	connection.runs = 0;
	connection.owner = open ? id : 0;
	if (!open) {
		end_lease(model, lease_id);
		session.lease_id = 0;
	} else if (lease_id) {
		lease_table_release(model.table, lease_id, model.now_ms);
	} else {
		session.lease_id = lease_table_grant(model.table, connection_id,
						     id, model.now_ms);
		RC_ASSERT(model.old_leases.count(session.lease_id) == 0);
	}
}

/* Closes a connection and opens another one in its place. */
void break_connection(model_t &model, uint64_t connection_id)
{
	connection_t &connection = model.connections[connection_id];

	end_lease(model,
		  lease_table_for_connection(model.table, connection_id));
	if (connection.runs)
		model.sessions[connection.runs].connection = 0;
	connection = connection_t();
}

void release(model_t &model, uint64_t id)
{
	session_t &session = model.sessions[id];
	bool busy = false;
	const uint64_t connection_id =
		lease_table_end(model.table, session.lease_id, &busy);

	if (!connection_id)
		return;
	model.old_leases.insert(session.lease_id);
	RC_ASSERT(busy == (session.connection != 0));
	session.connection = 0;
	model.connections[connection_id] = connection_t();
}

/* Ends the leases that have been idle for IDLE_MS. */
void end_idle_leases(model_t &model)
{
	uint64_t lease_id;

	model.now_ms += *rc::gen::inRange<uint64_t>(0, 2 * IDLE_MS);
	while ((lease_id = lease_table_find_idle(model.table, model.now_ms,
						 IDLE_MS))) {
		const uint64_t connection_id =
			lease_table_end(model.table, lease_id, nullptr);

		RC_ASSERT(model.connections[connection_id].runs == 0);
		model.old_leases.insert(lease_id);
		model.connections[connection_id] = connection_t();
	}
}

/* A session must not get a connection by another session's lease id. */
void try_other_leases(model_t &model, uint64_t id)
{
	uint64_t connection_id = 0;

	for (const auto &entry : model.sessions)
		if (entry.first != id && entry.second.lease_id)
			RC_ASSERT(lease_table_acquire(
					  model.table, entry.second.lease_id,
					  id, &connection_id) == LEASE_UNKNOWN);
}

void step(model_t &model)
{
	const uint64_t id = *rc::gen::inRange<uint64_t>(1, SESSIONS + 1);

	switch (*rc::gen::inRange(0, 10)) {
	case 0:
	case 1:
	case 2:
		start(model, id);
		return;
	case 3:
	case 4:
		finish(model, id, true);
		return;
	case 5:
		finish(model, id, false);
		return;
	case 6:
		break_connection(
			model, *rc::gen::inRange<uint64_t>(1, CONNECTIONS + 1));
		return;
	case 7:
		release(model, id);
		return;
	case 8:
		end_idle_leases(model);
		return;
	default:
		try_other_leases(model, id);
	}
}

void transactions_never_mix()
{
	model_t model;
	const int steps = *rc::gen::inRange(1, 300);

	model.table = lease_table_create(*rc::gen::arbitrary<uint64_t>());
	for (uint64_t i = 1; i <= CONNECTIONS; i++)
		model.connections[i] = connection_t();
	for (uint64_t i = 1; i <= SESSIONS; i++)
		model.sessions[i] = session_t();
	for (int i = 0; i < steps; i++)
		step(model);
	RC_ASSERT(lease_table_count(model.table) <= CONNECTIONS);
	lease_table_destroy(model.table);
}

} // namespace

int main()
{
	return rc::check("transactions never mix", transactions_never_mix) ? 0 :
									     1;
}

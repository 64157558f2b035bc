#include "coordination/lease_table.h"

#include <glib.h>

typedef struct {
	uint64_t lease_id;
	uint64_t connection_id;
	uint64_t session_id;
	uint64_t idle_since_ms; /* since when the lease is idle */
	bool busy;		/* a request is running */
} lease_t;

struct lease_table {
	GHashTable *leases;	 /* lease id -> lease_t */
	GHashTable *connections; /* connection id -> lease_t, not owned */
	uint64_t next_id;
};

lease_table_t *lease_table_create(uint64_t first_id)
{
	lease_table_t *table = g_new0(lease_table_t, 1);

	table->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	table->connections = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->next_id = first_id;
	return table;
}

void lease_table_destroy(lease_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->connections);
	g_hash_table_destroy(table->leases);
	g_free(table);
}

uint64_t lease_table_grant(lease_table_t *table, uint64_t connection_id,
			   uint64_t session_id, uint64_t now_ms)
{
	lease_t *lease = g_new0(lease_t, 1);

	g_assert(!lease_table_for_connection(table, connection_id));
	/* The id 0 means no lease. */
	if (!table->next_id)
		table->next_id++;
	lease->lease_id = table->next_id++;
	lease->connection_id = connection_id;
	lease->session_id = session_id;
	lease->idle_since_ms = now_ms;
	g_hash_table_insert(table->leases, &lease->lease_id, lease);
	g_hash_table_insert(table->connections, &lease->connection_id, lease);
	return lease->lease_id;
}

lease_result_t lease_table_acquire(lease_table_t *table, uint64_t lease_id,
				   uint64_t session_id, uint64_t *connection_id)
{
	lease_t *lease = g_hash_table_lookup(table->leases, &lease_id);

	if (!lease || lease->session_id != session_id)
		return LEASE_UNKNOWN;
	if (lease->busy)
		return LEASE_BUSY;
	lease->busy = true;
	*connection_id = lease->connection_id;
	return LEASE_ACQUIRED;
}

void lease_table_release(lease_table_t *table, uint64_t lease_id,
			 uint64_t now_ms)
{
	lease_t *lease = g_hash_table_lookup(table->leases, &lease_id);

	g_assert(lease && lease->busy);
	lease->busy = false;
	lease->idle_since_ms = now_ms;
}

uint64_t lease_table_end(lease_table_t *table, uint64_t lease_id, bool *busy)
{
	lease_t *lease = g_hash_table_lookup(table->leases, &lease_id);
	uint64_t connection_id;

	if (!lease)
		return 0;
	connection_id = lease->connection_id;
	if (busy)
		*busy = lease->busy;
	g_hash_table_remove(table->connections, &lease->connection_id);
	g_hash_table_remove(table->leases, &lease_id);
	return connection_id;
}

uint64_t lease_table_for_connection(const lease_table_t *table,
				    uint64_t connection_id)
{
	const lease_t *lease =
		g_hash_table_lookup(table->connections, &connection_id);

	return lease ? lease->lease_id : 0;
}

uint64_t lease_table_find_idle(const lease_table_t *table, uint64_t now_ms,
			       uint64_t idle_ms)
{
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, table->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const lease_t *lease = value;

		if (!lease->busy && now_ms - lease->idle_since_ms >= idle_ms)
			return lease->lease_id;
	}
	return 0;
}

uint32_t lease_table_count(const lease_table_t *table)
{
	return g_hash_table_size(table->leases);
}

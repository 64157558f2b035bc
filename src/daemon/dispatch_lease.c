#include "daemon/dispatch_private.h"

void dispatch_lease_free(gpointer data)
{
	dispatch_lease_t *lease = data;

	g_free(lease->node);
	g_free(lease->server);
	g_free(lease);
}

uint64_t dispatch_lease_add(dispatch_entry_t *entry, uint64_t lease_id)
{
	dispatch_task_t *dispatch = entry->dispatch;
	dispatch_lease_t *lease = g_new0(dispatch_lease_t, 1);
	uint64_t *id = g_new(uint64_t, 1);

	lease->node = g_strdup(entry->node);
	lease->server = g_strdup(entry->server);
	lease->lease_id = lease_id;
	*id = ++dispatch->next_lease_id;
	g_hash_table_insert(dispatch->leases, id, lease);
	return *id;
}

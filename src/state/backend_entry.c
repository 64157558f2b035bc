#include "state/backend_entry.h"

void backend_entry_delete(backend_entry_t *entry)
{
	if (!entry)
		return;
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->endpoint.address);
	g_free(entry->failure_domain);
	g_free(entry);
}

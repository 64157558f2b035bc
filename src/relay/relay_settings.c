#include "relay/relay_settings.h"

void relay_settings_delete(relay_settings_t *settings)
{
	if (!settings)
		return;
	g_free(settings->node);
	g_free(settings->failure_domain);
	if (settings->regions)
		g_hash_table_destroy(settings->regions);
	g_free(settings->callers.address);
	g_free(settings->readiness.address);
	g_free(settings->metrics.address);
	g_free(settings->forwarding.address);
	g_free(settings->store.address);
	g_free(settings->control.address);
	g_free(settings);
}

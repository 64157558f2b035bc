#include "state/config.h"

#include <string.h>

#include <glib.h>

bool config_find_database(const config_t *config, const char *name,
			  config_lookup_t *lookup)
{
	for (uint32_t s = 0; s < config->services_count; s++) {
		const config_service_t *service = &config->services[s];

		for (uint32_t d = 0; d < service->databases_count; d++) {
			if (strcmp(service->databases[d].name, name))
				continue;
			lookup->service = service;
			lookup->database = &service->databases[d];
			return true;
		}
	}
	return false;
}

const config_server_t *config_find_server(const config_database_t *database,
					  const char *name)
{
	for (uint32_t i = 0; i < database->servers_count; i++)
		if (!strcmp(database->servers[i].name, name))
			return &database->servers[i];
	return NULL;
}

static void database_clear(config_database_t *database)
{
	for (uint32_t i = 0; i < database->servers_count; i++) {
		g_free(database->servers[i].name);
		g_free(database->servers[i].failure_domain);
		g_free(database->servers[i].address);
	}
	g_free(database->servers);
	g_free(database->first_primary);
	g_free(database->name);
}

static void service_clear(config_service_t *service)
{
	for (uint32_t i = 0; i < service->databases_count; i++)
		database_clear(&service->databases[i]);
	for (uint32_t i = 0; i < service->classes_count; i++)
		g_free(service->classes[i].name);
	for (uint32_t i = 0; i < service->callers_count; i++) {
		g_free(service->callers[i].name);
		g_free(service->callers[i].class_name);
		g_free(service->callers[i].verifier);
	}
	g_free(service->databases);
	g_free(service->classes);
	g_free(service->callers);
	g_free(service->backend_user);
	g_free(service->name);
}

void config_delete(config_t *config)
{
	if (!config)
		return;
	for (uint32_t i = 0; i < config->services_count; i++)
		service_clear(&config->services[i]);
	for (uint32_t i = 0; i < config->changes_count; i++)
		g_free(config->changes[i].change_id);
	for (uint32_t i = 0; i < config->failure_domains_count; i++) {
		g_free(config->failure_domains[i].name);
		g_free(config->failure_domains[i].region);
	}
	g_free(config->changes);
	g_free(config->failure_domains);
	g_free(config->services);
	g_free(config->change_id);
	g_free(config->site);
	g_free(config);
}

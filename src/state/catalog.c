#include "state/catalog.h"

static void database_free(gpointer data)
{
	catalog_database_t *database = data;

	g_free(database->name);
	g_free(database->service);
	g_free(database);
}

static void service_free(gpointer data)
{
	catalog_service_t *service = data;

	g_free(service->name);
	g_free(service);
}

catalog_t *catalog_new(void)
{
	catalog_t *catalog = g_new0(catalog_t, 1);

	catalog->references = 1;
	catalog->databases = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, database_free);
	catalog->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  service_free);
	return catalog;
}

catalog_t *catalog_ref(catalog_t *catalog)
{
	catalog->references++;
	return catalog;
}

void catalog_unref(catalog_t *catalog)
{
	if (!catalog || --catalog->references)
		return;
	g_hash_table_destroy(catalog->databases);
	g_hash_table_destroy(catalog->services);
	g_free(catalog);
}

void catalog_add_database(catalog_t *catalog, catalog_database_t *database)
{
	g_hash_table_insert(catalog->databases, database->name, database);
}

void catalog_add_service(catalog_t *catalog, catalog_service_t *service)
{
	g_hash_table_insert(catalog->services, service->name, service);
}

const catalog_database_t *catalog_database(const catalog_t *catalog,
					   const char *name)
{
	return g_hash_table_lookup(catalog->databases, name);
}

const catalog_service_t *catalog_service(const catalog_t *catalog,
					 const char *name)
{
	return g_hash_table_lookup(catalog->services, name);
}

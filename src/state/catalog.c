#include "state/catalog.h"

#include <string.h>

#include <sodium.h>

#include "state/customer_index.h"

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

static void free_key(gpointer key)
{
	sodium_memzero(key, strlen(key));
	g_free(key);
}

catalog_customer_t *catalog_customer_new(const char *name)
{
	catalog_customer_t *customer = g_new0(catalog_customer_t, 1);

	customer->name = g_strdup(name);
	customer->keys = g_ptr_array_new_with_free_func(free_key);
	return customer;
}

void catalog_customer_delete(catalog_customer_t *customer)
{
	if (!customer)
		return;
	g_ptr_array_unref(customer->keys);
	g_free(customer->name);
	g_free(customer);
}

static void customer_free(gpointer data)
{
	catalog_customer_delete(data);
}

catalog_t *catalog_new(void)
{
	catalog_t *catalog = g_new0(catalog_t, 1);

	catalog->references = 1;
	catalog->databases = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, database_free);
	catalog->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  service_free);
	catalog->customers = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, customer_free);
	catalog->keys = customer_index_create();
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
	customer_index_destroy(catalog->keys);
	g_hash_table_destroy(catalog->customers);
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

void catalog_add_customer(catalog_t *catalog, catalog_customer_t *customer)
{
	g_hash_table_insert(catalog->customers, customer->name, customer);
	customer_index_add(catalog->keys, customer);
}

const catalog_customer_t *catalog_customer(const catalog_t *catalog,
					   const char *name)
{
	return g_hash_table_lookup(catalog->customers, name);
}

bool catalog_has_quotas(const catalog_t *catalog)
{
	GHashTableIter iter;
	gpointer customer;

	g_hash_table_iter_init(&iter, catalog->customers);
	while (g_hash_table_iter_next(&iter, NULL, &customer))
		if (((const catalog_customer_t *)customer)->has_quota)
			return true;
	return false;
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

#include "standin/site/store_data.h"

#include <string.h>

#define FIRST_REVISION 10

static void item_free(gpointer data)
{
	store_item_t *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void change_free(gpointer data)
{
	store_change_t *change = data;

	g_free(change->key);
	g_free(change->value);
	g_free(change);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

store_data_t *store_data_create(void)
{
	store_data_t *data = g_new0(store_data_t, 1);

	data->revision = FIRST_REVISION;
	data->items = g_tree_new_full(compare_keys, NULL, NULL, item_free);
	data->changes = g_ptr_array_new_with_free_func(change_free);
	data->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	return data;
}

void store_data_destroy(store_data_t *data)
{
	if (!data)
		return;
	g_tree_unref(data->items);
	g_ptr_array_unref(data->changes);
	g_hash_table_unref(data->leases);
	g_free(data);
}

static gboolean copy_item(gpointer key, gpointer value, gpointer context)
{
	store_item_t *copy = g_memdup2(value, sizeof(store_item_t));

	copy->key = g_strdup(copy->key);
	copy->value = g_strdup(copy->value);
	g_tree_insert(context, copy->key, copy);
	return FALSE;
}

static gpointer copy_change(gconstpointer change, gpointer context)
{
	store_change_t *copy = g_memdup2(change, sizeof(store_change_t));

	copy->key = g_strdup(copy->key);
	copy->value = g_strdup(copy->value);
	return copy;
}

store_data_t *store_data_copy(const store_data_t *data)
{
	store_data_t *copy = store_data_create();
	GHashTableIter iter;
	gpointer id;
	gpointer lease;

	copy->compacted = data->compacted;
	copy->revision = data->revision;
	copy->last_lease_id = data->last_lease_id;
	g_tree_foreach(data->items, copy_item, copy->items);
	g_ptr_array_unref(copy->changes);
	copy->changes = g_ptr_array_copy(data->changes, copy_change, NULL);
	g_ptr_array_set_free_func(copy->changes, change_free);
	g_hash_table_iter_init(&iter, data->leases);
	while (g_hash_table_iter_next(&iter, &id, &lease))
		g_hash_table_insert(copy->leases,
				    g_memdup2(id, sizeof(int64_t)),
				    g_memdup2(lease, sizeof(store_lease_t)));
	return copy;
}

static void add_change(store_data_t *data, const char *key, const char *value,
		       int64_t lease)
{
	store_change_t *change = g_new0(store_change_t, 1);

	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->revision = data->revision;
	change->lease = lease;
	g_ptr_array_add(data->changes, change);
}

void store_data_set(store_data_t *data, const char *key, const char *value,
		    int64_t lease)
{
	store_item_t *item = g_tree_lookup(data->items, key);

	if (!item) {
		item = g_new0(store_item_t, 1);
		item->key = g_strdup(key);
		item->created = data->revision;
		g_tree_insert(data->items, item->key, item);
	}
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = data->revision;
	item->lease = lease;
	add_change(data, key, value, lease);
}

void store_data_drop(store_data_t *data, const char *key)
{
	if (!g_tree_lookup(data->items, key))
		return;
	add_change(data, key, NULL, 0);
	g_tree_remove(data->items, key);
}

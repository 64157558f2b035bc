#include "coordination/lease_keys.h"

struct lease_keys {
	uint64_t started_ms;
	bool listed;
	GHashTable *written;  /* keys that this run wrote */
	GPtrArray *earlier;   /* keys of earlier runs */
	GPtrArray *forgotten; /* keys of this run without proofs */
};

lease_keys_t *lease_keys_create(uint64_t started_ms)
{
	lease_keys_t *keys = g_new0(lease_keys_t, 1);

	keys->started_ms = started_ms;
	keys->written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	keys->earlier = g_ptr_array_new_with_free_func(g_free);
	keys->forgotten = g_ptr_array_new_with_free_func(g_free);
	return keys;
}

void lease_keys_destroy(lease_keys_t *keys)
{
	if (!keys)
		return;
	g_hash_table_destroy(keys->written);
	g_ptr_array_unref(keys->earlier);
	g_ptr_array_unref(keys->forgotten);
	g_free(keys);
}

static bool find(GPtrArray *list, const char *key, guint *index)
{
	return g_ptr_array_find_with_equal_func(list, key, g_str_equal, index);
}

static void add(GPtrArray *list, const char *key)
{
	if (!find(list, key, NULL))
		g_ptr_array_add(list, g_strdup(key));
}

void lease_keys_written(lease_keys_t *keys, const char *key)
{
	g_hash_table_add(keys->written, g_strdup(key));
}

void lease_keys_forgotten(lease_keys_t *keys, const char *key)
{
	add(keys->forgotten, key);
}

void lease_keys_found(lease_keys_t *keys, const char *key)
{
	if (!g_hash_table_contains(keys->written, key))
		add(keys->earlier, key);
}

void lease_keys_listed(lease_keys_t *keys)
{
	keys->listed = true;
}

bool lease_keys_is_listed(const lease_keys_t *keys)
{
	return keys->listed;
}

uint32_t lease_keys_settle_ms(const lease_keys_t *keys, uint64_t now_ms)
{
	const uint64_t end_ms = keys->started_ms + LEASE_KEYS_EARLIER_MS;

	if (!keys->listed || !keys->earlier->len || now_ms >= end_ms)
		return 0;
	return (uint32_t)(end_ms - now_ms);
}

bool lease_keys_is_settled(const lease_keys_t *keys, uint64_t now_ms)
{
	return keys->listed && !lease_keys_settle_ms(keys, now_ms);
}

static void append(GPtrArray *removable, const GPtrArray *list)
{
	for (guint i = 0;
	     i < list->len && removable->len < LEASE_KEYS_REMOVALS_MAX; i++)
		g_ptr_array_add(removable, g_strdup(list->pdata[i]));
}

GPtrArray *lease_keys_removable(const lease_keys_t *keys, uint64_t now_ms)
{
	GPtrArray *removable = g_ptr_array_new_with_free_func(g_free);

	append(removable, keys->forgotten);
	if (lease_keys_is_settled(keys, now_ms))
		append(removable, keys->earlier);
	return removable;
}

static void discard(GPtrArray *list, const char *key)
{
	guint index;

	if (find(list, key, &index))
		g_ptr_array_remove_index(list, index);
}

void lease_keys_removed(lease_keys_t *keys, const GPtrArray *removed)
{
	for (guint i = 0; i < removed->len; i++) {
		discard(keys->earlier, removed->pdata[i]);
		discard(keys->forgotten, removed->pdata[i]);
	}
}

#include "protocol/statement_cache.h"

#include <string.h>

typedef struct {
	char *sql;
	statement_t *statement;
	GList link; /* node in the cache's order */
} entry_t;

struct statement_cache {
	GHashTable *entries; /* text -> entry_t */
	GQueue order;	     /* entry_t, most recently used first */
	uint32_t limit;	     /* maximum number of entries */
};

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->sql);
	statement_unref(entry->statement);
	g_free(entry);
}

statement_cache_t *statement_cache_create(uint32_t limit)
{
	statement_cache_t *cache = g_new0(statement_cache_t, 1);

	cache->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       entry_free);
	cache->limit = MAX(limit, 1);
	return cache;
}

void statement_cache_destroy(statement_cache_t *cache)
{
	if (!cache)
		return;
	g_hash_table_destroy(cache->entries);
	g_free(cache);
}

static void evict_oldest(statement_cache_t *cache)
{
	GList *link = g_queue_pop_tail_link(&cache->order);
	entry_t *entry = link->data;

	g_hash_table_remove(cache->entries, entry->sql);
}

static entry_t *add(statement_cache_t *cache, const char *sql)
{
	entry_t *entry = g_new0(entry_t, 1);

	if (g_hash_table_size(cache->entries) >= cache->limit)
		evict_oldest(cache);
	entry->sql = g_strdup(sql);
	entry->statement = statement_parse(sql);
	entry->link.data = entry;
	g_queue_push_head_link(&cache->order, &entry->link);
	g_hash_table_insert(cache->entries, entry->sql, entry);
	return entry;
}

statement_t *statement_cache_parse(statement_cache_t *cache, const char *sql)
{
	entry_t *entry = g_hash_table_lookup(cache->entries, sql);

	if (!entry && strlen(sql) > STATEMENT_CACHE_TEXT_SIZE_BYTES_MAX)
		return statement_parse(sql);
	if (!entry) {
		entry = add(cache, sql);
	} else {
		g_queue_unlink(&cache->order, &entry->link);
		g_queue_push_head_link(&cache->order, &entry->link);
	}
	return statement_ref(entry->statement);
}

uint32_t statement_cache_count(const statement_cache_t *cache)
{
	return g_hash_table_size(cache->entries);
}

#include "standin/platform/kv.h"

#include <string.h>

static void entry_delete(void *data)
{
	kv_entry_t *entry = data;

	g_bytes_unref(entry->value);
	g_free(entry->session_id);
	g_free(entry);
}

void kv_open(kv_t *kv)
{
	*kv = (kv_t){.index = 1};
	kv->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    entry_delete);
	kv->sessions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void kv_close(kv_t *kv)
{
	g_hash_table_unref(kv->entries);
	g_hash_table_unref(kv->sessions);
}

void kv_copy(const kv_t *kv, kv_t *copy)
{
	GHashTableIter iterator;
	void *name;
	void *data;

	kv_open(copy);
	copy->index = kv->index;
	copy->last_session_number = kv->last_session_number;
	g_hash_table_iter_init(&iterator, kv->entries);
	while (g_hash_table_iter_next(&iterator, &name, &data)) {
		kv_entry_t *entry = g_memdup2(data, sizeof(kv_entry_t));

		g_bytes_ref(entry->value);
		entry->session_id = g_strdup(entry->session_id);
		g_hash_table_insert(copy->entries, g_strdup(name), entry);
	}
	g_hash_table_iter_init(&iterator, kv->sessions);
	while (g_hash_table_iter_next(&iterator, &name, &data))
		g_hash_table_insert(copy->sessions, g_strdup(name),
				    g_memdup2(data, sizeof(kv_session_t)));
}

const kv_entry_t *kv_get(const kv_t *kv, const char *key)
{
	return g_hash_table_lookup(kv->entries, key);
}

static bool conditions_hold(const kv_t *kv, const kv_entry_t *entry,
			    const kv_condition_t *condition)
{
	const char *holder = entry ? entry->session_id : NULL;

	if (condition->has_cas && condition->cas != (entry ? entry->index : 0))
		return false;
	if (condition->acquire) {
		if (!g_hash_table_contains(kv->sessions, condition->acquire))
			return false;
		return !holder || !strcmp(holder, condition->acquire);
	}
	if (condition->release)
		return holder && !strcmp(holder, condition->release);
	return true;
}

bool kv_put(kv_t *kv, const char *key, GBytes *value,
	    const kv_condition_t *condition)
{
	kv_entry_t *entry = g_hash_table_lookup(kv->entries, key);

	if (!conditions_hold(kv, entry, condition))
		return false;
	if (!entry) {
		entry = g_new0(kv_entry_t, 1);
		g_hash_table_insert(kv->entries, g_strdup(key), entry);
	}
	if (entry->value)
		g_bytes_unref(entry->value);
	entry->value = g_bytes_ref(value);
	entry->index = ++kv->index;
	if (condition->acquire || condition->release) {
		g_free(entry->session_id);
		entry->session_id = g_strdup(condition->acquire);
	}
	return true;
}

void kv_remove(kv_t *kv, const char *key)
{
	if (g_hash_table_remove(kv->entries, key))
		kv->index++;
}

char *kv_session_create(kv_t *kv, uint64_t ttl_ms, uint64_t now_ms)
{
	kv_session_t *session = g_new0(kv_session_t, 1);
	char *id = g_strdup_printf("session-%" G_GUINT64_FORMAT,
				   ++kv->last_session_number);

	session->ttl_ms = ttl_ms;
	session->expires_ms = now_ms + ttl_ms;
	g_hash_table_insert(kv->sessions, g_strdup(id), session);
	return id;
}

bool kv_session_renew(kv_t *kv, const char *id, uint64_t now_ms)
{
	kv_session_t *session = g_hash_table_lookup(kv->sessions, id);

	if (!session)
		return false;
	session->expires_ms = now_ms + session->ttl_ms;
	return true;
}

void kv_session_destroy(kv_t *kv, const char *id)
{
	GHashTableIter iterator;
	void *data;

	g_hash_table_iter_init(&iterator, kv->entries);
	while (g_hash_table_iter_next(&iterator, NULL, &data)) {
		kv_entry_t *entry = data;

		if (g_strcmp0(entry->session_id, id))
			continue;
		g_clear_pointer(&entry->session_id, g_free);
		entry->index = ++kv->index;
	}
	g_hash_table_remove(kv->sessions, id);
}

bool kv_expire(kv_t *kv, uint64_t now_ms)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iterator;
	void *id;
	void *data;

	g_hash_table_iter_init(&iterator, kv->sessions);
	while (g_hash_table_iter_next(&iterator, &id, &data)) {
		const kv_session_t *session = data;

		if (session->ttl_ms && session->expires_ms <= now_ms)
			g_ptr_array_add(expired, g_strdup(id));
	}
	for (guint i = 0; i < expired->len; i++)
		kv_session_destroy(kv, expired->pdata[i]);
	return expired->len > 0;
}

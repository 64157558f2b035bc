#include "standin/backend/engine.h"

#include <string.h>

static void table_free(void *table)
{
	g_hash_table_unref(table);
}

static void engine_reset_tables(engine_t *engine)
{
	g_hash_table_remove_all(engine->tables);
	g_hash_table_insert(
		engine->tables, g_strdup("toucanhook_requests"),
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free));
	engine->replayed_position = 0;
}

static void engine_apply(engine_t *engine, const change_t *change)
{
	GHashTable *rows = engine_table(engine, change->table);

	if (change->kind == CHANGE_CREATE) {
		if (!rows)
			g_hash_table_insert(
				engine->tables, g_strdup(change->table),
				g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free));
		return;
	}
	if (!rows)
		return;
	if (change->kind == CHANGE_PUT)
		g_hash_table_replace(rows, g_strdup(change->key),
				     g_strdup(change->value));
	else
		g_hash_table_remove(rows, change->key);
}

static void engine_apply_to(engine_t *engine, uint64_t position)
{
	while (engine->replayed_position < position) {
		const record_t *record = journal_at(
			&engine->journal, engine->replayed_position + 1);

		for (guint i = 0; i < record->changes->len; i++)
			engine_apply(engine, record->changes->pdata[i]);
		engine->replayed_position++;
	}
}

static void engine_start_term(engine_t *engine, uint64_t now_ms)
{
	GPtrArray *none = g_ptr_array_new_with_free_func(change_delete);

	engine_commit(engine, none, now_ms);
}

void engine_open(engine_t *engine, const char *name, bool primary,
		 uint64_t term, uint64_t now_ms)
{
	*engine = (engine_t){
		.name = g_strdup(name),
		.primary = primary,
		.term = term,
		.fence = term,
		.upstream_contact_ms = now_ms,
	};
	journal_open(&engine->journal);
	engine->tables = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       table_free);
	engine->locks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	engine_reset_tables(engine);
	if (primary)
		engine_start_term(engine, now_ms);
}

void engine_close(engine_t *engine)
{
	journal_close(&engine->journal);
	g_hash_table_unref(engine->tables);
	g_hash_table_unref(engine->locks);
	g_free(engine->name);
}

bool engine_fence(engine_t *engine, uint64_t term)
{
	if (engine->fence >= term)
		return false;
	engine->fence = term;
	return true;
}

bool engine_promote(engine_t *engine, uint64_t term, uint64_t now_ms)
{
	if (engine->fence != term)
		return false;
	if (engine->primary && engine->term == term)
		return true;
	engine->primary = true;
	engine->term = term;
	engine_apply_to(engine, engine->journal.records->len);
	engine_start_term(engine, now_ms);
	return true;
}

bool engine_follow(engine_t *engine, uint64_t term)
{
	if (engine->fence > term)
		return false;
	if (engine->primary && engine->term == term)
		return false;
	engine->primary = false;
	engine->fence = term;
	engine->term = term;
	return true;
}

bool engine_writable(const engine_t *engine)
{
	return engine->primary && engine->fence <= engine->term;
}

bool engine_is_primary_in(const engine_t *engine, uint64_t term)
{
	return engine_writable(engine) && engine->term == term;
}

bool engine_accepts_records(const engine_t *engine, uint64_t term)
{
	return !engine->primary && engine->term == term &&
	       engine->fence <= term;
}

log_point_t engine_commit(engine_t *engine, GPtrArray *changes, uint64_t now_ms)
{
	log_point_t point;

	point = journal_append(&engine->journal,
			       record_new(engine->term, now_ms, changes));
	engine_apply_to(engine, point.position);
	return point;
}

void engine_receive(engine_t *engine, record_t *record)
{
	journal_append(&engine->journal, record);
}

void engine_truncate(engine_t *engine, uint64_t position)
{
	journal_truncate(&engine->journal, position);
	if (engine->replayed_position <= position)
		return;
	engine_reset_tables(engine);
	engine_apply_to(engine, position);
}

uint64_t engine_replay(engine_t *engine, uint64_t now_ms)
{
	const record_t *next;

	while ((next = journal_at(&engine->journal,
				  engine->replayed_position + 1))) {
		uint64_t due_ms = next->arrived_ms + engine->replay_lag_ms;

		if (due_ms > now_ms)
			return due_ms - now_ms;
		engine_apply_to(engine, engine->replayed_position + 1);
	}
	return UINT64_MAX;
}

GHashTable *engine_table(const engine_t *engine, const char *table)
{
	return g_hash_table_lookup(engine->tables, table ?: "");
}

log_point_t engine_replay_point(const engine_t *engine)
{
	const record_t *last =
		journal_at(&engine->journal, engine->replayed_position);

	if (!last)
		return (log_point_t){0, 0};
	return (log_point_t){last->term, engine->replayed_position};
}

uint64_t engine_upstream_age_ms(const engine_t *engine, uint64_t now_ms)
{
	return engine->primary ? 0 : now_ms - engine->upstream_contact_ms;
}

bool engine_lock(engine_t *engine, const char *table, const char *key,
		 const void *owner)
{
	g_autofree char *name = g_strdup_printf("%s\n%s", table, key);
	const void *holder = g_hash_table_lookup(engine->locks, name);

	if (holder)
		return holder == owner;
	g_hash_table_insert(engine->locks, g_steal_pointer(&name),
			    (void *)(uintptr_t)owner);
	return true;
}

static gboolean is_owner(gpointer key, gpointer value, gpointer owner)
{
	return value == owner;
}

void engine_unlock(engine_t *engine, const void *owner)
{
	g_hash_table_foreach_remove(engine->locks, is_owner,
				    (void *)(uintptr_t)owner);
}

#include "protocol/prepared.h"

struct prepared_table {
	GHashTable *statements; /* name -> prepared_t */
	size_t size_bytes;	/* total size of the tails */
};

prepared_t *prepared_new(const uint8_t *tail, size_t tail_size_bytes,
			 statement_t *statement)
{
	prepared_t *prepared = g_rc_box_new0(prepared_t);

	prepared->tail = g_bytes_new(tail, tail_size_bytes);
	prepared->statement = statement;
	return prepared;
}

prepared_t *prepared_ref(prepared_t *prepared)
{
	return g_rc_box_acquire(prepared);
}

static void prepared_clear(gpointer data)
{
	prepared_t *prepared = data;

	g_bytes_unref(prepared->tail);
	statement_unref(prepared->statement);
}

void prepared_unref(void *prepared)
{
	g_rc_box_release_full(prepared, prepared_clear);
}

prepared_table_t *prepared_table_create(void)
{
	prepared_table_t *table = g_new0(prepared_table_t, 1);

	table->statements = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, prepared_unref);
	return table;
}

void prepared_table_destroy(prepared_table_t *table)
{
	g_hash_table_destroy(table->statements);
	g_free(table);
}

prepared_t *prepared_table_find(const prepared_table_t *table, const char *name)
{
	return g_hash_table_lookup(table->statements, name);
}

bool prepared_table_put(prepared_table_t *table, const char *name,
			prepared_t *prepared)
{
	const size_t size_bytes = g_bytes_get_size(prepared->tail);

	prepared_table_drop(table, name);
	if (g_hash_table_size(table->statements) >= PREPARED_MAX ||
	    table->size_bytes + size_bytes > PREPARED_SIZE_BYTES_MAX)
		return false;
	table->size_bytes += size_bytes;
	g_hash_table_insert(table->statements, g_strdup(name),
			    prepared_ref(prepared));
	return true;
}

void prepared_table_drop(prepared_table_t *table, const char *name)
{
	const prepared_t *prepared = prepared_table_find(table, name);

	if (!prepared)
		return;
	table->size_bytes -= g_bytes_get_size(prepared->tail);
	g_hash_table_remove(table->statements, name);
}

void prepared_table_clear(prepared_table_t *table)
{
	g_hash_table_remove_all(table->statements);
	table->size_bytes = 0;
}

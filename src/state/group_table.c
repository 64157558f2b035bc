#include "state/group_table.h"

#include <glib.h>

struct group_table {
	GHashTable *views;
};

group_table_t *group_table_create(void)
{
	group_table_t *table = g_new0(group_table_t, 1);

	table->views =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void group_table_destroy(group_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->views);
	g_free(table);
}

bool group_table_update(group_table_t *table, const char *database,
			uint64_t term, const char *primary)
{
	group_view_t *view = g_hash_table_lookup(table->views, database);

	if (view && view->term >= term)
		return false;
	if (!view) {
		view = g_new0(group_view_t, 1);
		g_hash_table_insert(table->views, g_strdup(database), view);
	}
	view->term = term;
	g_strlcpy(view->primary, primary, sizeof(view->primary));
	return true;
}

group_view_t group_table_view(const group_table_t *table, const char *database)
{
	const group_view_t *view = g_hash_table_lookup(table->views, database);

	if (view)
		return *view;
	return (group_view_t){0};
}

void group_table_each(const group_table_t *table,
		      void (*visit)(void *context, const char *database,
				    const group_view_t *view),
		      void *context)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, &value))
		visit(context, key, value);
}

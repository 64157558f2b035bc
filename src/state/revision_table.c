#include "state/revision_table.h"

#include <glib.h>

struct revision_table {
	GHashTable *revisions; /* key -> int64_t */
};

revision_table_t *revision_table_create(void)
{
	revision_table_t *table = g_new0(revision_table_t, 1);

	table->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void revision_table_destroy(revision_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->revisions);
	g_free(table);
}

int64_t revision_table_known(const revision_table_t *table, const char *key)
{
	const int64_t *known = g_hash_table_lookup(table->revisions, key);

	return known ? *known : 0;
}

bool revision_table_advance(revision_table_t *table, const char *key,
			    int64_t revision, bool again)
{
	const int64_t *known = g_hash_table_lookup(table->revisions, key);

	if (known && (again ? revision < *known : revision <= *known))
		return false;
	g_hash_table_replace(table->revisions, g_strdup(key),
			     g_memdup2(&revision, sizeof(revision)));
	return true;
}

#include "state/change_log.h"

struct change_log {
	GHashTable *changes; /* key -> change_t */
	uint32_t removals;   /* number of changes that are removals */
	uint32_t removals_max;
	int64_t revision; /* all changes up to it are known, 0 before */
	int64_t horizon;  /* removals up to it may be forgotten */
};

static void change_free(gpointer data)
{
	change_t *change = data;

	g_free(change->key);
	g_free(change->text);
	g_free(change);
}

change_log_t *change_log_create(uint32_t removals_max)
{
	change_log_t *log = g_new0(change_log_t, 1);

	log->removals_max = removals_max;
	log->changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     change_free);
	return log;
}

void change_log_destroy(change_log_t *log)
{
	if (!log)
		return;
	g_hash_table_destroy(log->changes);
	g_free(log);
}

static void forget_removals(change_log_t *log)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, log->changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const change_t *change = value;

		if (change->text)
			continue;
		log->horizon = MAX(log->horizon, change->revision);
		g_hash_table_iter_remove(&iter);
	}
	log->removals = 0;
}

void change_log_put(change_log_t *log, const char *key, int64_t revision,
		    const char *text)
{
	change_t *known = g_hash_table_lookup(log->changes, key);
	change_t *change;

	if (known && revision < known->revision)
		return;
	if (known && !known->text)
		log->removals--;
	change = g_new0(change_t, 1);
	change->key = g_strdup(key);
	change->revision = revision;
	change->text = g_strdup(text);
	g_hash_table_replace(log->changes, change->key, change);
	if (!text && ++log->removals > log->removals_max)
		forget_removals(log);
}

void change_log_synced(change_log_t *log, int64_t revision)
{
	log->revision = MAX(log->revision, revision);
}

int64_t change_log_revision(const change_log_t *log)
{
	return log->revision;
}

bool change_log_since(const change_log_t *log, int64_t revision,
		      GPtrArray *changes)
{
	const bool whole = !revision || revision < log->horizon;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, log->changes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const change_t *change = value;

		if (whole ? change->text != NULL : change->revision > revision)
			g_ptr_array_add(changes, value);
	}
	return whole;
}

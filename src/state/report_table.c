#include "state/report_table.h"

#include "state/store_revision.h"

/* Time for which a server that left is remembered; copies are younger. */
#define LEFT_MS (10u * 60 * 1000)

/* The newest report of one server. */
typedef struct {
	uint64_t started_ms;
	uint64_t sequence;
	bool draining;
	int64_t era;
	uint64_t left_ms; /* when its entry was removed, 0 before */
} report_t;

struct report_table {
	GHashTable *reports; /* server id -> report_t */
};

report_table_t *report_table_create(void)
{
	report_table_t *table = g_new0(report_table_t, 1);

	table->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void report_table_destroy(report_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->reports);
	g_free(table);
}

static bool is_older(const backend_entry_t *entry, const report_t *known)
{
	if (entry->started_ms != known->started_ms)
		return entry->started_ms < known->started_ms;
	return entry->sequence < known->sequence;
}

report_verdict_t report_table_judge(report_table_t *table,
				    const backend_entry_t *entry,
				    int64_t revision)
{
	const report_t *known = g_hash_table_lookup(table->reports, entry->id);
	const int64_t era = store_revision_era(revision);
	report_t report = {
		.started_ms = entry->started_ms,
		.sequence = entry->sequence,
		.draining = entry->draining,
		.era = era,
	};

	if (known && era != known->era && is_older(entry, known)) {
		if (known->draining)
			return REPORT_IGNORE;
		if (!known->left_ms)
			return REPORT_KEEP;
	}
	g_hash_table_replace(table->reports, g_strdup(entry->id),
			     g_memdup2(&report, sizeof(report)));
	return REPORT_APPLY;
}

static gboolean is_forgotten(gpointer id, gpointer report, gpointer now_ms)
{
	const uint64_t left_ms = ((const report_t *)report)->left_ms;

	return left_ms && *(const uint64_t *)now_ms >= left_ms + LEFT_MS;
}

void report_table_removed(report_table_t *table, const char *id,
			  uint64_t now_ms)
{
	report_t *known = g_hash_table_lookup(table->reports, id);

	if (known)
		known->left_ms = now_ms;
	g_hash_table_foreach_remove(table->reports, is_forgotten, &now_ms);
}

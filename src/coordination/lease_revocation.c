#include "coordination/lease_revocation.h"

#include <string.h>

#include "base/text.h"
#include "state/lease_record.h"

/* A listed key. */
typedef struct {
	char *key;
	char *node; /* the key without the lease */
	int64_t revision;
	bool valid; /* the record was understood */
	lease_record_t record;
} listed_t;

struct lease_revocation {
	int64_t intent;
	GPtrArray *listed;
	GHashTable *confirmed; /* nodes that have confirmed */
	GPtrArray *ended;
};

static void listed_free(gpointer data)
{
	listed_t *listed = data;

	g_free(listed->key);
	g_free(listed->node);
	g_free(listed);
}

lease_revocation_t *lease_revocation_create(int64_t intent)
{
	lease_revocation_t *revocation = g_new0(lease_revocation_t, 1);

	revocation->intent = intent;
	revocation->listed = g_ptr_array_new_with_free_func(listed_free);
	revocation->confirmed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	revocation->ended = g_ptr_array_new_with_free_func(g_free);
	return revocation;
}

void lease_revocation_destroy(lease_revocation_t *revocation)
{
	if (!revocation)
		return;
	g_ptr_array_unref(revocation->listed);
	g_hash_table_destroy(revocation->confirmed);
	g_ptr_array_unref(revocation->ended);
	g_free(revocation);
}

void lease_revocation_restart(lease_revocation_t *revocation)
{
	g_ptr_array_set_size(revocation->listed, 0);
	g_hash_table_remove_all(revocation->confirmed);
}

static char *node_of(const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash ? text_new(key, (gsize)(slash - key)) : g_strdup(key);
}

/* @return the lease that the key is named after, 0 if it is none of a node */
static int64_t lease_of(const char *key)
{
	const char *slash = strrchr(key, '/');
	gint64 lease;

	if (!slash || !g_ascii_string_to_signed(slash + 1, 10, 1, G_MAXINT64,
						&lease, NULL))
		return 0;
	return lease;
}

void lease_revocation_add(lease_revocation_t *revocation, const char *key,
			  GBytes *value, int64_t revision)
{
	listed_t *listed;

	if (!lease_of(key))
		return;
	listed = g_new0(listed_t, 1);
	listed->key = g_strdup(key);
	listed->node = node_of(key);
	listed->revision = revision;
	listed->valid = lease_record_decode(value, &listed->record);
	g_ptr_array_add(revocation->listed, listed);
	if (listed->valid && listed->record.seen_revision >= revocation->intent)
		g_hash_table_add(revocation->confirmed, g_strdup(listed->node));
}

static bool has_confirmed(const lease_revocation_t *revocation,
			  const char *node)
{
	return g_hash_table_contains(revocation->confirmed, node);
}

bool lease_revocation_is_confirmed(const lease_revocation_t *revocation)
{
	for (guint i = 0; i < revocation->listed->len; i++) {
		const listed_t *listed = revocation->listed->pdata[i];

		if (!has_confirmed(revocation, listed->node))
			return false;
	}
	return true;
}

static void remember_ended(lease_revocation_t *revocation, const char *key)
{
	if (!g_ptr_array_find_with_equal_func(revocation->ended, key,
					      g_str_equal, NULL))
		g_ptr_array_add(revocation->ended, g_strdup(key));
}

void lease_revocation_end(lease_revocation_t *revocation,
			  lease_revocation_end_t end, void *context)
{
	for (guint i = 0; i < revocation->listed->len; i++) {
		const listed_t *listed = revocation->listed->pdata[i];

		if (has_confirmed(revocation, listed->node))
			continue;
		remember_ended(revocation, listed->key);
		end(context, listed->key, lease_of(listed->key));
	}
}

const GPtrArray *lease_revocation_ended(const lease_revocation_t *revocation)
{
	return revocation->ended;
}

static bool is_listed(const lease_revocation_t *revocation, const char *key)
{
	for (guint i = 0; i < revocation->listed->len; i++) {
		const listed_t *listed = revocation->listed->pdata[i];

		if (!strcmp(listed->key, key))
			return true;
	}
	return false;
}

bool lease_revocation_is_over(const lease_revocation_t *revocation,
			      const char *key)
{
	g_autofree char *node = node_of(key);

	return has_confirmed(revocation, node) || !is_listed(revocation, key);
}

bool lease_revocation_all_over(const lease_revocation_t *revocation)
{
	for (guint i = 0; i < revocation->ended->len; i++)
		if (!lease_revocation_is_over(revocation,
					      revocation->ended->pdata[i]))
			return false;
	return true;
}

GArray *lease_revocation_outdated(const lease_revocation_t *revocation,
				  int64_t before_ms)
{
	GArray *keys =
		g_array_new(FALSE, FALSE, sizeof(lease_revocation_key_t));

	for (guint i = 0; i < revocation->listed->len; i++) {
		const listed_t *listed = revocation->listed->pdata[i];
		const lease_revocation_key_t key = {listed->key,
						    listed->revision};

		if (listed->valid && listed->record.written_ms < before_ms)
			g_array_append_val(keys, key);
	}
	return keys;
}

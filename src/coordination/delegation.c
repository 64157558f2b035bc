#include "coordination/delegation.h"

#include <glib.h>

/* Proofs that came with one answer. */
typedef struct {
	int64_t revision; /* records up to it were known with the proofs */
	uint64_t until_ms;
} proofs_t;

typedef struct {
	proofs_t used;	  /* applied by the holder */
	proofs_t pending; /* in an answer that it has perhaps not read */
} holder_t;

struct delegation {
	GHashTable *holders; /* id -> holder_t */
	GArray *left;	     /* proofs_t of holders whose connection ended */
};

delegation_t *delegation_create(void)
{
	delegation_t *delegation = g_new0(delegation_t, 1);

	delegation->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	delegation->left = g_array_new(FALSE, FALSE, sizeof(proofs_t));
	return delegation;
}

void delegation_destroy(delegation_t *delegation)
{
	if (!delegation)
		return;
	g_hash_table_destroy(delegation->holders);
	g_array_unref(delegation->left);
	g_free(delegation);
}

static holder_t *holder_get(delegation_t *delegation, uint64_t id)
{
	holder_t *holder = g_hash_table_lookup(delegation->holders, &id);

	if (holder)
		return holder;
	holder = g_new0(holder_t, 1);
	g_hash_table_insert(delegation->holders, g_memdup2(&id, sizeof(id)),
			    holder);
	return holder;
}

void delegation_requested(delegation_t *delegation, uint64_t id,
			  int64_t revision)
{
	holder_t *holder = holder_get(delegation, id);

	holder->used = holder->pending;
	holder->used.revision = MAX(holder->used.revision, revision);
	holder->pending = (proofs_t){0};
}

void delegation_answered(delegation_t *delegation, uint64_t id,
			 int64_t revision, uint64_t until_ms)
{
	holder_t *holder = holder_get(delegation, id);

	holder->pending =
		(proofs_t){.revision = revision, .until_ms = until_ms};
}

static void forget_expired(delegation_t *delegation, uint64_t now_ms)
{
	for (guint i = delegation->left->len; i > 0; i--)
		if (g_array_index(delegation->left, proofs_t, i - 1).until_ms <=
		    now_ms)
			g_array_remove_index_fast(delegation->left, i - 1);
}

void delegation_left(delegation_t *delegation, uint64_t id, uint64_t now_ms)
{
	const holder_t *holder = g_hash_table_lookup(delegation->holders, &id);

	forget_expired(delegation, now_ms);
	if (!holder)
		return;
	g_array_append_val(delegation->left, holder->used);
	g_array_append_val(delegation->left, holder->pending);
	g_hash_table_remove(delegation->holders, &id);
}

/* @return the end of the proofs if they count for a revision, or 0 */
static uint64_t counted_until_ms(const proofs_t *proofs, int64_t revision)
{
	return proofs->revision < revision ? proofs->until_ms : 0;
}

uint64_t delegation_until_ms(const delegation_t *delegation, int64_t revision,
			     uint64_t now_ms)
{
	uint64_t until_ms = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, delegation->holders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const holder_t *holder = value;

		until_ms = MAX(until_ms,
			       counted_until_ms(&holder->used, revision));
		until_ms = MAX(until_ms,
			       counted_until_ms(&holder->pending, revision));
	}
	for (guint i = 0; i < delegation->left->len; i++)
		until_ms = MAX(until_ms,
			       counted_until_ms(&g_array_index(delegation->left,
							       proofs_t, i),
						revision));
	return until_ms > now_ms ? until_ms : 0;
}

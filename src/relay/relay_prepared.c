#include "relay/relay_prepared.h"

#include <inttypes.h>
#include <stdint.h>
#include <string.h>

typedef struct {
	char *definition;
	char *name;
	GList link; /* node in the order of use */
} entry_t;

struct relay_prepared {
	GHashTable *entries; /* definition -> entry_t */
	GQueue order;	     /* entry_t, most recently used first */
	size_t size_bytes;   /* total size of the definitions */
	uint64_t names;	     /* number of names given so far */
};

static void entry_free(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->definition);
	g_free(entry->name);
	g_free(entry);
}

relay_prepared_t *relay_prepared_create(void)
{
	relay_prepared_t *prepared = g_new0(relay_prepared_t, 1);

	prepared->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  entry_free);
	return prepared;
}

void relay_prepared_destroy(relay_prepared_t *prepared)
{
	if (!prepared)
		return;
	g_hash_table_destroy(prepared->entries);
	g_free(prepared);
}

const char *relay_prepared_find(relay_prepared_t *prepared,
				const char *definition)
{
	entry_t *entry = g_hash_table_lookup(prepared->entries, definition);

	if (!entry)
		return NULL;
	g_queue_unlink(&prepared->order, &entry->link);
	g_queue_push_head_link(&prepared->order, &entry->link);
	return entry->name;
}

static void drop(relay_prepared_t *prepared, entry_t *entry)
{
	prepared->size_bytes -= strlen(entry->definition);
	g_queue_unlink(&prepared->order, &entry->link);
	g_hash_table_remove(prepared->entries, entry->definition);
}

/* Makes room for one definition; one that is larger than all room is kept. */
static void make_room(relay_prepared_t *prepared, size_t size_bytes,
		      GPtrArray *closed)
{
	while (prepared->order.length &&
	       (prepared->order.length >= RELAY_PREPARED_MAX ||
		prepared->size_bytes + size_bytes >
			RELAY_PREPARED_SIZE_BYTES_MAX)) {
		entry_t *oldest = g_queue_peek_tail(&prepared->order);

		g_ptr_array_add(closed, g_steal_pointer(&oldest->name));
		drop(prepared, oldest);
	}
}

const char *relay_prepared_add(relay_prepared_t *prepared,
			       const char *definition, GPtrArray *closed)
{
	entry_t *entry = g_new0(entry_t, 1);

	make_room(prepared, strlen(definition), closed);
	entry->definition = g_strdup(definition);
	entry->name = g_strdup_printf("p%" PRIu64, ++prepared->names);
	entry->link.data = entry;
	prepared->size_bytes += strlen(definition);
	g_queue_push_head_link(&prepared->order, &entry->link);
	g_hash_table_insert(prepared->entries, entry->definition, entry);
	return entry->name;
}

void relay_prepared_remove(relay_prepared_t *prepared, const char *definition)
{
	entry_t *entry = g_hash_table_lookup(prepared->entries, definition);

	if (entry)
		drop(prepared, entry);
}

void relay_prepared_clear(relay_prepared_t *prepared)
{
	g_queue_init(&prepared->order);
	g_hash_table_remove_all(prepared->entries);
	prepared->size_bytes = 0;
}

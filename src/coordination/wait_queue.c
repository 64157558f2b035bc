#include "coordination/wait_queue.h"

/* Weight of a new value in the moving average. */
#define MEAN_WEIGHT 0.1

/* Delay that each step of lower priority adds to the target time. */
#define PRIORITY_DELAY_MS 150

/* Every so many grants of a customer, its earliest target is served. */
#define EARLIEST_EVERY 8

/* What a customer was granted; it is served when it has the least. */
struct wait_share {
	uint64_t granted; /* counted from that of the others when it joined */
	uint32_t waiting; /* number of its entries */
	bool named;	  /* false for the entries without a customer */
};

void wait_queue_init(wait_queue_t *queue)
{
	queue->entries = g_ptr_array_new();
	queue->hold_ms = WAIT_QUEUE_HOLD_MS;
	queue->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	queue->granted = 0;
}

void wait_queue_clear(wait_queue_t *queue)
{
	g_clear_pointer(&queue->entries, g_ptr_array_unref);
	g_clear_pointer(&queue->shares, g_hash_table_unref);
}

void wait_queue_served(wait_queue_t *queue, uint64_t held_ms)
{
	queue->hold_ms += MEAN_WEIGHT * ((double)held_ms - queue->hold_ms);
}

uint64_t wait_queue_estimate_ms(const wait_queue_t *queue, uint32_t connections)
{
	return (uint64_t)(queue->hold_ms * queue->entries->len /
			  MAX(connections, 1));
}

/* Entries without a customer share under the empty name, which none has. */
static const char *name_of(const wait_entry_t *entry)
{
	return entry->customer ? entry->customer : "";
}

/* @return number of entries that are served before a new one of its customer */
static uint32_t count_before(const wait_queue_t *queue,
			     const wait_entry_t *entry)
{
	const wait_share_t *own =
		g_hash_table_lookup(queue->shares, name_of(entry));
	const uint32_t own_waiting = own ? own->waiting : 0;
	uint32_t before = own_waiting;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, queue->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const wait_share_t *share = value;

		if (share != own)
			before += MIN(share->waiting, own_waiting + 1);
	}
	return before;
}

bool wait_queue_can_serve(const wait_queue_t *queue, const wait_entry_t *entry,
			  uint32_t connections, uint64_t now_ms)
{
	const uint64_t wait_ms =
		(uint64_t)(queue->hold_ms * count_before(queue, entry) /
			   MAX(connections, 1));

	return now_ms + wait_ms < entry->deadline_ms;
}

/* Counts an entry that waits; a customer saves no share while it has none. */
static void join(wait_queue_t *queue, wait_entry_t *entry)
{
	wait_share_t *share =
		g_hash_table_lookup(queue->shares, name_of(entry));

	if (!share) {
		share = g_new0(wait_share_t, 1);
		share->named = entry->customer;
		g_hash_table_insert(queue->shares, g_strdup(name_of(entry)),
				    share);
	}
	if (!share->waiting++)
		share->granted = MAX(share->granted, queue->granted);
	entry->share = share;
}

/* Forgets what makes no difference later. */
static void leave(wait_queue_t *queue, wait_entry_t *entry)
{
	wait_share_t *share = entry->share;

	entry->share = NULL;
	if (!--share->waiting && share->granted <= queue->granted)
		g_hash_table_remove(queue->shares, name_of(entry));
	if (queue->entries->len)
		return;
	g_hash_table_remove_all(queue->shares);
	queue->granted = 0;
}

void wait_queue_add(wait_queue_t *queue, wait_entry_t *entry)
{
	g_ptr_array_add(queue->entries, entry);
	join(queue, entry);
}

void wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry)
{
	if (g_ptr_array_remove(queue->entries, entry))
		leave(queue, entry);
}

void wait_queue_return(wait_queue_t *queue, wait_entry_t *entry)
{
	wait_queue_add(queue, entry);
	if (!entry->first && entry->share->granted)
		entry->share->granted--;
}

static bool is_earliest_due(const wait_share_t *share)
{
	return share->named &&
	       share->granted % EARLIEST_EVERY == EARLIEST_EVERY - 1;
}

/* @return whether a is served before b */
static bool precedes(const wait_queue_t *queue, const wait_entry_t *a,
		     const wait_entry_t *b, uint64_t now_ms)
{
	const uint64_t done_ms = now_ms + (uint64_t)queue->hold_ms;
	const bool a_in_time = done_ms <= a->target_ms;
	const bool b_in_time = done_ms <= b->target_ms;

	if (a->first != b->first)
		return a->first;
	if (a->continues != b->continues)
		return a->continues;
	if (a->share->granted != b->share->granted)
		return a->share->granted < b->share->granted;
	if (a->share == b->share && is_earliest_due(a->share))
		return a->target_ms < b->target_ms;
	if (a_in_time != b_in_time)
		return a_in_time;
	return a->target_ms + a->priority * PRIORITY_DELAY_MS <
	       b->target_ms + b->priority * PRIORITY_DELAY_MS;
}

/* Removes an entry that is served, and charges its customer. */
static void take(wait_queue_t *queue, wait_entry_t *entry)
{
	wait_share_t *share = entry->share;

	if (!entry->first) {
		queue->granted = MAX(queue->granted, share->granted);
		share->granted++;
	}
	g_ptr_array_remove(queue->entries, entry);
	leave(queue, entry);
}

wait_entry_t *wait_queue_next_accepted(wait_queue_t *queue, uint64_t now_ms,
				       wait_queue_accepts_t accepts,
				       void *context)
{
	wait_entry_t *best = NULL;

	for (guint i = 0; i < queue->entries->len; i++) {
		wait_entry_t *entry = queue->entries->pdata[i];

		if (accepts && !accepts(context, entry))
			continue;
		if (!best || precedes(queue, entry, best, now_ms))
			best = entry;
	}
	if (best)
		take(queue, best);
	return best;
}

wait_entry_t *wait_queue_next(wait_queue_t *queue, uint64_t now_ms)
{
	return wait_queue_next_accepted(queue, now_ms, NULL, NULL);
}

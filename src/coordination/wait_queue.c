#include "coordination/wait_queue.h"

/* Weight of a new value in the moving average. */
#define MEAN_WEIGHT 0.1

/* Delay that each step of lower priority adds to the target time. */
#define PRIORITY_DELAY_MS 150

void wait_queue_init(wait_queue_t *queue)
{
	queue->entries = g_ptr_array_new();
	queue->hold_ms = WAIT_QUEUE_HOLD_MS;
}

void wait_queue_clear(wait_queue_t *queue)
{
	g_clear_pointer(&queue->entries, g_ptr_array_unref);
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

bool wait_queue_can_serve(const wait_queue_t *queue, const wait_entry_t *entry,
			  uint32_t connections, uint64_t now_ms)
{
	return now_ms + wait_queue_estimate_ms(queue, connections) <
	       entry->deadline_ms;
}

void wait_queue_add(wait_queue_t *queue, wait_entry_t *entry)
{
	g_ptr_array_add(queue->entries, entry);
}

void wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry)
{
	g_ptr_array_remove(queue->entries, entry);
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
	if (a_in_time != b_in_time)
		return a_in_time;
	return a->target_ms + a->priority * PRIORITY_DELAY_MS <
	       b->target_ms + b->priority * PRIORITY_DELAY_MS;
}

wait_entry_t *wait_queue_next(wait_queue_t *queue, uint64_t now_ms)
{
	wait_entry_t *best = NULL;

	for (guint i = 0; i < queue->entries->len; i++) {
		wait_entry_t *entry = queue->entries->pdata[i];

		if (!best || precedes(queue, entry, best, now_ms))
			best = entry;
	}
	if (best)
		g_ptr_array_remove(queue->entries, best);
	return best;
}

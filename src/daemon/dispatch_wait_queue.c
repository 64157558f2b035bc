#include "daemon/dispatch_private.h"

#include "base/clock.h"

/* Interval of the barriers that check whether a primary serves again. */
#define PROBE_INTERVAL_MS 100u
#define PROBE_TIMEOUT_MS 1000u
/* Interval at which a waiting read is routed again: a replica may catch up. */
#define READ_RETRY_INTERVAL_MS 100u
/* Maximum number of waiting requests of one database; more are refused. */
#define WAITING_REQUESTS_MAX 10000u

void dispatch_wait_queue_free(gpointer data)
{
	dispatch_wait_queue_t *wait_queue = data;

	event_free(wait_queue->probe);
	g_queue_clear(&wait_queue->entries);
	g_free(wait_queue->database);
	g_free(wait_queue);
}

void dispatch_wait_queue_resume(dispatch_wait_queue_t *wait_queue)
{
	guint count = g_queue_get_length(&wait_queue->entries);

	while (count-- > 0) {
		dispatch_entry_t *entry =
			g_queue_pop_head(&wait_queue->entries);

		if (!entry)
			return;
		entry->wait_queue = NULL;
		entry->tried = 0;
		event_del(entry->timer);
		dispatch_attempt_begin(entry);
	}
}

static void on_barrier(void *context, log_point_t point)
{
	dispatch_wait_queue_t *wait_queue = context;

	wait_queue->probing = false;
	if (!point.term)
		return;
	route_point_seen(wait_queue->dispatch->route, wait_queue->database,
			 point, clock_now_ms());
	dispatch_wait_queue_resume(wait_queue);
}

static void on_probe(evutil_socket_t fd, short what, void *context)
{
	dispatch_wait_queue_t *wait_queue = context;
	const struct timeval interval = clock_timeval(PROBE_INTERVAL_MS);
	dispatch_handlers_t *handlers = &wait_queue->dispatch->handlers;

	if (g_queue_is_empty(&wait_queue->entries))
		return;
	event_add(wait_queue->probe, &interval);
	if (wait_queue->probing)
		return;
	wait_queue->probing = true;
	handlers->barrier(handlers->context, wait_queue->database,
			  PROBE_TIMEOUT_MS, on_barrier, wait_queue);
}

static dispatch_wait_queue_t *wait_queue_get(dispatch_task_t *dispatch,
					     const char *database)
{
	dispatch_wait_queue_t *wait_queue =
		g_hash_table_lookup(dispatch->wait_queues, database);

	if (wait_queue)
		return wait_queue;
	wait_queue = g_new0(dispatch_wait_queue_t, 1);
	wait_queue->dispatch = dispatch;
	wait_queue->database = g_strdup(database);
	g_queue_init(&wait_queue->entries);
	wait_queue->probe = evtimer_new(dispatch->base, on_probe, wait_queue);
	g_hash_table_insert(dispatch->wait_queues, wait_queue->database,
			    wait_queue);
	return wait_queue;
}

void dispatch_wait_queue_add(dispatch_entry_t *entry)
{
	dispatch_wait_queue_t *wait_queue =
		wait_queue_get(entry->dispatch, entry->request->database);
	const struct timeval interval = clock_timeval(PROBE_INTERVAL_MS);
	const uint64_t now_ms = clock_now_ms();
	uint64_t wait_ms;

	if (now_ms >= entry->deadline_ms ||
	    g_queue_get_length(&wait_queue->entries) >= WAITING_REQUESTS_MAX) {
		dispatch_entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry->wait_queue = wait_queue;
	g_queue_push_tail(&wait_queue->entries, entry);
	wait_ms = entry->deadline_ms - now_ms;
	if (entry->request->kind == REQUEST_READ)
		wait_ms = MIN(wait_ms, READ_RETRY_INTERVAL_MS);
	dispatch_entry_set_timer(entry, wait_ms);
	if (!event_pending(wait_queue->probe, EV_TIMEOUT, NULL))
		event_add(wait_queue->probe, &interval);
}

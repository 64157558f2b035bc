#include "daemon/dispatch_private.h"

#include "base/clock.h"

/* Interval of the barriers that look for a primary of waiting requests. */
#define PROBE_INTERVAL_MS 100u
#define PROBE_TIMEOUT_MS 1000u
/* Interval at which a waiting read is routed again: a replica may catch up. */
#define READ_AGAIN_MS 100u
/* Maximum number of waiting requests of one database; more are refused. */
#define WAITING_MAX 10000u

void dispatch_waiting_free(gpointer data)
{
	dispatch_waiting_t *waiting = data;

	event_free(waiting->probe);
	g_queue_clear(&waiting->entries);
	g_free(waiting->database);
	g_free(waiting);
}

void dispatch_waiting_resume(dispatch_waiting_t *waiting)
{
	guint count = g_queue_get_length(&waiting->entries);

	while (count-- > 0) {
		dispatch_entry_t *entry = g_queue_pop_head(&waiting->entries);

		if (!entry)
			return;
		entry->waiting = NULL;
		entry->tried = 0;
		event_del(entry->timer);
		dispatch_attempt_begin(entry);
	}
}

static void on_barrier(void *context, log_point_t point)
{
	dispatch_waiting_t *waiting = context;

	waiting->probing = false;
	if (!point.term)
		return;
	route_point_seen(waiting->dispatch->route, waiting->database, point,
			 clock_now_ms());
	dispatch_waiting_resume(waiting);
}

static void on_probe(evutil_socket_t fd, short what, void *context)
{
	dispatch_waiting_t *waiting = context;
	const struct timeval interval = clock_timeval(PROBE_INTERVAL_MS);
	dispatch_handlers_t *handlers = &waiting->dispatch->handlers;

	if (g_queue_is_empty(&waiting->entries))
		return;
	event_add(waiting->probe, &interval);
	if (waiting->probing)
		return;
	waiting->probing = true;
	handlers->barrier(handlers->context, waiting->database,
			  PROBE_TIMEOUT_MS, on_barrier, waiting);
}

static dispatch_waiting_t *waiting_get(dispatch_task_t *dispatch,
				       const char *database)
{
	dispatch_waiting_t *waiting =
		g_hash_table_lookup(dispatch->waiting, database);

	if (waiting)
		return waiting;
	waiting = g_new0(dispatch_waiting_t, 1);
	waiting->dispatch = dispatch;
	waiting->database = g_strdup(database);
	g_queue_init(&waiting->entries);
	waiting->probe = evtimer_new(dispatch->base, on_probe, waiting);
	g_hash_table_insert(dispatch->waiting, waiting->database, waiting);
	return waiting;
}

void dispatch_waiting_add(dispatch_entry_t *entry)
{
	dispatch_waiting_t *waiting =
		waiting_get(entry->dispatch, entry->request->database);
	const struct timeval interval = clock_timeval(PROBE_INTERVAL_MS);
	const uint64_t now_ms = clock_now_ms();
	uint64_t wait_ms;

	if (now_ms >= entry->deadline_ms ||
	    g_queue_get_length(&waiting->entries) >= WAITING_MAX) {
		dispatch_entry_refuse(entry, REASON_NO_PRIMARY);
		return;
	}
	entry->waiting = waiting;
	g_queue_push_tail(&waiting->entries, entry);
	wait_ms = entry->deadline_ms - now_ms;
	if (entry->request->kind == REQUEST_READ)
		wait_ms = MIN(wait_ms, READ_AGAIN_MS);
	dispatch_entry_set_timer(entry, wait_ms);
	if (!event_pending(waiting->probe, EV_TIMEOUT, NULL))
		event_add(waiting->probe, &interval);
}

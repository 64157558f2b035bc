#include "relay/relay_backends.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/report_table.h"

/* Maximum number of invalid entries that are remembered as logged. */
#define INVALID_MAX 256u

/* Time for which a server is still used after its entry was removed. */
#define REMOVAL_DELAY_MS 2500

struct relay_backends {
	struct event_base *base;
	relay_services_t *services;
	const relay_source_t *source;
	report_table_t *reports; /* what the servers last reported */
	GHashTable *removals;	 /* server id -> removal_t */
	GHashTable *invalid;	 /* set of ids whose entry names no server */
	metric_t *invalid_total; /* entries that became invalid */
};

/* The pending removal of a server whose entry was removed from the store. */
typedef struct {
	relay_backends_t *backends;
	char *server;
	struct event *timer; /* removes the server */
} removal_t;

static void removal_free(gpointer data)
{
	removal_t *removal = data;

	event_free(removal->timer);
	g_free(removal->server);
	g_free(removal);
}

static void on_removal_timer(evutil_socket_t fd, short what, void *context)
{
	removal_t *removal = context;
	relay_backends_t *backends = removal->backends;

	relay_services_remove(backends->services, removal->server);
	report_table_removed(backends->reports, removal->server,
			     clock_boot_ms());
	g_hash_table_remove(backends->removals, removal->server);
}

/* Delays the removal: entries vanish briefly after an outage of the store. */
static void schedule_removal(relay_backends_t *backends, const char *server)
{
	const struct timeval delay = clock_timeval(REMOVAL_DELAY_MS);
	removal_t *removal = g_new0(removal_t, 1);

	log_event(LOG_LEVEL_NOTICE, "server_lapsed", "server=%s", server);
	removal->backends = backends;
	removal->server = g_strdup(server);
	removal->timer = evtimer_new(backends->base, on_removal_timer, removal);
	event_add(removal->timer, &delay);
	g_hash_table_replace(backends->removals, removal->server, removal);
}

/* Logs and counts an entry that names no server, once until it changes. */
static void note_invalid(relay_backends_t *backends, const char *id,
			 const GError *error)
{
	if (g_hash_table_contains(backends->invalid, id))
		return;
	metric_add(backends->invalid_total, 1);
	log_event(LOG_LEVEL_WARNING, "server_entry_invalid",
		  "server=%.80s reason=\"%s\"", id, error->message);
	if (g_hash_table_size(backends->invalid) < INVALID_MAX)
		g_hash_table_add(backends->invalid, g_strdup(id));
}

bool relay_backends_check(relay_backends_t *backends, const kv_item_t *item)
{
	const relay_source_t *source = backends->source;
	const char *id = item->key + strlen(source->backends_prefix);
	g_autoptr(GError) error = NULL;
	g_autoptr(backend_entry_t) entry = NULL;

	if (!item->deleted)
		entry = source->decode_backend(item->key, item->value, &error);
	if (error)
		note_invalid(backends, id, error);
	else
		g_hash_table_remove(backends->invalid, id);
	return entry;
}

void relay_backends_apply(relay_backends_t *backends, const kv_item_t *item)
{
	const relay_source_t *source = backends->source;
	const char *id = item->key + strlen(source->backends_prefix);
	g_autoptr(GError) error = NULL;
	g_autoptr(backend_entry_t) entry = NULL;
	report_verdict_t verdict;

	if (item->deleted) {
		if (relay_services_has(backends->services, id))
			schedule_removal(backends, id);
		return;
	}
	entry = source->decode_backend(item->key, item->value, &error);
	if (!entry) {
		note_invalid(backends, id, error);
		if (relay_services_has(backends->services, id) &&
		    !g_hash_table_contains(backends->removals, id))
			schedule_removal(backends, id);
		return;
	}
	verdict = report_table_judge(backends->reports, entry, item->revision);
	if (verdict != REPORT_APPLY)
		log_event(LOG_LEVEL_NOTICE, "server_report_outdated",
			  "server=%s sequence=%" PRIu64 " draining=%d left=%d",
			  id, entry->sequence, entry->draining,
			  verdict == REPORT_IGNORE);
	if (verdict != REPORT_IGNORE)
		g_hash_table_remove(backends->removals, id);
	if (verdict == REPORT_APPLY)
		relay_services_put(backends->services, g_steal_pointer(&entry));
}

relay_backends_t *relay_backends_create(struct event_base *base,
					relay_services_t *services,
					const relay_source_t *source,
					metrics_t *metrics)
{
	relay_backends_t *backends = g_new0(relay_backends_t, 1);

	backends->base = base;
	backends->services = services;
	backends->source = source;
	backends->reports = report_table_create();
	backends->invalid =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	backends->invalid_total = metrics_counter(
		metrics, "toucanhook_server_entries_invalid_total", "");
	backends->removals = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, removal_free);
	return backends;
}

void relay_backends_destroy(relay_backends_t *backends)
{
	if (!backends)
		return;
	g_hash_table_destroy(backends->removals);
	g_hash_table_destroy(backends->invalid);
	report_table_destroy(backends->reports);
	g_free(backends);
}

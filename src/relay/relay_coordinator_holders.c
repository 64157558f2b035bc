#include "relay/relay_coordinator_private.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"

/* Interval between two polls for the commits of a departed replica. */
#define POLL_INTERVAL_MS 500

/* Interval while a primary that leaves has no successor. */
#define LEAVING_POLL_INTERVAL_MS 150

/* Time for which a poll shows that there is a successor. */
#define SUCCESSOR_VALID_MS 600

/*
 * Time after which a primary that leaves hands over in any case; servers serve
 * for longer after they have reported that they leave.
 */
#define LEAVING_MS_MAX 3000

/* Timeout of a status query. */
#define STATUS_TIMEOUT_MS 400

/* Interval of the line that says what a takeover waits for. */
#define WAIT_LOG_MS 1000

/*
 * A poll that finds out which replicas have received all that the primary had
 * when the poll started.
 */
typedef struct {
	coordinator_service_t *entry;
	uint64_t started_ms;
	uint64_t term;	   /* the record's at the start */
	log_point_t end;   /* of the primary's log */
	uint32_t pending;  /* answers of replicas awaited */
	uint32_t complete; /* replicas that have received all */
	bool successor;	   /* one of them is not about to leave */
} poll_t;

/* A status query to one replica. */
typedef struct {
	poll_t *poll;
	bool draining;
} query_t;

uint32_t coordinator_sync_replicas(const coordinator_service_t *entry)
{
	const catalog_t *catalog =
		relay_services_catalog(entry->coordinator->services);
	const catalog_service_t *service =
		catalog ? catalog_service(catalog, entry->name) : NULL;

	return service ? service->sync_replicas : 0;
}

static relay_service_t *service_of(const coordinator_service_t *entry)
{
	return relay_services_find(entry->coordinator->services, entry->name);
}

bool coordinator_holders_update(const coordinator_service_t *entry,
				const char *primary, sync_holders_t *holders)
{
	const GPtrArray *servers = relay_service_servers(service_of(entry));
	/* One more than are remembered, so that an overflow is noticed. */
	sync_replica_t replicas[SYNC_HOLDERS_MAX + 1];
	uint32_t count = 0;

	for (guint i = 0; i < servers->len && count < G_N_ELEMENTS(replicas);
	     i++) {
		const backend_entry_t *server =
			relay_server_entry(servers->pdata[i]);

		if (strcmp(server->id, primary))
			replicas[count++] = (sync_replica_t){
				.id = server->id,
				.started_ms = server->started_ms};
	}
	return sync_holders_update(holders, replicas, count, clock_boot_ms());
}

static void finish_poll(poll_t *poll)
{
	coordinator_service_t *entry = poll->entry;

	entry->polling_holders = false;
	if (poll->successor)
		entry->successor_ms = poll->started_ms;
	if (poll->term == entry->record.term &&
	    takeover_phase(entry->takeover) == TAKEOVER_IDLE &&
	    sync_holders_departed(&entry->record.holders) &&
	    poll->complete >= coordinator_sync_replicas(entry)) {
		sync_holders_superseded(&entry->record.holders,
					poll->started_ms);
		entry->holders_changed = true;
		log_event(LOG_LEVEL_NOTICE, "sync_holders_superseded",
			  "service=%s left=%u complete=%u", entry->name,
			  entry->record.holders.count, poll->complete);
	}
	g_free(poll);
}

static void on_replica(void *context, const relay_control_answer_t *answer)
{
	g_autofree query_t *query = context;
	poll_t *poll = query->poll;
	const bool complete =
		answer->result == RELAY_CONTROL_DONE &&
		answer->status.role == SERVER_REPLICA &&
		log_point_covers(answer->status.received, poll->end);

	poll->complete += complete;
	poll->successor |= complete && !query->draining;
	if (!--poll->pending)
		finish_poll(poll);
}

static void ask_replicas(poll_t *poll)
{
	relay_service_t *service = service_of(poll->entry);
	const GPtrArray *servers = relay_service_servers(service);

	/* One more, so that the poll does not end before all were asked. */
	poll->pending = 1;
	for (guint i = 0; i < servers->len; i++) {
		const backend_entry_t *server =
			relay_server_entry(servers->pdata[i]);
		query_t *query;

		if (!strcmp(server->id, poll->entry->record.primary))
			continue;
		query = g_new0(query_t, 1);
		query->poll = poll;
		query->draining = server->draining;
		poll->pending++;
		relay_control_run(service, server->id, RELAY_CONTROL_STATUS, 0,
				  STATUS_TIMEOUT_MS, on_replica, query);
	}
	if (!--poll->pending)
		finish_poll(poll);
}

static void on_primary(void *context, const relay_control_answer_t *answer)
{
	poll_t *poll = context;

	if (answer->result == RELAY_CONTROL_DONE &&
	    answer->status.role == SERVER_PRIMARY &&
	    answer->status.term == poll->term &&
	    poll->term == poll->entry->record.term) {
		poll->end = answer->status.received;
		ask_replicas(poll);
		return;
	}
	poll->entry->polling_holders = false;
	g_free(poll);
}

static void start_poll(coordinator_service_t *entry, uint64_t now_ms)
{
	poll_t *poll = g_new0(poll_t, 1);

	poll->entry = entry;
	poll->started_ms = now_ms;
	poll->term = entry->record.term;
	entry->polling_holders = true;
	entry->holders_polled_ms = now_ms;
	relay_control_run(service_of(entry), entry->record.primary,
			  RELAY_CONTROL_STATUS, 0, STATUS_TIMEOUT_MS,
			  on_primary, poll);
}

bool coordinator_may_hand_over(coordinator_service_t *entry, uint64_t now_ms)
{
	if (!coordinator_sync_replicas(entry))
		return true;
	if (!entry->leaving_since_ms)
		entry->leaving_since_ms = now_ms;
	if (now_ms < entry->successor_ms + SUCCESSOR_VALID_MS ||
	    now_ms >= entry->leaving_since_ms + LEAVING_MS_MAX)
		return true;
	if (!entry->polling_holders &&
	    now_ms >= entry->holders_polled_ms + LEAVING_POLL_INTERVAL_MS)
		start_poll(entry, now_ms);
	return false;
}

static void on_saved(void *context, const kv_answer_t *answer)
{
	coordinator_service_t *entry = context;

	entry->saving_holders = false;
	if (answer->result == KV_OK && answer->revision > entry->revision)
		entry->revision = answer->revision;
	else if (answer->result != KV_OK)
		entry->holders_changed = true;
}

/* Lets the next coordinator know which replicas may hold commits. */
static void save(coordinator_service_t *entry)
{
	primary_record_t record = entry->record;

	record.token = (uint64_t)entry->coordinator->held_revision;
	record.attempt = ++entry->coordinator->write_attempts;
	entry->saving_holders = true;
	entry->holders_changed = false;
	coordinator_write_record(entry, &record, on_saved, entry);
}

static void follow_holders(coordinator_service_t *entry)
{
	const uint32_t known = entry->record.holders.count;
	const relay_server_t *primary =
		relay_service_server(service_of(entry), entry->record.primary);
	const bool departed = coordinator_holders_update(
		entry, entry->record.primary, &entry->record.holders);

	if (primary)
		entry->primary_started_ms =
			relay_server_entry(primary)->started_ms;
	entry->holders_changed |= known != entry->record.holders.count;
	if (departed)
		log_event(LOG_LEVEL_NOTICE, "sync_holder_departed",
			  "service=%s holders=%u departed=%u", entry->name,
			  entry->record.holders.count,
			  sync_holders_departed(&entry->record.holders));
}

static void log_wait(coordinator_service_t *entry, uint64_t now_ms)
{
	const takeover_phase_t phase = takeover_phase(entry->takeover);
	const uint32_t unheard = takeover_unheard(entry->takeover);

	if (phase != TAKEOVER_CHOOSE ||
	    unheard < coordinator_sync_replicas(entry) ||
	    now_ms < entry->wait_logged_ms + WAIT_LOG_MS)
		return;
	entry->wait_logged_ms = now_ms;
	log_event(LOG_LEVEL_WARNING, "takeover_waits",
		  "service=%s reason=replicas_unheard unheard=%u departed=%u "
		  "sync_replicas=%u",
		  entry->name, unheard,
		  sync_holders_departed(&entry->record.holders),
		  coordinator_sync_replicas(entry));
}

void coordinator_holders_guard(coordinator_service_t *entry)
{
	const sync_holders_t *holders = &entry->record.holders;
	const takeover_guarantee_t guarantee = {
		.sync_replicas = coordinator_sync_replicas(entry),
		.departed = holders->overflowed ?
				    SYNC_HOLDERS_MAX :
				    sync_holders_departed(holders),
	};

	takeover_set_guarantee(entry->takeover, &guarantee);
}

void coordinator_holders_step(coordinator_service_t *entry, uint64_t now_ms)
{
	const bool idle = takeover_phase(entry->takeover) == TAKEOVER_IDLE;

	if (!coordinator_sync_replicas(entry)) {
		entry->record.holders = (sync_holders_t){0};
		entry->holders_changed = false;
		if (!idle)
			coordinator_holders_guard(entry);
		return;
	}
	follow_holders(entry);
	if (!idle) {
		coordinator_holders_guard(entry);
		coordinator_takeover_set_servers(entry);
		log_wait(entry, now_ms);
		return;
	}
	if (!entry->current || entry->record.takeover_term)
		return;
	if (entry->holders_changed && !entry->saving_holders)
		save(entry);
	if (sync_holders_departed(&entry->record.holders) &&
	    !entry->polling_holders &&
	    now_ms >= entry->holders_polled_ms + POLL_INTERVAL_MS)
		start_poll(entry, now_ms);
}

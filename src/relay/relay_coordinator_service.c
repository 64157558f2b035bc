#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"
#include "transport/port_probe.h"

/* Timeout of the status query to a primary. */
#define STATUS_TIMEOUT_MS 400

/* Timeout of the TCP connection to the primary's port. */
#define PORT_TIMEOUT_MS 350

/* Time without a server entry after which a primary is replaced. */
#define PRIMARY_ABSENT_MS 1500

static relay_service_t *service_of(const coordinator_service_t *entry)
{
	return relay_services_find(entry->coordinator->services, entry->name);
}

/* @return all servers of the service, however many, as takeover_server_t */
static GArray *list_servers(const coordinator_service_t *entry)
{
	const GPtrArray *servers = relay_service_servers(service_of(entry));
	GArray *known = g_array_new(FALSE, TRUE, sizeof(takeover_server_t));

	for (guint i = 0; i < servers->len; i++) {
		const backend_entry_t *server =
			relay_server_entry(servers->pdata[i]);
		const takeover_server_t one = {
			.id = server->id,
			.draining = server->draining,
			.started_ms = server->started_ms,
		};

		g_array_append_val(known, one);
	}
	return known;
}

void coordinator_takeover_set_servers(coordinator_service_t *entry)
{
	g_autoptr(GArray) known = list_servers(entry);

	takeover_set_servers(entry->takeover,
			     (const takeover_server_t *)known->data,
			     known->len);
}

/*
 * Tells the takeover what was ordered before this node acquired the lease. If
 * the record changes before the takeover has written to it, the takeover ends
 * and is started again with what the new record says.
 */
static void assume_order(coordinator_service_t *entry, takeover_kind_t kind)
{
	const relay_coordinator_t *coordinator = entry->coordinator;
	const primary_record_t *record = &entry->record;
	const char *ordered = record->ordered;

	if (entry->order_assumed &&
	    record->token == (uint64_t)coordinator->held_revision)
		return;
	entry->order_assumed = true;
	if (kind == TAKEOVER_RESTORED && !(entry->current && *ordered))
		ordered = NULL;
	if (record->order_unknown && record->takeover_term)
		ordered = NULL;
	takeover_assume_order(entry->takeover, ordered,
			      coordinator->settled_ms);
}

/*
 * @return the kind of takeover that continues the one in the record; nothing
 *         has changed if no server was ordered
 */
static takeover_kind_t unfinished_kind(const primary_record_t *record)
{
	if (record->restored)
		return TAKEOVER_RESTORED;
	if (record->order_unknown || *record->ordered)
		return TAKEOVER_UNFINISHED;
	return TAKEOVER_LOST;
}

void coordinator_takeover_start(coordinator_service_t *entry,
				takeover_kind_t kind, const char *reason)
{
	g_autoptr(GArray) known = list_servers(entry);
	const uint64_t now_ms = clock_boot_ms();
	const uint64_t settled_ms = entry->coordinator->settled_ms;
	const char *ordered;

	assume_order(entry, kind);
	ordered = takeover_ordered(entry->takeover);
	log_event(LOG_LEVEL_NOTICE, "takeover_started",
		  "service=%s term=%" PRIu64 " primary=%s reason=%s "
		  "servers=%u sync_replicas=%u heard_ms_ago=%" PRIu64
		  " ordered=%s ordered_by_others_ms=%" PRIu64,
		  entry->name, entry->record.term, entry->record.primary,
		  reason, known->len, coordinator_sync_replicas(entry),
		  now_ms - entry->watch.heard_ms, ordered ? ordered : "unknown",
		  settled_ms > now_ms ? settled_ms - now_ms : 0);
	coordinator_holders_guard(entry);
	takeover_start(entry->takeover, entry->record.term,
		       entry->record.primary, kind,
		       (const takeover_server_t *)known->data, known->len,
		       now_ms);
}

/* A probe of the primary: a connection to its port and a status query. */
typedef struct {
	coordinator_service_t *entry;
	char *server;	  /* id of the server probed */
	uint32_t pending; /* results awaited */
	bool port_probed; /* its connection was attempted */
	bool connected;	  /* the port accepted a connection */
	relay_control_result_t result;
} probe_t;

static void probe_finish(probe_t *probe)
{
	coordinator_service_t *entry = probe->entry;
	const uint64_t now_ms = clock_boot_ms();

	/*
	 * A port that accepts connections shows that an unresponsive server is
	 * slow and not dead. This does not hold if the connections are broken
	 * at once, as by a relay in front of a dead server.
	 */
	const bool alive = probe->result == RELAY_CONTROL_DONE ||
			   probe->result == RELAY_CONTROL_BUSY ||
			   (probe->result == RELAY_CONTROL_UNRESPONSIVE &&
			    probe->connected);

	if (--probe->pending)
		return;
	entry->probing = false;
	if (strcmp(probe->server, entry->record.primary))
		log_event(LOG_LEVEL_INFO, "primary_probe_outdated",
			  "service=%s server=%s", entry->name, probe->server);
	else if (alive)
		primary_watch_record_message(&entry->watch, now_ms);
	else
		primary_watch_failed(&entry->watch,
				     probe->result == RELAY_CONTROL_UNREACHABLE,
				     now_ms);
	g_free(probe->server);
	g_free(probe);
}

static void on_port_probed(void *context, bool connected)
{
	probe_t *probe = context;

	probe->connected = connected;
	probe_finish(probe);
}

static void probe_port(probe_t *probe, const backend_entry_t *server)
{
	probe->port_probed = true;
	probe->pending++;
	port_probe_start(probe->entry->coordinator->base, &server->endpoint,
			 PORT_TIMEOUT_MS, on_port_probed, probe);
}

static void on_primary_status(void *context,
			      const relay_control_answer_t *answer)
{
	probe_t *probe = context;
	relay_server_t *server =
		relay_service_server(service_of(probe->entry), probe->server);

	probe->result = answer->result;
	if (server && !probe->port_probed &&
	    answer->result == RELAY_CONTROL_UNRESPONSIVE)
		probe_port(probe, relay_server_entry(server));
	probe_finish(probe);
}

static void probe_primary(coordinator_service_t *entry,
			  const relay_server_t *primary)
{
	const backend_entry_t *server = relay_server_entry(primary);
	probe_t *probe;

	if (entry->probing)
		return;
	entry->probing = true;
	probe = g_new0(probe_t, 1);
	probe->entry = entry;
	probe->server = g_strdup(server->id);
	probe->pending = 1;
	/* Among many, only the port of one that does not answer is probed. */
	if (entry->watch.failures ||
	    !relay_services_is_large(entry->coordinator->services))
		probe_port(probe, server);
	relay_control_run(service_of(entry), server->id, RELAY_CONTROL_STATUS,
			  0, STATUS_TIMEOUT_MS, on_primary_status, probe);
}

/* @return whether another server is available to become the primary */
static bool has_candidate(const coordinator_service_t *entry)
{
	const GPtrArray *servers = relay_service_servers(service_of(entry));

	for (guint i = 0; i < servers->len; i++) {
		const backend_entry_t *server =
			relay_server_entry(servers->pdata[i]);

		if (!server->draining &&
		    strcmp(server->id, entry->record.primary))
			return true;
	}
	return false;
}

static void check_absence(coordinator_service_t *entry, uint64_t now_ms)
{
	if (!entry->absent_since_ms)
		entry->absent_since_ms = now_ms;
	if (now_ms >= entry->absent_since_ms + PRIMARY_ABSENT_MS)
		coordinator_takeover_start(entry, TAKEOVER_LOST, "absent");
}

void coordinator_service_reset(coordinator_service_t *entry)
{
	entry->watch = (primary_watch_t){.heard_ms = clock_boot_ms()};
	entry->primary_started_ms = 0;
	entry->leaving_since_ms = 0;
	entry->successor_ms = 0;
	entry->absent_since_ms = 0;
}

static uint32_t probe_after_ms(const coordinator_service_t *entry)
{
	return primary_watch_probe_after_ms(
		g_hash_table_size(entry->coordinator->entries));
}

void coordinator_service_step(coordinator_service_t *entry, uint64_t now_ms)
{
	relay_server_t *primary;
	const char *handover_reason;
	bool leaving;

	coordinator_holders_step(entry, now_ms);
	if (takeover_phase(entry->takeover) != TAKEOVER_IDLE) {
		coordinator_takeover_step(entry, now_ms);
		return;
	}
	if (!entry->current) {
		coordinator_initial_prepare(entry, now_ms);
		return;
	}
	coordinator_release_step(entry, now_ms);
	if (!has_candidate(entry))
		return;
	if (entry->record.takeover_term) {
		coordinator_takeover_start(
			entry, unfinished_kind(&entry->record), "unfinished");
		return;
	}
	primary =
		relay_service_server(service_of(entry), entry->record.primary);
	if (!primary) {
		check_absence(entry, now_ms);
		return;
	}
	entry->absent_since_ms = 0;
	leaving = relay_server_entry(primary)->draining;
	if (!leaving)
		entry->leaving_since_ms = 0;
	if (leaving && coordinator_may_hand_over(entry, now_ms)) {
		coordinator_takeover_start(entry, TAKEOVER_LEAVING, "draining");
		return;
	}
	primary_watch_record_message(&entry->watch,
				     relay_server_last_received_ms(primary));
	if (primary_watch_is_lost(&entry->watch, now_ms))
		coordinator_takeover_start(entry, TAKEOVER_LOST, "lost");
	else if (primary_watch_must_probe(&entry->watch, probe_after_ms(entry),
					  now_ms))
		probe_primary(entry, primary);
	else if (!leaving &&
		 (handover_reason = coordinator_handover_reason(
			  entry, service_of(entry), primary, now_ms)))
		coordinator_takeover_start(entry, TAKEOVER_HANDOVER,
					   handover_reason);
}

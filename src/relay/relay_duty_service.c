#include "relay/relay_duty_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"
#include "transport/port_probe.h"

/* Timeout of the status query to a primary. */
#define ASK_TIMEOUT_MS 400

/* Timeout of the TCP connection to the primary's port. */
#define PROBE_TIMEOUT_MS 350

/* Time without a server entry after which a primary is replaced. */
#define ABSENT_MS 1500

static relay_service_t *service_of(const duty_service_t *entry)
{
	return relay_services_find(entry->duty->services, entry->name);
}

void duty_takeover_start(duty_service_t *entry, takeover_kind_t kind,
			 const char *reason)
{
	const GPtrArray *servers = relay_service_servers(service_of(entry));
	takeover_server_t known[TAKEOVER_SERVERS_MAX];
	const uint64_t now_ms = clock_boot_ms();
	uint32_t count = 0;

	for (guint i = 0; i < servers->len && count < TAKEOVER_SERVERS_MAX;
	     i++) {
		const backend_entry_t *server =
			relay_server_entry(servers->pdata[i]);

		known[count++] = (takeover_server_t){
			.id = server->id,
			.draining = server->draining,
			.started_ms = server->started_ms,
		};
	}
	log_event(LOG_LEVEL_NOTICE, "takeover_started",
		  "service=%s term=%" PRIu64 " primary=%s reason=%s "
		  "servers=%u heard_ms_ago=%" PRIu64,
		  entry->name, entry->record.term, entry->record.primary,
		  reason, count, now_ms - entry->watch.heard_ms);
	takeover_start(entry->takeover, entry->record.term,
		       entry->record.primary, kind, known, count, now_ms);
}

/* A probe of the primary: a connection to its port and a status query. */
typedef struct {
	duty_service_t *entry;
	char *server;	  /* id of the server probed */
	uint32_t pending; /* results awaited */
	bool connected;	  /* the port accepted a connection */
	relay_control_result_t result;
} look_t;

static void look_end(look_t *look)
{
	duty_service_t *entry = look->entry;
	const uint64_t now_ms = clock_boot_ms();

	/*
	 * A port that accepts connections shows that an unresponsive server is
	 * slow and not dead. This does not hold if the connections are broken
	 * at once, as by a relay in front of a dead server.
	 */
	const bool alive =
		look->result == RELAY_CONTROL_DONE ||
		look->result == RELAY_CONTROL_BUSY ||
		(look->result == RELAY_CONTROL_SILENT && look->connected);

	if (--look->pending)
		return;
	entry->asking = false;
	if (strcmp(look->server, entry->record.primary))
		log_event(LOG_LEVEL_INFO, "primary_probe_outdated",
			  "service=%s server=%s", entry->name, look->server);
	else if (alive)
		primary_watch_heard(&entry->watch, now_ms);
	else
		primary_watch_failed(&entry->watch,
				     look->result == RELAY_CONTROL_UNREACHABLE,
				     now_ms);
	g_free(look->server);
	g_free(look);
}

static void on_probed(void *context, bool connected)
{
	look_t *look = context;

	look->connected = connected;
	look_end(look);
}

static void on_primary_asked(void *context,
			     const relay_control_answer_t *answer)
{
	look_t *look = context;

	look->result = answer->result;
	look_end(look);
}

static void ask_primary(duty_service_t *entry, const relay_server_t *primary)
{
	const backend_entry_t *server = relay_server_entry(primary);
	look_t *look;

	if (entry->asking)
		return;
	entry->asking = true;
	look = g_new0(look_t, 1);
	look->entry = entry;
	look->server = g_strdup(server->id);
	look->pending = 2;
	port_probe_start(entry->duty->base, &server->endpoint, PROBE_TIMEOUT_MS,
			 on_probed, look);
	relay_control_ask(service_of(entry), server->id, RELAY_CONTROL_STATUS,
			  0, ASK_TIMEOUT_MS, on_primary_asked, look);
}

/* @return whether another server is available to become the primary */
static bool has_successor(const duty_service_t *entry)
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

static void step_absent(duty_service_t *entry, uint64_t now_ms)
{
	if (!entry->absent_ms)
		entry->absent_ms = now_ms;
	if (now_ms >= entry->absent_ms + ABSENT_MS)
		duty_takeover_start(entry, TAKEOVER_LOST, "absent");
}

void duty_service_reset(duty_service_t *entry)
{
	entry->watch = (primary_watch_t){.heard_ms = clock_boot_ms()};
	entry->absent_ms = 0;
}

void duty_service_step(duty_service_t *entry, uint64_t now_ms)
{
	relay_server_t *primary;
	const char *relief;

	if (takeover_phase(entry->takeover) != TAKEOVER_IDLE) {
		takeover_step(entry->takeover, now_ms);
		return;
	}
	if (!entry->revision) {
		duty_first_prepare(entry, now_ms);
		return;
	}
	if (!has_successor(entry))
		return;
	if (entry->record.takeover_term) {
		duty_takeover_start(entry, TAKEOVER_LOST, "unfinished");
		return;
	}
	primary =
		relay_service_server(service_of(entry), entry->record.primary);
	if (!primary) {
		step_absent(entry, now_ms);
		return;
	}
	entry->absent_ms = 0;
	if (relay_server_entry(primary)->draining) {
		duty_takeover_start(entry, TAKEOVER_LEAVING, "draining");
		return;
	}
	primary_watch_heard(&entry->watch, relay_server_heard_ms(primary));
	if (primary_watch_is_lost(&entry->watch, now_ms))
		duty_takeover_start(entry, TAKEOVER_LOST, "lost");
	else if (primary_watch_must_ask(&entry->watch, now_ms))
		ask_primary(entry, primary);
	else if ((relief = duty_relief_reason(entry, service_of(entry), primary,
					      now_ms)))
		duty_takeover_start(entry, TAKEOVER_RELIEF, relief);
}

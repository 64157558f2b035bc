#include "relay/relay_explain.h"

#include <inttypes.h>

#include "base/clock.h"
#include "relay/relay_placement.h"

static void add_choice(GString *text, const relay_server_t *server,
		       const char *reason)
{
	g_string_append_printf(text, "choice server=%s reason=%s\n",
			       server ? relay_server_entry(server)->id : "-",
			       reason);
}

static void add_primary(GString *text, const relay_service_t *service,
			const char *reason)
{
	const relay_server_t *primary = relay_service_primary(service);

	add_choice(text, primary, primary ? reason : "waits_for_primary");
}

static void add_server(GString *text, const relay_server_t *server,
		       const read_candidate_t *candidate,
		       const zone_server_t *state, uint64_t now_ms)
{
	g_string_append_printf(
		text,
		"server=%s place=%s usable=%d held_back=%d run_ms=%.0f "
		"wait_ms=%" PRIu64 " behind_ms=%" PRIu64
		" rejected=%.2f share=%.2f full=%d\n",
		relay_server_entry(server)->id,
		read_distance_name(read_candidate_distance(candidate)),
		candidate->usable, candidate->held_back,
		zone_server_run_ms(state, candidate, now_ms),
		candidate->wait_ms, candidate->behind_ms, state->rejected,
		state->share, state->full);
}

static void add_read(GString *text, relay_service_t *service,
		     const relay_placement_t *placement, log_point_t point)
{
	const GPtrArray *servers = relay_service_servers(service);
	const uint64_t now_ms = clock_boot_ms();
	zone_spill_t spill = *relay_service_spill(service);
	zone_server_t copies[READ_PLACEMENT_SERVERS_MAX];
	relay_placement_view_t view;
	zone_spill_choice_t choice;

	relay_placement_view(placement, point, now_ms, &view);
	for (uint32_t i = 0; i < view.count; i++) {
		add_server(text, servers->pdata[i], &view.candidates[i],
			   view.states[i], now_ms);
		copies[i] = *view.states[i];
		view.states[i] = &copies[i];
	}
	choice = zone_spill_choose(&spill, &view.read, view.candidates,
				   view.states, view.count, now_ms);
	g_string_append_printf(text, "away=%.2f needed_ms=%" PRIu64 "\n",
			       choice.share, spill.needed_ms);
	if (choice.server < 0)
		add_primary(text, service, "no_server");
	else
		add_choice(text, servers->pdata[choice.server],
			   zone_spill_reason_name(choice.reason));
}

char *relay_explain(relay_services_t *services,
		    const catalog_database_t *database, bool writes)
{
	relay_service_t *service =
		relay_services_find(services, database->service);
	const uint64_t now_ms = clock_boot_ms();
	const relay_request_t request = {
		.writes = writes,
		.database = database,
		.received_ms = now_ms,
	};
	const relay_placement_t placement = {
		.service = service,
		.request = &request,
		.deadline_ms = now_ms + database->timeout_ms,
	};
	GString *text = g_string_new(NULL);
	log_point_t point;

	g_string_append_printf(text, "database=%s service=%s\n", database->name,
			       database->service);
	if (!service)
		add_choice(text, NULL, "unknown_service");
	else if (writes || database->reads == READS_AT_PRIMARY)
		add_primary(text, service, "needs_primary");
	else if (!relay_placement_point(&placement, &point))
		add_primary(text, service, "no_recent_log_point");
	else
		add_read(text, service, &placement, point);
	return g_string_free(text, FALSE);
}

#include "relay/relay_placement.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/*
 * Callers need a read within this part of the target latency: an operation is
 * up to a dozen statements, and a rejected one must leave time for a retry.
 */
#define NEEDED_DIVISOR 3

static bool was_tried(const relay_placement_t *placement,
		      const relay_server_t *server)
{
	for (uint32_t i = 0; i < placement->tried_count; i++)
		if (placement->tried[i] == server)
			return true;
	return false;
}

void relay_placement_note_tried(relay_placement_t *placement,
				const relay_server_t *server)
{
	if (placement->tried_count < RELAY_PLACEMENT_TRIED_MAX &&
	    !was_tried(placement, server))
		placement->tried[placement->tried_count++] = server;
}

uint32_t relay_placement_rank(const relay_placement_t *placement)
{
	const relay_request_t *request = placement->request;
	const catalog_reads_t reads = request->database->reads;
	const send_rank_t rank = {
		.priority = request->database->priority,
		.served_elsewhere =
			reads != READS_AT_PRIMARY && !request->writes,
		.accepts_any_age = reads == READS_BOUNDED,
		.opens_transaction = request->begin_id,
	};

	return send_budget_rank(&rank);
}

bool relay_placement_allows(const relay_placement_t *placement,
			    relay_server_t *server)
{
	return send_budget_allows(relay_server_budget(server),
				  relay_placement_rank(placement),
				  clock_boot_ms());
}

bool relay_placement_point(const relay_placement_t *placement,
			   log_point_t *point)
{
	const relay_request_t *request = placement->request;
	const point_samples_t *samples =
		relay_service_samples(placement->service);
	const uint64_t age_ms = request->database->max_age_ms;
	const uint64_t since_ms = request->received_ms > age_ms ?
					  request->received_ms - age_ms :
					  0;

	if (!point_samples_since(samples, since_ms, point))
		return false;
	/*
	 * Changes of an older term may have been rolled back by a takeover.
	 * Those that survived precede all samples of the current primary.
	 */
	if (request->database->reads == READS_OWN_WRITES &&
	    request->own_term == relay_service_lease(placement->service)->term)
		*point = log_point_max(*point, request->own_point);
	return true;
}

uint64_t relay_placement_behind_ms(const relay_placement_t *placement,
				   const relay_server_t *server,
				   log_point_t point)
{
	const uint64_t now_ms = clock_boot_ms();
	const uint64_t age_ms = point_samples_age_ms(
		relay_service_samples(placement->service), point, now_ms);
	const uint64_t lag_ms = relay_server_lag_ms(server, now_ms);

	return lag_ms > age_ms ? lag_ms - age_ms : 0;
}

/* Time in which callers need a read's answer. */
static uint64_t needed_ms(const relay_placement_t *placement)
{
	const catalog_database_t *database = placement->request->database;
	const uint32_t target_ms = database->target_latency_ms ?
					   database->target_latency_ms :
					   database->timeout_ms;

	return MIN(target_ms, database->timeout_ms) / NEEDED_DIVISOR;
}

static read_candidate_t candidate_of(const relay_placement_t *placement,
				     relay_server_t *server, log_point_t point,
				     uint64_t now_ms)
{
	relay_services_t *services = relay_service_services(placement->service);
	const char *domain = relay_services_settings(services)->failure_domain;
	const backend_entry_t *entry = relay_server_entry(server);
	const bool reachable = !entry->draining &&
			       !was_tried(placement, server) &&
			       relay_server_is_usable(server, now_ms);
	const bool allowed = relay_placement_allows(placement, server);

	return (read_candidate_t){
		.usable = reachable && allowed,
		.leaving = entry->draining,
		.held_back = reachable && !allowed,
		.near = !strcmp(entry->failure_domain, domain),
		.same_region = relay_services_same_region(
			services, entry->failure_domain),
		.wait_ms = relay_server_wait_ms(server),
		.run_ms = relay_server_mean_run_ms(server),
		.behind_ms =
			relay_placement_behind_ms(placement, server, point),
	};
}

static void count_choice(const relay_placement_t *placement,
			 const zone_spill_choice_t *choice)
{
	relay_services_t *services = relay_service_services(placement->service);
	g_autofree char *labels = metrics_labels(
		"place", read_distance_name(choice->distance), "reason",
		zone_spill_reason_name(choice->reason), NULL);

	metric_add(metrics_counter(relay_services_settings(services)->metrics,
				   "toucanhook_reads_placed_total", labels),
		   1);
}

static void log_share(const relay_placement_t *placement,
		      const zone_spill_choice_t *choice)
{
	const zone_spill_t *spill = relay_service_spill(placement->service);

	log_event(LOG_LEVEL_NOTICE, "read_share_changed",
		  "service=%s away=%.2f reason=%s needed_ms=%" PRIu64
		  " answer_bytes=%.0f",
		  relay_service_name(placement->service), choice->share,
		  zone_spill_reason_name(choice->share > 0 ? spill->reason :
							     ZONE_SPILL_STAYS),
		  spill->needed_ms, spill->answer_bytes);
}

void relay_placement_view(const relay_placement_t *placement, log_point_t point,
			  uint64_t now_ms, relay_placement_view_t *view)
{
	const GPtrArray *servers = relay_service_servers(placement->service);

	view->read = (zone_spill_read_t){
		.needed_ms = needed_ms(placement),
		.remaining_ms = placement->deadline_ms > now_ms ?
					placement->deadline_ms - now_ms :
					0,
		.repeated = placement->chosen || placement->tried_count,
	};
	view->count = MIN(servers->len, READ_PLACEMENT_SERVERS_MAX);
	for (uint32_t i = 0; i < view->count; i++) {
		relay_server_t *server = servers->pdata[i];

		view->candidates[i] =
			candidate_of(placement, server, point, now_ms);
		view->states[i] = relay_server_zone(server);
	}
}

relay_server_t *relay_placement_choose(relay_placement_t *placement,
				       log_point_t point)
{
	const GPtrArray *servers = relay_service_servers(placement->service);
	const uint64_t now_ms = clock_boot_ms();
	relay_placement_view_t view;
	zone_spill_choice_t choice;
	relay_server_t *chosen;

	relay_placement_view(placement, point, now_ms, &view);
	choice = zone_spill_choose(relay_service_spill(placement->service),
				   &view.read, view.candidates, view.states,
				   view.count, now_ms);
	if (choice.changed)
		log_share(placement, &choice);
	if (choice.server < 0)
		return NULL;
	chosen = servers->pdata[choice.server];
	if (chosen != placement->chosen)
		count_choice(placement, &choice);
	placement->chosen = chosen;
	return chosen;
}

void relay_placement_record_answer(const relay_placement_t *placement,
				   relay_server_t *server,
				   const relay_answer_t *answer,
				   uint64_t now_ms)
{
	zone_server_t *zone = relay_server_zone(server);

	if (answer->failed) {
		if (answer->error == RELAY_ERROR_OVERLOADED)
			zone_server_rejected(zone, now_ms);
		return;
	}
	zone_server_answered(zone, now_ms - answer->sent_ms, now_ms);
	if (placement->chosen && answer->body)
		zone_spill_answered(relay_service_spill(placement->service),
				    answer->body->len);
}

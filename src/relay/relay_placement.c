#include "relay/relay_placement.h"

#include <string.h>

#include "base/clock.h"
#include "coordination/read_placement.h"

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

relay_server_t *relay_placement_choose(const relay_placement_t *placement,
				       log_point_t point)
{
	relay_services_t *services = relay_service_services(placement->service);
	const char *domain = relay_services_settings(services)->failure_domain;
	const GPtrArray *servers = relay_service_servers(placement->service);
	read_candidate_t candidates[READ_PLACEMENT_SERVERS_MAX] = {{0}};
	const uint32_t count = MIN(servers->len, READ_PLACEMENT_SERVERS_MAX);
	const uint64_t now_ms = clock_boot_ms();
	int chosen;

	for (uint32_t i = 0; i < count; i++) {
		relay_server_t *server = servers->pdata[i];
		const backend_entry_t *entry = relay_server_entry(server);
		read_candidate_t *candidate = &candidates[i];

		candidate->usable = !entry->draining &&
				    !was_tried(placement, server) &&
				    relay_placement_allows(placement, server) &&
				    relay_server_is_usable(server, now_ms);
		candidate->near = !strcmp(entry->failure_domain, domain);
		candidate->same_region = relay_services_same_region(
			services, entry->failure_domain);
		candidate->wait_ms = relay_server_wait_ms(server);
		candidate->run_ms = relay_server_mean_run_ms(server);
		candidate->behind_ms =
			relay_placement_behind_ms(placement, server, point);
		/* Excludes servers that would answer after the deadline. */
		candidate->usable &=
			now_ms + candidate->behind_ms + candidate->run_ms <
			placement->deadline_ms;
	}
	chosen = read_placement_choose(candidates, count);
	return chosen < 0 ? NULL : servers->pdata[chosen];
}

#include "relay/relay_service_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

void relay_service_update_replicas(relay_service_t *service)
{
	const char *ids[PRIMARY_LEASE_REPLICAS_MAX];
	uint32_t count = 0;

	for (guint i = 0; i < service->servers->len; i++) {
		const backend_entry_t *entry =
			relay_server_entry(service->servers->pdata[i]);

		if (strcmp(entry->id, service->lease.primary) &&
		    count < PRIMARY_LEASE_REPLICAS_MAX)
			ids[count++] = entry->id;
	}
	primary_lease_set_replicas(&service->lease, ids, count);
}

relay_server_t *relay_service_server(const relay_service_t *service,
				     const char *id)
{
	for (guint i = 0; i < service->servers->len; i++) {
		relay_server_t *server = service->servers->pdata[i];

		if (!strcmp(relay_server_entry(server)->id, id))
			return server;
	}
	return NULL;
}

/* Records when a takeover begins, and how long it took when it has ended. */
static void note_takeover(relay_service_t *service)
{
	const uint64_t now_ms = clock_boot_ms();

	if (service->lease.takeover && !service->takeover_since_ms) {
		service->takeover_since_ms = now_ms;
	} else if (!service->lease.takeover && service->takeover_since_ms) {
		takeover_times_add(&service->services->takeovers,
				   now_ms - service->takeover_since_ms);
		service->takeover_since_ms = 0;
	}
}

bool relay_service_takeover_end(const relay_service_t *service,
				takeover_end_t *end)
{
	if (!service->takeover_since_ms)
		return false;
	*end = takeover_times_end(&service->services->takeovers,
				  service->takeover_since_ms, clock_boot_ms());
	return true;
}

void relay_service_set_primary(relay_service_t *service, uint64_t term,
			       const char *primary, bool takeover,
			       int64_t revision)
{
	const bool changed = term != service->lease.term ||
			     takeover != service->lease.takeover ||
			     strcmp(primary, service->lease.primary);

	if (strcmp(primary, service->lease.primary)) {
		g_clear_pointer(&service->samples, g_free);
		service->primary_since_ms = clock_boot_ms();
	}
	primary_lease_apply_record(&service->lease, term, primary, takeover,
				   revision);
	note_takeover(service);
	if (!changed)
		return;
	log_event(LOG_LEVEL_NOTICE, "primary_changed",
		  "service=%s term=%" PRIu64 " primary=%s takeover=%d "
		  "revision=%" PRId64 " waiting=%u",
		  service->name, term, primary, takeover, revision,
		  service->parked.length);
	relay_service_update_replicas(service);
	relay_services_wake(service->services);
}

const char *relay_service_name(const relay_service_t *service)
{
	return service->name;
}

relay_services_t *relay_service_services(const relay_service_t *service)
{
	return service->services;
}

primary_lease_t *relay_service_lease(relay_service_t *service)
{
	return &service->lease;
}

bool relay_service_has_samples(const relay_service_t *service)
{
	return service->samples;
}

point_samples_t *relay_service_samples(relay_service_t *service)
{
	if (!service->samples)
		service->samples = g_new0(point_samples_t, 1);
	return service->samples;
}

zone_spill_t *relay_service_spill(relay_service_t *service)
{
	return &service->spill;
}

uint64_t relay_service_verified_ms(const relay_service_t *service)
{
	return service->verified_ms;
}

const GPtrArray *relay_service_servers(const relay_service_t *service)
{
	return service->servers;
}

bool relay_service_primary_valid(const relay_service_t *service)
{
	return primary_lease_valid(&service->lease, &service->services->lease,
				   clock_boot_ms());
}

relay_server_t *relay_service_primary(const relay_service_t *service)
{
	if (!relay_service_primary_valid(service))
		return NULL;
	return relay_service_server(service, service->lease.primary);
}

void relay_service_record_point(relay_service_t *service,
				relay_server_t *server, log_point_t point,
				uint64_t sent_ms)
{
	const uint64_t now_ms = clock_boot_ms();

	if (!point.term || relay_server_is_retired(server))
		return;
	/*
	 * A lease that is valid now was also valid when the request was sent.
	 * An answer to a request from before this primary became known may have
	 * been given while the server was still a replica.
	 */
	if (server == relay_service_primary(service)) {
		if (sent_ms >= service->primary_since_ms)
			point_samples_add(relay_service_samples(service),
					  sent_ms, point);
		return;
	}
	replica_lag_record_received(
		relay_server_lag(server),
		point_samples_age_ms(relay_service_samples(service), point,
				     now_ms),
		now_ms);
}

void relay_service_park(relay_service_t *service, relay_parked_t *parked)
{
	g_queue_push_tail(&service->parked, parked);
	parked->queue_link = service->parked.tail;
}

void relay_service_unpark(relay_service_t *service, relay_parked_t *parked)
{
	if (!parked->queue_link)
		return;
	g_queue_delete_link(&service->parked, parked->queue_link);
	parked->queue_link = NULL;
}

uint32_t relay_service_parked_count(const relay_service_t *service)
{
	return service->parked.length;
}

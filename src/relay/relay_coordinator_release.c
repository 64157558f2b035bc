/* Lifting of the fences that takeovers have left. */
#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "relay/relay_control.h"

/* Timeout of the operation at a server. */
#define CONTROL_TIMEOUT_MS 400

/* One operation that lifts a fence. */
typedef struct {
	coordinator_service_t *entry;
	int64_t token; /* of the lease under which it was sent */
	char *server;
} lift_t;

static void on_lifted(void *context, const relay_control_answer_t *answer)
{
	lift_t *lift = context;

	log_event(LOG_LEVEL_NOTICE, "server_released",
		  "service=%s server=%s token=%" PRId64 " held=%" PRId64
		  " result=%s fence=%" PRIu64,
		  lift->entry->name, lift->server, lift->token,
		  lift->entry->coordinator->held_revision,
		  relay_control_result_name(answer->result),
		  answer->status.fence);
	g_free(lift->server);
	g_free(lift);
}

void coordinator_lift_fence(coordinator_service_t *entry, const char *server)
{
	relay_services_t *services = entry->coordinator->services;
	lift_t *lift = g_new0(lift_t, 1);

	lift->entry = entry;
	lift->token = entry->coordinator->held_revision;
	lift->server = g_strdup(server);
	relay_control_run(relay_services_find(services, entry->name), server,
			  RELAY_CONTROL_RELEASE, 0, CONTROL_TIMEOUT_MS,
			  on_lifted, lift);
}

void coordinator_release_step(coordinator_service_t *entry, uint64_t now_ms)
{
	relay_coordinator_t *coordinator = entry->coordinator;
	const GPtrArray *servers = relay_service_servers(
		relay_services_find(coordinator->services, entry->name));
	const fence_release_duty_t duty = {
		.held = coordinator->held_revision,
		.renewed = coordinator_may_promote(coordinator),
		.idle = takeover_phase(entry->takeover) == TAKEOVER_IDLE &&
			entry->current && !entry->record.takeover_term,
	};

	if (!coordinator->polls_left ||
	    !fence_release_is_due(&entry->release, &duty, now_ms))
		return;
	coordinator->polls_left--;
	fence_release_cancel(&entry->release);
	for (guint i = 0; i < servers->len; i++) {
		const char *id = relay_server_entry(servers->pdata[i])->id;

		if (strcmp(id, entry->record.primary))
			coordinator_lift_fence(entry, id);
	}
}

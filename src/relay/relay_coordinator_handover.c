#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"

/* Interval between poll rounds. */
#define POLL_INTERVAL_MS 300

/*
 * A replica counts as complete if it has received what the primary had
 * acknowledged this long ago.
 */
#define RECEIVED_AGE_MS 600

/* Time for which the primary must have failed statements. */
#define FAILING_MIN_MS 400

/* Timeout of a status query. */
#define STATUS_TIMEOUT_MS 400

/* One poll round: a status query to every replica of a service. */
typedef struct {
	coordinator_service_t *entry;
	char primary[64]; /* id of the primary at the start */
	uint32_t pending; /* answers awaited */
	uint32_t count;	  /* replicas polled */
	relay_status_t statuses[TAKEOVER_SERVERS_MAX]; /* status by replica */
	bool answered[TAKEOVER_SERVERS_MAX];
} poll_round_t;

/* A status query to one replica. */
typedef struct {
	poll_round_t *round;
	uint32_t index; /* index of the replica in the round */
} status_query_t;

static void round_finish(poll_round_t *round)
{
	coordinator_service_t *entry = round->entry;
	replica_watch_answer_t answers[TAKEOVER_SERVERS_MAX] = {{0}};
	const uint64_t now_ms = clock_boot_ms();
	relay_service_t *service =
		relay_services_find(entry->coordinator->services, entry->name);
	log_point_t point;
	const bool known =
		point_samples_since(relay_service_samples(service),
				    now_ms - RECEIVED_AGE_MS, &point);

	entry->polling_replicas = false;
	for (uint32_t i = 0; i < round->count; i++) {
		const relay_status_t *status = &round->statuses[i];

		answers[i] = (replica_watch_answer_t){
			.answered = round->answered[i],
			.complete = known &&
				    log_point_covers(status->received, point),
			.lag_ms = status->lag_ms,
		};
		log_event(LOG_LEVEL_INFO, "replica_late",
			  "service=%s answered=%d complete=%d lag_ms=%" PRIu64,
			  entry->name, answers[i].answered, answers[i].complete,
			  answers[i].lag_ms);
	}
	if (!strcmp(round->primary, entry->record.primary))
		replica_watch_round(&entry->replicas, answers, round->count,
				    now_ms);
	g_free(round);
}

static void on_status(void *context, const relay_control_answer_t *answer)
{
	g_autofree status_query_t *query = context;
	poll_round_t *round = query->round;
	const bool done = answer->result == RELAY_CONTROL_DONE;

	round->answered[query->index] =
		done && answer->status.role == SERVER_REPLICA;
	round->statuses[query->index] = answer->status;
	if (!--round->pending)
		round_finish(round);
}

static void poll_replicas(coordinator_service_t *entry,
			  relay_service_t *service)
{
	const GPtrArray *servers = relay_service_servers(service);
	poll_round_t *round = g_new0(poll_round_t, 1);

	round->entry = entry;
	g_strlcpy(round->primary, entry->record.primary,
		  sizeof(round->primary));
	for (guint i = 0; i < servers->len && i < TAKEOVER_SERVERS_MAX; i++) {
		const char *id = relay_server_entry(servers->pdata[i])->id;
		status_query_t *query;

		if (!strcmp(id, round->primary))
			continue;
		query = g_new0(status_query_t, 1);
		query->round = round;
		query->index = round->count++;
		round->pending++;
		relay_control_run(service, id, RELAY_CONTROL_STATUS, 0,
				  STATUS_TIMEOUT_MS, on_status, query);
	}
	entry->polling_replicas = round->pending;
	if (!round->pending)
		g_free(round);
}

/* @return whether all replicas lag, as measured by this node's own reads */
static bool all_seem_lagging(const coordinator_service_t *entry,
			     const relay_service_t *service, uint64_t now_ms)
{
	const GPtrArray *servers = relay_service_servers(service);

	for (guint i = 0; i < servers->len; i++) {
		const relay_server_t *server = servers->pdata[i];

		if (strcmp(relay_server_entry(server)->id,
			   entry->record.primary) &&
		    relay_server_lag_ms(server, now_ms) < REPLICA_WATCH_LAG_MS)
			return false;
	}
	return true;
}

/* @return whether the primary has failed statements for FAILING_MIN_MS */
static bool is_failing(relay_server_t *primary, uint64_t now_ms)
{
	const uint64_t since_ms =
		outlier_since_ms(relay_server_outlier(primary), now_ms);

	return since_ms && now_ms >= since_ms + FAILING_MIN_MS;
}

const char *coordinator_handover_reason(coordinator_service_t *entry,
					relay_service_t *service,
					relay_server_t *primary,
					uint64_t now_ms)
{
	const bool failing = is_failing(primary, now_ms);

	if (failing)
		replica_watch_failing(&entry->replicas, now_ms);
	if (!send_budget_is_free(relay_server_budget(primary), now_ms))
		replica_watch_overloaded(&entry->replicas, now_ms);
	if (!entry->polling_replicas &&
	    now_ms >= entry->replicas_polled_ms + POLL_INTERVAL_MS &&
	    (failing || all_seem_lagging(entry, service, now_ms))) {
		entry->replicas_polled_ms = now_ms;
		poll_replicas(entry, service);
	}
	if (!replica_watch_is_due(&entry->replicas, now_ms))
		return NULL;
	replica_watch_handed_over(&entry->replicas, now_ms);
	return failing ? "failing" : "replicas_late";
}

#include "relay/relay_coordinator_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "coordination/primary_survey.h"
#include "relay/relay_control.h"

/* Timeout of a status query. */
#define STATUS_TIMEOUT_MS 500

/* Interval between poll rounds. */
#define POLL_INTERVAL_MS 300

/*
 * Time to wait for the status of all servers before the record is derived from
 * those that answered.
 */
#define ALL_STATUSES_WAIT_MS 1500

/*
 * Time to wait for other services, to write their records in the same
 * transaction: each change of the records costs every node a call to the store.
 */
#define BATCH_WAIT_MS 1500

/* The same after a restore of the store, when the services are waiting. */
#define RESTORED_BATCH_WAIT_MS 100

/* Maximum number of records, each with a condition, in one transaction. */
#define RECORDS_MAX 15

/* A status query to one server. */
typedef struct {
	coordinator_service_t *entry;
	char *server;
} status_query_t;

/* The services whose records one transaction writes. */
typedef struct {
	coordinator_service_t *entries[RECORDS_MAX];
	uint32_t count;
} batch_t;

static void on_status(void *context, const relay_control_answer_t *answer)
{
	status_query_t *query = context;

	if (answer->result == RELAY_CONTROL_DONE) {
		relay_status_t *status = g_new(relay_status_t, 1);

		*status = answer->status;
		g_hash_table_replace(query->entry->statuses,
				     g_steal_pointer(&query->server), status);
	}
	g_free(query->server);
	g_free(query);
}

static void poll_servers(coordinator_service_t *entry, relay_service_t *service)
{
	const GPtrArray *servers = relay_service_servers(service);

	for (guint i = 0; i < servers->len; i++) {
		const char *id = relay_server_entry(servers->pdata[i])->id;
		status_query_t *query = g_new0(status_query_t, 1);

		query->entry = entry;
		query->server = g_strdup(id);
		relay_control_run(service, id, RELAY_CONTROL_STATUS, 0,
				  STATUS_TIMEOUT_MS, on_status, query);
	}
}

/* @return the primary of the highest term reported, or NULL */
static const char *newest_primary(const coordinator_service_t *entry,
				  uint64_t *term)
{
	const char *primary = NULL;
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	*term = 0;
	g_hash_table_iter_init(&iter, entry->statuses);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const relay_status_t *status = value;

		if (status->term < *term)
			continue;
		if (status->term > *term)
			primary = NULL;
		*term = status->term;
		if (status->role == SERVER_PRIMARY)
			primary = id;
	}
	return primary;
}

/* Surveys the servers for a record that was written before a restore. */
static survey_t survey(const coordinator_service_t *entry,
		       const GPtrArray *servers, uint64_t now_ms)
{
	const survey_known_t known = {
		.term = entry->record.term,
		.primary = entry->record.primary,
		.takeover = entry->record.takeover_term,
	};
	survey_server_t answers[TAKEOVER_SERVERS_MAX] = {0};
	const uint32_t count = MIN(servers->len, TAKEOVER_SERVERS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		const relay_status_t *status;

		answers[i].id = relay_server_entry(servers->pdata[i])->id;
		status = g_hash_table_lookup(entry->statuses, answers[i].id);
		if (!status)
			continue;
		answers[i].status = (takeover_status_t){
			.answered = true,
			.role = status->role,
			.term = status->term,
			.fence = status->fence,
			.received = status->received,
		};
	}
	return primary_survey(&known, answers, count,
			      now_ms - entry->missing_since_ms);
}

static void set_surveyed(coordinator_service_t *entry, const survey_t *found)
{
	entry->record.term = found->term;
	if (found->primary != entry->record.primary)
		g_strlcpy(entry->record.primary, found->primary,
			  sizeof(entry->record.primary));
}

/*
 * Starts the poll anew once all promotions of earlier holders have taken
 * effect. A poll before that may only show that a takeover is needed.
 */
static void settle(coordinator_service_t *entry, uint64_t now_ms)
{
	if (entry->settled || now_ms < entry->coordinator->settled_ms ||
	    !entry->coordinator->polls_left)
		return;
	entry->settled = true;
	g_hash_table_remove_all(entry->statuses);
	entry->missing_since_ms = now_ms;
	entry->polled_ms = 0;
}

/* @return whether the record is ready to be written */
static bool check_survey(coordinator_service_t *entry, const GPtrArray *servers,
			 uint64_t now_ms)
{
	const survey_t found = survey(entry, servers, now_ms);

	if (found.result == SURVEY_WAITING)
		return false;
	if (found.result == SURVEY_AGREED && !entry->settled)
		return false;
	set_surveyed(entry, &found);
	if (found.result == SURVEY_AGREED)
		return true;
	coordinator_takeover_start(entry, TAKEOVER_RESTORED, "restored");
	return false;
}

/*
 * @return whether the first record is ready: several servers exist and all have
 *         answered, or enough time has passed and one reported a term
 */
static bool check_first(coordinator_service_t *entry, const GPtrArray *servers,
			uint64_t now_ms)
{
	const bool complete =
		servers->len > 1 &&
		g_hash_table_size(entry->statuses) >= servers->len;
	uint64_t term;

	if (!complete &&
	    now_ms < entry->missing_since_ms + ALL_STATUSES_WAIT_MS)
		return false;
	newest_primary(entry, &term);
	if (!term)
		entry->missing_since_ms = 0;
	return term;
}

static void poll_if_due(coordinator_service_t *entry, relay_service_t *service,
			uint64_t now_ms)
{
	relay_coordinator_t *coordinator = entry->coordinator;

	if (now_ms < entry->polled_ms + POLL_INTERVAL_MS)
		return;
	if (!coordinator->polls_left)
		return;
	coordinator->polls_left--;
	entry->polled_ms = now_ms;
	poll_servers(entry, service);
}

void coordinator_initial_prepare(coordinator_service_t *entry, uint64_t now_ms)
{
	relay_service_t *service =
		relay_services_find(entry->coordinator->services, entry->name);
	const GPtrArray *servers = relay_service_servers(service);
	bool ready;

	if (!servers->len || entry->writing_initial)
		return;
	/* The wait for the statuses begins with the first poll. */
	if (!entry->missing_since_ms && !entry->coordinator->polls_left)
		return;
	if (!entry->missing_since_ms)
		entry->missing_since_ms = now_ms;
	settle(entry, now_ms);
	ready = entry->record.term ? check_survey(entry, servers, now_ms) :
				     check_first(entry, servers, now_ms);
	if (ready && !entry->ready_since_ms)
		entry->ready_since_ms = now_ms;
	else if (!ready)
		poll_if_due(entry, service, now_ms);
}

static void on_written(void *context, const kv_answer_t *answer)
{
	g_autofree batch_t *batch = context;

	for (uint32_t i = 0; i < batch->count; i++) {
		batch->entries[i]->writing_initial = false;
		log_event(LOG_LEVEL_NOTICE, "primary_record_written",
			  "service=%s result=%s", batch->entries[i]->name,
			  kv_result_name(answer->result));
	}
}

/* @return the record to write: as surveyed, or the first of the service */
static primary_record_t next_record(const coordinator_service_t *entry)
{
	primary_record_t record = {
		.token = (uint64_t)entry->coordinator->held_revision};
	const char *primary;

	if (entry->record.term) {
		record.term = entry->record.term;
		record.holders = entry->record.holders;
		primary = entry->record.primary;
	} else {
		primary = newest_primary(entry, &record.term);
	}
	if (primary)
		g_strlcpy(record.primary, primary, sizeof(record.primary));
	if (coordinator_sync_replicas(entry))
		coordinator_holders_update(entry, record.primary,
					   &record.holders);
	return record;
}

static void write_batch(relay_coordinator_t *coordinator, batch_t *batch)
{
	primary_record_t records[RECORDS_MAX];

	for (uint32_t i = 0; i < batch->count; i++) {
		coordinator_service_t *entry = batch->entries[i];

		records[i] = next_record(entry);
		entry->writing_initial = true;
		entry->ready_since_ms = 0;
	}
	coordinator_write_records(coordinator, batch->entries, records,
				  batch->count, on_written, batch);
}

static uint64_t batch_wait_ms(const coordinator_service_t *entry)
{
	return entry->record.term ? RESTORED_BATCH_WAIT_MS : BATCH_WAIT_MS;
}

/*
 * @return whether the prepared records should be written now: all missing
 *         records are ready, or one has waited for the others long enough
 */
static bool is_due(const relay_coordinator_t *coordinator, uint64_t now_ms)
{
	bool all_ready = true;
	bool overdue = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coordinator->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const coordinator_service_t *entry = value;

		if (entry->current || entry->writing_initial)
			continue;
		all_ready &= entry->ready_since_ms != 0;
		overdue |=
			entry->ready_since_ms &&
			now_ms >= entry->ready_since_ms + batch_wait_ms(entry);
	}
	return all_ready || overdue;
}

void coordinator_initial_write(relay_coordinator_t *coordinator,
			       uint64_t now_ms)
{
	batch_t *batch;
	GHashTableIter iter;
	gpointer value;

	if (!is_due(coordinator, now_ms))
		return;
	batch = g_new0(batch_t, 1);
	g_hash_table_iter_init(&iter, coordinator->entries);
	while (batch->count < RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		coordinator_service_t *entry = value;

		if (entry->ready_since_ms && !entry->current &&
		    !entry->writing_initial)
			batch->entries[batch->count++] = entry;
	}
	if (batch->count)
		write_batch(coordinator, batch);
	else
		g_free(batch);
}

#include "relay/relay_duty_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "relay/relay_control.h"

/* Timeout of a status query. */
#define CONTROL_TIMEOUT_MS 500

/* Interval between poll rounds. */
#define ASK_AGAIN_MS 300

/*
 * Time to wait for the status of all servers before the record is derived from
 * those that answered.
 */
#define COMPLETE_MS 1500

/*
 * Time to wait for other services, to write their records in the same
 * transaction: each change of the records costs every node a call to the store.
 */
#define TOGETHER_MS 1500

/* Maximum number of records, each with a condition, in one transaction. */
#define RECORDS_MAX 15

/* A status query to one server. */
typedef struct {
	duty_service_t *entry;
	char *server;
} ask_t;

/* The services whose records one transaction writes. */
typedef struct {
	duty_service_t *entries[RECORDS_MAX];
	uint32_t count;
} batch_t;

static void on_status(void *context, const relay_control_answer_t *answer)
{
	ask_t *ask = context;

	if (answer->result == RELAY_CONTROL_DONE) {
		relay_status_t *status = g_new(relay_status_t, 1);

		*status = answer->status;
		g_hash_table_replace(ask->entry->statuses,
				     g_steal_pointer(&ask->server), status);
	}
	g_free(ask->server);
	g_free(ask);
}

static void ask_servers(duty_service_t *entry, relay_service_t *service)
{
	const GPtrArray *servers = relay_service_servers(service);

	for (guint i = 0; i < servers->len; i++) {
		const char *id = relay_server_entry(servers->pdata[i])->id;
		ask_t *ask = g_new0(ask_t, 1);

		ask->entry = entry;
		ask->server = g_strdup(id);
		relay_control_ask(service, id, RELAY_CONTROL_STATUS, 0,
				  CONTROL_TIMEOUT_MS, on_status, ask);
	}
}

/* @return the primary of the highest term reported, or NULL */
static const char *leader(const duty_service_t *entry, uint64_t *term)
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

/*
 * Marks the record as ready once several servers exist and all of them have
 * answered, or after COMPLETE_MS. Restarts the wait if none reported a term.
 */
void duty_first_prepare(duty_service_t *entry, uint64_t now_ms)
{
	relay_service_t *service =
		relay_services_find(entry->duty->services, entry->name);
	const GPtrArray *servers = relay_service_servers(service);
	const bool complete =
		servers->len > 1 &&
		g_hash_table_size(entry->statuses) >= servers->len;
	uint64_t term;

	if (!servers->len || entry->writing_first)
		return;
	if (!entry->first_ms)
		entry->first_ms = now_ms;
	if (!complete && now_ms < entry->first_ms + COMPLETE_MS) {
		if (now_ms < entry->asked_ms + ASK_AGAIN_MS)
			return;
		entry->asked_ms = now_ms;
		ask_servers(entry, service);
		return;
	}
	leader(entry, &term);
	if (!term)
		entry->first_ms = 0;
	else if (!entry->ready_ms)
		entry->ready_ms = now_ms;
}

static void on_written(void *context, const kv_answer_t *answer)
{
	g_autofree batch_t *batch = context;

	for (uint32_t i = 0; i < batch->count; i++) {
		batch->entries[i]->writing_first = false;
		log_event(LOG_LEVEL_NOTICE, "initial_record_written",
			  "service=%s result=%s", batch->entries[i]->name,
			  kv_result_name(answer->result));
	}
}

static void write_batch(relay_duty_t *duty, batch_t *batch)
{
	primary_record_t records[RECORDS_MAX];

	for (uint32_t i = 0; i < batch->count; i++) {
		duty_service_t *entry = batch->entries[i];
		const char *primary;

		records[i] = (primary_record_t){
			.token = (uint64_t)duty->held_revision};
		primary = leader(entry, &records[i].term);
		if (primary)
			g_strlcpy(records[i].primary, primary,
				  sizeof(records[i].primary));
		entry->writing_first = true;
		entry->ready_ms = 0;
	}
	duty_write_all(duty, batch->entries, records, batch->count, on_written,
		       batch);
}

/*
 * @return whether the prepared records should be written now: all missing
 *         records are ready, or one has waited for the others long enough
 */
static bool is_due(const relay_duty_t *duty, uint64_t now_ms)
{
	bool all_ready = true;
	bool late = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, duty->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const duty_service_t *entry = value;

		if (entry->revision || entry->writing_first)
			continue;
		all_ready &= entry->ready_ms != 0;
		late |= entry->ready_ms &&
			now_ms >= entry->ready_ms + TOGETHER_MS;
	}
	return all_ready || late;
}

void duty_first_write(relay_duty_t *duty, uint64_t now_ms)
{
	batch_t *batch;
	GHashTableIter iter;
	gpointer value;

	if (!is_due(duty, now_ms))
		return;
	batch = g_new0(batch_t, 1);
	g_hash_table_iter_init(&iter, duty->entries);
	while (batch->count < RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		duty_service_t *entry = value;

		if (entry->ready_ms && !entry->revision &&
		    !entry->writing_first)
			batch->entries[batch->count++] = entry;
	}
	if (batch->count)
		write_batch(duty, batch);
	else
		g_free(batch);
}

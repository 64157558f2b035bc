#include "relay/relay_coordinator_private.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "state/store_revision.h"

/* Upper bound of the random delay before a lost record is written again. */
#define RECALL_JITTER_MS 300

/* Whether a record was written in the era in which it was read. */
static bool is_of_era(const primary_record_t *record, int64_t revision)
{
	return !record->era || record->era == store_revision_era(revision);
}

/* Whether a record knows more than another: a later term, or a takeover. */
static bool knows_more(const primary_record_t *record,
		       const primary_record_t *other)
{
	if (record->term != other->term)
		return record->term > other->term;
	return record->takeover_term && !other->takeover_term;
}

/*
 * Reports a takeover once for each holder and term. The same takeover continued
 * by another holder is reported again.
 */
static void report_takeover(coordinator_service_t *entry,
			    const primary_record_t *record)
{
	const bool known = record->takeover_term == entry->seen_takeover_term &&
			   record->token == entry->seen_token;

	entry->seen_takeover_term = record->takeover_term;
	entry->seen_token = record->token;
	if (record->takeover_term && !known)
		entry->coordinator->on_takeover(entry->coordinator->context);
}

static void set_record(coordinator_service_t *entry,
		       const primary_record_t *record)
{
	const sync_holders_t known = entry->record.holders;
	const bool same_term = entry->record.term == record->term;

	if (strcmp(entry->record.primary, record->primary))
		coordinator_service_reset(entry);
	entry->record = *record;
	if (same_term)
		sync_holders_merge(&entry->record.holders, &known);
}

/* Starts the poll of the servers that must precede a new record. */
static void restart_survey(coordinator_service_t *entry)
{
	g_hash_table_remove_all(entry->statuses);
	entry->missing_since_ms = 0;
	entry->ready_since_ms = 0;
	entry->polled_ms = 0;
}

/*
 * Keeps what this node knows if the store has lost it, and has it written again
 * after a while, unless another node does.
 */
static void schedule_recall(coordinator_service_t *entry)
{
	if (!entry->recall_ms)
		entry->recall_ms =
			clock_boot_ms() + 1 +
			(uint64_t)g_rand_int_range(entry->coordinator->random,
						   0, RECALL_JITTER_MS);
}

/* Applies a record that a restore has brought back, or that was lost in it. */
static void apply_outdated(coordinator_service_t *entry,
			   const primary_record_t *record, int64_t revision)
{
	log_event(LOG_LEVEL_NOTICE, "primary_record_outdated",
		  "service=%s term=%" PRIu64 " takeover=%" PRIu64
		  " era=%" PRId64 " revision=%" PRId64 " known_term=%" PRIu64
		  " known_takeover=%" PRIu64,
		  entry->name, record->term, record->takeover_term, record->era,
		  revision, entry->record.term, entry->record.takeover_term);
	entry->revision = revision;
	if (entry->current)
		restart_survey(entry);
	entry->current = false;
	if (knows_more(record, &entry->record))
		set_record(entry, record);
	if (knows_more(&entry->record, record))
		schedule_recall(entry);
	else
		entry->recall_ms = 0;
}

static void apply_current(coordinator_service_t *entry,
			  const primary_record_t *record, int64_t revision)
{
	relay_service_t *service =
		relay_services_find(entry->coordinator->services, entry->name);

	if (service)
		relay_service_set_primary(service, record->term,
					  record->primary,
					  record->takeover_term, revision);
	report_takeover(entry, record);
	if (revision <= entry->revision)
		return;
	coordinator_takeover_record_seen(entry, record, revision);
	set_record(entry, record);
	entry->revision = revision;
	entry->current = true;
	entry->missing_since_ms = 0;
	entry->recall_ms = 0;
}

static void apply_removal(coordinator_service_t *entry, int64_t revision)
{
	log_event(LOG_LEVEL_WARNING, "primary_record_removed",
		  "service=%s revision=%" PRId64, entry->name, revision);
	if (revision <= entry->revision)
		return;
	entry->revision = 0;
	entry->current = false;
	restart_survey(entry);
	if (entry->record.term)
		schedule_recall(entry);
}

/* Another writer's text: what this node knows is written again over it. */
static void apply_invalid(coordinator_service_t *entry, int64_t revision)
{
	log_event(LOG_LEVEL_WARNING, "primary_record_invalid",
		  "service=%s revision=%" PRId64, entry->name, revision);
	if (revision <= entry->revision)
		return;
	entry->revision = revision;
	entry->current = false;
	restart_survey(entry);
	if (entry->record.term)
		schedule_recall(entry);
}

void coordinator_record_seen(relay_coordinator_t *coordinator,
			     const kv_item_t *item)
{
	const char *name = item->key + strlen(COORDINATOR_SERVICE_PREFIX);
	coordinator_service_t *entry =
		coordinator_service_get(coordinator, name);
	primary_record_t record;

	if (item->deleted) {
		apply_removal(entry, item->revision);
		return;
	}
	if (!item->value || !primary_record_decode(item->value, &record)) {
		apply_invalid(entry, item->revision);
		return;
	}
	if (!is_of_era(&record, item->revision)) {
		if (item->revision > entry->revision)
			apply_outdated(entry, &record, item->revision);
		return;
	}
	if (record.term < entry->record.term) {
		/* It was written by a node that lacked what this one knows. */
		apply_outdated(entry, &record, item->revision);
		return;
	}
	apply_current(entry, &record, item->revision);
}

/* Applies the records of services that were unknown when the record arrived. */
static void reapply_records(relay_coordinator_t *coordinator)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coordinator->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const coordinator_service_t *entry = value;
		relay_service_t *service =
			relay_services_find(coordinator->services, entry->name);

		if (service && entry->current)
			relay_service_set_primary(service, entry->record.term,
						  entry->record.primary,
						  entry->record.takeover_term,
						  entry->revision);
	}
}

void relay_coordinator_synced(relay_coordinator_t *coordinator)
{
	coordinator->synced = true;
	reapply_records(coordinator);
}

bool relay_coordinator_is_current(const relay_coordinator_t *coordinator)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coordinator->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((const coordinator_service_t *)value)->current)
			return false;
	return true;
}

static void on_recalled(void *context, const kv_answer_t *answer)
{
	log_event(LOG_LEVEL_NOTICE, "primary_record_recalled", "result=%s",
		  kv_result_name(answer->result));
}

/* Writes the record as it was, of an earlier era, for the coordinator. */
static void recall(coordinator_service_t *entry)
{
	kv_store_t *store = entry->coordinator->store;
	g_autofree char *key =
		g_strconcat(COORDINATOR_SERVICE_PREFIX, entry->name, NULL);
	g_autofree char *value = primary_record_encode(&entry->record);
	const kv_condition_t condition = {.key = key,
					  .revision = entry->revision};
	const kv_put_t put = {.key = key, .value = value};
	const kv_transaction_t transaction = {
		.conditions = &condition,
		.conditions_count = 1,
		.puts = &put,
		.puts_count = 1,
	};

	entry->recall_ms = 0;
	store->calls->commit(store->self, &transaction, on_recalled, NULL);
}

void coordinator_recall_step(relay_coordinator_t *coordinator, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coordinator->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		coordinator_service_t *entry = value;

		if (entry->recall_ms && now_ms >= entry->recall_ms)
			recall(entry);
	}
}

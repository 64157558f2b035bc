#include "daemon/group_private.h"

#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/log.h"

/** Maximum size of a record. */
#define RECORD_SIZE_BYTES_MAX 4096

/** Bounds of the delay after a failed call; the delay doubles each time. */
#define RECORD_RETRY_MS_MIN 500
#define RECORD_RETRY_MS_MAX 16000

/** Interval of checking that the store has not lost the record. */
#define RECORD_CHECK_MS 30000

/** A call in flight; the database may be deleted before the call ends. */
typedef struct {
	group_task_t *task;
	char database[GROUP_DATABASE_NAME_SIZE];
	uint64_t term; /**< the term being written */
} record_call_t;

static group_database_t *call_end(record_call_t *call)
{
	group_database_t *database =
		g_hash_table_lookup(call->task->databases, call->database);

	if (database)
		database->record.busy = false;
	return database;
}

static record_call_t *call_new(group_database_t *database)
{
	record_call_t *call = g_new0(record_call_t, 1);

	call->task = database->task;
	g_strlcpy(call->database, database->name, sizeof(call->database));
	database->record.busy = true;
	return call;
}

static char *record_key(const group_database_t *database)
{
	return g_strdup_printf("toucanhook/groups/%s", database->name);
}

static void record_known(group_record_t *record, uint64_t term)
{
	record->known_term = MAX(record->known_term, term);
	record->check_at_ms = clock_now_ms() + RECORD_CHECK_MS;
}

static void record_failed(group_record_t *record)
{
	uint64_t pause_ms = RECORD_RETRY_MS_MIN;

	pause_ms <<= MIN(record->failures, 5);
	record->failures++;
	record->retry_at_ms =
		clock_now_ms() + MIN(pause_ms, RECORD_RETRY_MS_MAX);
}

/* Applies a record. @return its term, 0 if the record is invalid */
static uint64_t record_apply(group_database_t *database, const uint8_t *bytes,
			     size_t size_bytes)
{
	const char *primary;
	json_int_t term;
	json_t *root;

	if (size_bytes > RECORD_SIZE_BYTES_MAX)
		return 0;
	root = json_loadb((const char *)bytes, size_bytes, 0, NULL);
	if (json_unpack(root, "{s:I, s:s}", "term", &term, "primary",
			&primary) ||
	    term <= 0 || !group_database_server(database, primary)) {
		log_event(LOG_LEVEL_WARNING, "group_record_invalid",
			  "database=%s", database->name);
		json_decref(root);
		return 0;
	}
	group_database_update_primary(database, (uint64_t)term, primary);
	json_decref(root);
	return (uint64_t)term;
}

static void on_written(void *context, store_result_t result,
		       const uint8_t *bytes, size_t size_bytes, uint64_t index)
{
	record_call_t *call = context;
	group_database_t *database = call_end(call);
	const group_view_t view =
		group_table_view(call->task->table, call->database);

	/* After a conflict or a lost answer the record is read again. */
	if (database && result == STORE_OK) {
		record_known(&database->record, call->term);
		database->record.write = view.term > call->term;
		database->record.failures = 0;
	} else if (database) {
		record_failed(&database->record);
	}
	g_free(call);
}

static void record_swap(group_database_t *database, uint64_t index)
{
	store_t *store = database->task->store;
	const group_view_t view =
		group_table_view(database->task->table, database->name);
	record_call_t *call = call_new(database);
	g_autofree char *key = record_key(database);
	json_t *root = json_pack("{s:I, s:s}", "term", (json_int_t)view.term,
				 "primary", view.primary);
	char *text = json_dumps(root, JSON_COMPACT);

	call->term = view.term;
	store->calls->swap(store->self, key, (const uint8_t *)text,
			   strlen(text), index, on_written, call);
	json_decref(root);
	free(text);
}

static void on_read(void *context, store_result_t result, const uint8_t *bytes,
		    size_t size_bytes, uint64_t index)
{
	record_call_t *call = context;
	group_database_t *database = call_end(call);
	uint64_t record_term = 0;

	g_free(call);
	if (!database)
		return;
	if (result != STORE_OK && result != STORE_ABSENT) {
		record_failed(&database->record);
		return;
	}
	database->record.read = true;
	database->record.failures = 0;
	if (result == STORE_OK)
		record_term = record_apply(database, bytes, size_bytes);
	/* The store was restored from a copy of before the last write. */
	if (record_term < database->record.known_term)
		database->record.write = true;
	record_known(&database->record, record_term);
	if (!database->record.write)
		return;
	if (group_table_view(database->task->table, database->name).term >
	    record_term)
		record_swap(database, result == STORE_OK ? index : 0);
	else
		database->record.write = false;
}

static bool is_check_due(const group_record_t *record, uint64_t now_ms)
{
	return record->known_term && now_ms >= record->check_at_ms;
}

void group_record_step(group_database_t *database, uint64_t now_ms)
{
	group_record_t *record = &database->record;
	store_t *store = database->task->store;
	g_autofree char *key = NULL;

	if (!store || record->busy || now_ms < record->retry_at_ms)
		return;
	if (!record->write && !is_check_due(record, now_ms) &&
	    (record->read || !group_database_watches(database)))
		return;
	key = record_key(database);
	store->calls->get(store->self, key, 0, 0, on_read, call_new(database));
}

void group_record_write(group_database_t *database)
{
	database->record.write = true;
}

#include <string.h>

#include "coordination/membership_private.h"

/* Number of latest changes that a sync sends first. */
#define SYNC_RECENT 8

/*
 * The first heartbeats to a partner, and later one in this many, contain the
 * sender's full record.
 */
#define INTRODUCTIONS 3
#define INTRODUCTION_EVERY 32

/* Refill rate of the update budgets, and estimated sizes. */
#define UPDATE_BYTES_PER_S 1000
#define UPDATE_RECORD_BYTES 40
#define UPDATE_HEARTBEAT_BYTES 100

/* Number of partners that get updates which are not urgent. */
#define ROUTINE_TARGETS 2

/* The records of one heartbeat, the sender's own one first. */
typedef struct {
	member_record_t records[MEMBERSHIP_RECORDS_MAX];
	uint32_t count;
} record_batch_t;

static void add_record(record_batch_t *batch, const member_record_t *record,
		       bool in_full)
{
	member_record_t *added = &batch->records[batch->count++];

	*added = *record;
	if (in_full)
		return;
	memset(added->member.address, 0, sizeof(added->member.address));
	memset(added->member.failure_domain, 0,
	       sizeof(added->member.failure_domain));
	memset(added->member.region, 0, sizeof(added->member.region));
	added->member.peer_port = 0;
}

static void send_batch(const run_t *run, member_entry_t *to,
		       const record_batch_t *batch, bool wants_reply)
{
	const membership_heartbeat_t heartbeat = {
		.digest = run->digest,
		.wants_reply = wants_reply,
		.records = batch->records,
		.records_count = batch->count,
	};

	to->heartbeats_count++;
	to->heartbeat_ms = run->now_ms;
	to->wants_reply = false;
	run->send(run->context, &to->record.member, &heartbeat);
}

/* Whether the next heartbeat contains the sender's full record. */
static bool is_introduction(const member_entry_t *to)
{
	return to->heartbeats_count < INTRODUCTIONS ||
	       !(to->heartbeats_count % INTRODUCTION_EVERY);
}

void membership_send_heartbeat(const run_t *run, member_entry_t *to,
			       bool wants_reply)
{
	record_batch_t batch = {0};

	add_record(&batch, &run->membership->table.self->record,
		   is_introduction(to));
	if (to->record.member.state != MEMBER_LIVE)
		add_record(&batch, &to->record, false);
	send_batch(run, to, &batch, wants_reply);
}

/* Deducts the estimated size from the budget. @return false if it exceeds it */
static bool spend_budget(int64_t *budget_bytes, uint32_t heartbeats,
			 uint32_t records)
{
	const int64_t cost_bytes =
		(int64_t)heartbeats * (UPDATE_HEARTBEAT_BYTES +
				       (int64_t)records * UPDATE_RECORD_BYTES);

	if (*budget_bytes < cost_bytes)
		return false;
	*budget_bytes -= cost_bytes;
	return true;
}

static int64_t refill_budget(int64_t budget_bytes, uint64_t passed_ms)
{
	const uint64_t refill_bytes = passed_ms * UPDATE_BYTES_PER_S / 1000;

	return MIN(MEMBERSHIP_UPDATE_BURST_BYTES,
		   budget_bytes + (int64_t)refill_bytes);
}

/*
 * Adds an unsent record. The address is added for live members only: the
 * receiver may not know that of a new member, but already knows dead ones.
 */
static void add_update(record_batch_t *batch, member_table_t *table,
		       member_entry_t *entry)
{
	member_table_mark_sent(table, entry);
	if (entry != table->self)
		add_record(batch, &entry->record,
			   entry->record.member.state == MEMBER_LIVE);
}

static void add_updates(record_batch_t *batch, member_table_t *table,
			bool is_urgent)
{
	GHashTableIter iter;
	gpointer value;

	add_record(batch, &table->self->record, true);
	g_hash_table_iter_init(&iter, table->entries);
	while (batch->count < MEMBERSHIP_RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->is_unsent && entry->is_urgent == is_urgent)
			add_update(batch, table, entry);
	}
}

/*
 * Sends one batch of unsent records to the partners. Records that are not
 * urgent are sent only to the partners on the first near and the first far
 * ring, which halves the cost.
 *
 * @return false if there is nothing to send or the budget is used up
 */
static bool send_update_batch(const run_t *run, bool is_urgent)
{
	membership_t *membership = run->membership;
	member_table_t *table = &membership->table;
	const uint32_t waiting =
		is_urgent ? table->urgent_count :
			    table->unsent_count - table->urgent_count;
	const uint32_t heartbeats =
		is_urgent ? membership->targets_count :
			    MIN(membership->targets_count, ROUTINE_TARGETS);
	record_batch_t batch = {0};

	if (!waiting ||
	    !spend_budget(is_urgent ? &membership->urgent_bytes :
				      &membership->routine_bytes,
			  heartbeats, MIN(waiting, MEMBERSHIP_RECORDS_MAX - 1)))
		return false;
	add_updates(&batch, table, is_urgent);
	for (uint32_t i = 0; i < heartbeats; i++)
		send_batch(run, membership->targets[i].entry, &batch, false);
	return true;
}

/*
 * Fills a batch for a member whose digest differs: first the latest changes,
 * then all other records, continuing where the last sync ended.
 */
static void add_sync_records(membership_t *membership, const member_entry_t *to,
			     record_batch_t *batch)
{
	member_table_t *table = &membership->table;
	const uint64_t recent =
		table->changes > SYNC_RECENT ? table->changes - SYNC_RECENT : 0;
	GHashTableIter iter;
	gpointer value;
	uint64_t index = 0;
	uint64_t first;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_entry_t *entry = value;

		if (entry->change_number > recent && entry != table->self &&
		    entry != to && batch->count < MEMBERSHIP_RECORDS_MAX)
			add_record(batch, &entry->record, true);
	}
	first = membership->sync_position % g_hash_table_size(table->entries);
	g_hash_table_iter_init(&iter, table->entries);
	while (batch->count < MEMBERSHIP_RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_entry_t *entry = value;

		if (index++ < first || entry == table->self ||
		    entry->change_number > recent)
			continue;
		add_record(batch, &entry->record, true);
	}
	membership->sync_position =
		index < g_hash_table_size(table->entries) ? index : 0;
}

static void sync_member(const run_t *run, member_entry_t *to)
{
	record_batch_t batch = {0};

	to->needs_sync = false;
	to->synced_ms = run->now_ms;
	if (!spend_budget(&run->membership->routine_bytes, 1,
			  MEMBERSHIP_RECORDS_MAX))
		return;
	add_record(&batch, &run->membership->table.self->record, true);
	add_sync_records(run->membership, to, &batch);
	send_batch(run, to, &batch, false);
}

void membership_send_replies(const run_t *run)
{
	membership_t *membership = run->membership;
	GHashTableIter iter;
	gpointer value;

	if (!membership->has_replies)
		return;
	membership->has_replies = false;
	g_hash_table_iter_init(&iter, membership->table.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->needs_sync)
			sync_member(run, entry);
		else if (entry->wants_reply)
			membership_send_heartbeat(run, entry, false);
	}
}

void membership_send_updates(const run_t *run)
{
	membership_t *membership = run->membership;
	const uint64_t passed_ms = run->now_ms - membership->budget_ms;

	membership->budget_ms = run->now_ms;
	membership->urgent_bytes =
		refill_budget(membership->urgent_bytes, passed_ms);
	membership->routine_bytes =
		refill_budget(membership->routine_bytes, passed_ms);
	while (send_update_batch(run, true))
		;
	while (send_update_batch(run, false))
		;
}

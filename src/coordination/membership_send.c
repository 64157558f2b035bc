#include <string.h>

#include "coordination/membership_private.h"

#define SYNC_RECENT 8

/* Full own records on the first beats to a partner, then now and then. */
#define INTRODUCTIONS 3
#define INTRODUCTION_EVERY 32

/* What news may cost, and what a sudden lot of it may. */
#define NEWS_BYTES_PER_SECOND 1000
#define NEWS_RECORD_BYTES 40
#define NEWS_BEAT_BYTES 100

/* The records of one beat, the own one first. */
typedef struct {
	member_record_t records[MEMBERSHIP_RECORDS_MAX];
	uint32_t count;
} parcel_t;

static void add_record(parcel_t *parcel, const member_record_t *record,
		       bool in_full)
{
	member_record_t *added = &parcel->records[parcel->count++];

	*added = *record;
	if (in_full)
		return;
	memset(added->member.address, 0, sizeof(added->member.address));
	memset(added->member.failure_domain, 0,
	       sizeof(added->member.failure_domain));
	memset(added->member.region, 0, sizeof(added->member.region));
	added->member.peer_port = 0;
}

static void send_parcel(const run_t *run, member_entry_t *to,
			const parcel_t *parcel, bool wants_reply)
{
	const membership_beat_t beat = {
		.digest = run->digest,
		.wants_reply = wants_reply,
		.records = parcel->records,
		.records_count = parcel->count,
	};

	to->beats_count++;
	to->beat_ms = run->now_ms;
	to->wants_reply = false;
	run->send(run->context, &to->record.member, &beat);
}

static bool is_introduction(const member_entry_t *to)
{
	return to->beats_count < INTRODUCTIONS ||
	       !(to->beats_count % INTRODUCTION_EVERY);
}

void membership_send_beat(const run_t *run, member_entry_t *to,
			  bool wants_reply)
{
	parcel_t parcel = {0};

	add_record(&parcel, &run->membership->table.self->record,
		   is_introduction(to));
	if (to->record.member.state != MEMBER_LIVE)
		add_record(&parcel, &to->record, false);
	send_parcel(run, to, &parcel, wants_reply);
}

static bool afford(membership_t *membership, uint32_t beats, uint32_t records)
{
	const int64_t cost_bytes =
		(int64_t)beats *
		(NEWS_BEAT_BYTES + (int64_t)records * NEWS_RECORD_BYTES);

	if (membership->budget_bytes < cost_bytes)
		return false;
	membership->budget_bytes -= cost_bytes;
	return true;
}

static void earn(membership_t *membership, uint64_t now_ms)
{
	const uint64_t passed_ms = now_ms - membership->budget_ms;

	membership->budget_ms = now_ms;
	membership->budget_bytes = MIN(
		MEMBERSHIP_NEWS_BURST_BYTES,
		membership->budget_bytes +
			(int64_t)(passed_ms * NEWS_BYTES_PER_SECOND / 1000));
}

/* The dead are known by name already; a newcomer's place may not be. */
static void add_news(parcel_t *parcel, member_table_t *table,
		     member_entry_t *entry)
{
	entry->is_news = false;
	table->news_count--;
	if (entry != table->self)
		add_record(parcel, &entry->record,
			   entry->record.member.state == MEMBER_LIVE);
}

static bool spread_some(const run_t *run)
{
	membership_t *membership = run->membership;
	member_table_t *table = &membership->table;
	const uint32_t count =
		MIN(table->news_count, MEMBERSHIP_RECORDS_MAX - 1);
	GHashTableIter iter;
	gpointer value;
	parcel_t parcel = {0};

	if (!count || !afford(membership, membership->targets_count, count))
		return false;
	add_record(&parcel, &table->self->record, true);
	g_hash_table_iter_init(&iter, table->entries);
	while (parcel.count < MEMBERSHIP_RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value))
		if (((member_entry_t *)value)->is_news)
			add_news(&parcel, table, value);
	for (uint32_t i = 0; i < membership->targets_count; i++)
		send_parcel(run, membership->targets[i].entry, &parcel, false);
	return true;
}

/* Half of it what changed last, half of it all records in turn. */
static void add_sync(membership_t *membership, const member_entry_t *to,
		     parcel_t *parcel)
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

		if (entry->order > recent && entry != table->self &&
		    entry != to && parcel->count < MEMBERSHIP_RECORDS_MAX)
			add_record(parcel, &entry->record, true);
	}
	first = membership->sync_order % g_hash_table_size(table->entries);
	g_hash_table_iter_init(&iter, table->entries);
	while (parcel->count < MEMBERSHIP_RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_entry_t *entry = value;

		if (index++ < first || entry == table->self ||
		    entry->order > recent)
			continue;
		add_record(parcel, &entry->record, true);
	}
	membership->sync_order =
		index < g_hash_table_size(table->entries) ? index : 0;
}

static void sync_member(const run_t *run, member_entry_t *to)
{
	parcel_t parcel = {0};

	to->is_stale = false;
	if (!afford(run->membership, 1, MEMBERSHIP_RECORDS_MAX)) {
		membership_send_beat(run, to, false);
		return;
	}
	to->synced_ms = run->now_ms;
	add_record(&parcel, &run->membership->table.self->record, true);
	add_sync(run->membership, to, &parcel);
	send_parcel(run, to, &parcel, false);
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

		if (entry->is_stale)
			sync_member(run, entry);
		else if (entry->wants_reply)
			membership_send_beat(run, entry, false);
	}
}

void membership_send_news(const run_t *run)
{
	earn(run->membership, run->now_ms);
	while (spread_some(run))
		;
}

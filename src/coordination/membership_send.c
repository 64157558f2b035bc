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
#define CALM_TARGETS 2

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

static bool afford(int64_t *budget_bytes, uint32_t beats, uint32_t records)
{
	const int64_t cost_bytes =
		(int64_t)beats *
		(NEWS_BEAT_BYTES + (int64_t)records * NEWS_RECORD_BYTES);

	if (*budget_bytes < cost_bytes)
		return false;
	*budget_bytes -= cost_bytes;
	return true;
}

static int64_t earn(int64_t budget_bytes, uint64_t passed_ms)
{
	const uint64_t earned_bytes = passed_ms * NEWS_BYTES_PER_SECOND / 1000;

	return MIN(MEMBERSHIP_NEWS_BURST_BYTES,
		   budget_bytes + (int64_t)earned_bytes);
}

/* The dead are known by name already; a newcomer's place may not be. */
static void add_news(parcel_t *parcel, member_table_t *table,
		     member_entry_t *entry)
{
	member_table_passed_on(table, entry);
	if (entry != table->self)
		add_record(parcel, &entry->record,
			   entry->record.member.state == MEMBER_LIVE);
}

static void pack_news(parcel_t *parcel, member_table_t *table, bool is_urgent)
{
	GHashTableIter iter;
	gpointer value;

	add_record(parcel, &table->self->record, true);
	g_hash_table_iter_init(&iter, table->entries);
	while (parcel->count < MEMBERSHIP_RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->is_news && entry->is_urgent == is_urgent)
			add_news(parcel, table, entry);
	}
}

/* What is not urgent takes the first ring of each kind, at half the cost. */
static bool spread_some(const run_t *run, bool is_urgent)
{
	membership_t *membership = run->membership;
	member_table_t *table = &membership->table;
	const uint32_t waiting =
		is_urgent ? table->urgent_count :
			    table->news_count - table->urgent_count;
	const uint32_t beats =
		is_urgent ? membership->targets_count :
			    MIN(membership->targets_count, CALM_TARGETS);
	parcel_t parcel = {0};

	if (!waiting ||
	    !afford(is_urgent ? &membership->urgent_bytes :
				&membership->calm_bytes,
		    beats, MIN(waiting, MEMBERSHIP_RECORDS_MAX - 1)))
		return false;
	pack_news(&parcel, table, is_urgent);
	for (uint32_t i = 0; i < beats; i++)
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
	to->synced_ms = run->now_ms;
	if (!afford(&run->membership->calm_bytes, 1, MEMBERSHIP_RECORDS_MAX))
		return;
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
	membership_t *membership = run->membership;
	const uint64_t passed_ms = run->now_ms - membership->budget_ms;

	membership->budget_ms = run->now_ms;
	membership->urgent_bytes = earn(membership->urgent_bytes, passed_ms);
	membership->calm_bytes = earn(membership->calm_bytes, passed_ms);
	while (spread_some(run, true))
		;
	while (spread_some(run, false))
		;
}

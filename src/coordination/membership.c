#include "coordination/membership.h"

#include <string.h>

#include <glib.h>

#include "coordination/membership_private.h"

#define TICK_MS 100
#define NEWS_DELAY_MS 20
#define KNOCK_MS 1000
#define SETTLED_MS 3000
#define FORGET_MS 60000

/* Who only heard of a suspicion waits for the one who raised it. */
#define HEARSAY_DEAD_MS 4000

/* Longer between two runs means that this process did not run. */
#define PAUSE_MS 300

/* Differing digests count once news had time to spread. */
#define QUIET_MS 1000
#define SYNC_MS 1000
#define SYNC_RESTLESS_MS 30000

static const pace_t near_pace = {.beat_ms = 300,
				 .ping_ms = 400,
				 .suspect_ms = 650,
				 .dead_ms = 300};
static const pace_t far_pace = {.beat_ms = 1000,
				.ping_ms = 1500,
				.suspect_ms = 2500,
				.dead_ms = 1500};

/* splitmix64 */
static uint64_t draw(membership_t *membership)
{
	uint64_t value = membership->random += 0x9e3779b97f4a7c15ULL;

	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
	value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
	return value ^ (value >> 31);
}

membership_t *membership_create(const member_t *self, uint64_t seed,
				uint64_t now_ms)
{
	membership_t *membership = g_new0(membership_t, 1);

	member_table_init(&membership->table, self, now_ms);
	membership->random = seed;
	membership->started_ms = now_ms;
	membership->ran_ms = now_ms;
	membership->next_ms = now_ms;
	membership->budget_ms = now_ms;
	membership->urgent_bytes = MEMBERSHIP_NEWS_BURST_BYTES;
	membership->calm_bytes = MEMBERSHIP_NEWS_BURST_BYTES;
	return membership;
}

void membership_destroy(membership_t *membership)
{
	if (!membership)
		return;
	member_table_clear(&membership->table);
	g_free(membership);
}

static void hurry(membership_t *membership, uint64_t due_ms)
{
	membership->next_ms = MIN(membership->next_ms, due_ms);
}

static void hurry_news(membership_t *membership, uint64_t now_ms)
{
	if (membership->table.news_count)
		hurry(membership, now_ms + NEWS_DELAY_MS);
}

void membership_listed(membership_t *membership, const member_t *members,
		       uint32_t members_count, uint64_t now_ms)
{
	member_table_list(&membership->table, members, members_count, now_ms);
	hurry(membership, now_ms);
}

static void heard_directly(member_entry_t *entry, uint64_t now_ms)
{
	entry->heard_ms = MAX(entry->heard_ms, now_ms);
	entry->patience = 0;
}

/* A member that others hold dead is told, so that it can contradict. */
static void owe_reply(membership_t *membership, member_entry_t *entry,
		      uint64_t now_ms)
{
	entry->wants_reply = true;
	membership->has_replies = true;
	hurry(membership, now_ms);
}

/*
 * Differing digests matter once no news is under way. Where there always is
 * some, the records are sent now and then all the same.
 */
static bool is_sync_due(const membership_t *membership,
			const member_entry_t *sender, uint64_t now_ms)
{
	const member_table_t *table = &membership->table;
	const uint64_t last_ms = MAX(sender->synced_ms, membership->started_ms);
	const bool is_quiet =
		!table->news_count && now_ms >= table->changed_ms + QUIET_MS;

	return now_ms >= last_ms + (is_quiet ? SYNC_MS : SYNC_RESTLESS_MS);
}

static void compare_digests(membership_t *membership, member_entry_t *sender,
			    uint64_t digest, uint64_t now_ms)
{
	if (!is_sync_due(membership, sender, now_ms) ||
	    digest == member_table_census(&membership->table).digest)
		return;
	sender->is_stale = true;
	membership->has_replies = true;
	hurry(membership, now_ms);
}

void membership_heard(membership_t *membership, const membership_beat_t *beat,
		      uint64_t now_ms)
{
	member_table_t *table = &membership->table;
	member_entry_t *sender;

	for (uint32_t i = 0; i < beat->records_count; i++)
		member_table_merge(table, &beat->records[i], now_ms);
	hurry_news(membership, now_ms);
	if (!beat->records_count)
		return;
	sender = member_table_find(table, beat->records[0].member.name);
	if (!sender || sender == table->self ||
	    sender->record.member.incarnation >
		    beat->records[0].member.incarnation)
		return;
	heard_directly(sender, now_ms);
	if (beat->wants_reply || sender->record.member.state != MEMBER_LIVE)
		owe_reply(membership, sender, now_ms);
	compare_digests(membership, sender, beat->digest, now_ms);
}

bool membership_seen(membership_t *membership, const char *name,
		     uint64_t incarnation, uint64_t now_ms)
{
	member_entry_t *entry = member_table_find(&membership->table, name);
	member_record_t record = {0};

	if (!entry || entry == membership->table.self ||
	    incarnation < entry->record.member.incarnation)
		return false;
	if (incarnation > entry->record.member.incarnation) {
		g_strlcpy(record.member.name, name, sizeof(record.member.name));
		record.member.incarnation = incarnation;
		member_table_merge(&membership->table, &record, now_ms);
		hurry_news(membership, now_ms);
	}
	heard_directly(entry, now_ms);
	if (entry->record.member.state != MEMBER_LIVE)
		owe_reply(membership, entry, now_ms);
	return true;
}

void membership_leave(membership_t *membership, uint64_t now_ms)
{
	if (membership->table.self->record.leaving)
		return;
	membership->table.self->record.leaving = true;
	member_table_speak(&membership->table, now_ms);
	hurry(membership, now_ms);
}

/* Partners */

static partner_t make_partner(const member_table_t *table,
			      const watch_ring_peer_t *peer)
{
	return (partner_t){
		.entry = member_table_find(table, peer->member->name),
		.pace = peer->is_near ? &near_pace : &far_pace,
	};
}

static void take_partners(membership_t *membership, const watch_ring_t *ring,
			  uint64_t now_ms)
{
	const member_table_t *table = &membership->table;

	for (uint32_t i = 0; i < ring->targets_count; i++)
		membership->targets[i] = make_partner(table, &ring->targets[i]);
	membership->targets_count = ring->targets_count;
	for (uint32_t i = 0; i < ring->watched_count; i++) {
		partner_t partner = make_partner(table, &ring->watched[i]);

		if (!partner.entry->is_watched)
			partner.entry->watched_ms = now_ms;
		membership->watched[i] = partner;
	}
	membership->watched_count = ring->watched_count;
}

static void choose_partners(membership_t *membership, uint64_t now_ms)
{
	g_autoptr(GPtrArray) members = g_ptr_array_new();
	member_table_t *table = &membership->table;
	GHashTableIter iter;
	gpointer value;
	watch_ring_t ring;

	if (!table->partners_change)
		return;
	table->partners_change = false;
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state != MEMBER_DEAD)
			g_ptr_array_add(members, &entry->record.member);
	}
	ring = watch_ring_build((const member_t *const *)members->pdata,
				members->len, &table->self->record.member);
	take_partners(membership, &ring, now_ms);
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((member_entry_t *)value)->is_watched = false;
	for (uint32_t i = 0; i < membership->watched_count; i++)
		membership->watched[i].entry->is_watched = true;
}

/* Beats and silence */

static void beat_targets(const run_t *run)
{
	membership_t *membership = run->membership;

	for (uint32_t i = 0; i < membership->targets_count; i++) {
		partner_t *target = &membership->targets[i];

		if (run->now_ms >=
		    target->entry->beat_ms + target->pace->beat_ms)
			membership_send_beat(run, target->entry, false);
	}
}

static void suspect(const run_t *run, const partner_t *partner)
{
	member_entry_t *entry = partner->entry;
	const uint64_t silent_ms =
		run->now_ms - MAX(entry->heard_ms, entry->watched_ms);
	const uint64_t borne_ms = partner->pace->suspect_ms << entry->patience;

	if (silent_ms < partner->pace->ping_ms)
		return;
	if (run->now_ms >= entry->pinged_ms + partner->pace->beat_ms) {
		entry->pinged_ms = run->now_ms;
		membership_send_beat(run, entry, true);
	}
	if (silent_ms < borne_ms || entry->record.member.state != MEMBER_LIVE)
		return;
	entry->is_accused = true;
	member_table_judge(&run->membership->table, entry, MEMBER_SUSPECT,
			   run->now_ms);
}

static uint64_t dead_after_ms(const member_table_t *table,
			      const member_entry_t *entry)
{
	if (!entry->is_accused)
		return HEARSAY_DEAD_MS;
	if (strcmp(entry->record.member.failure_domain,
		   table->self->record.member.failure_domain))
		return far_pace.dead_ms;
	return near_pace.dead_ms;
}

static void bury(const run_t *run)
{
	member_table_t *table = &run->membership->table;
	GHashTableIter iter;
	gpointer value;

	if (!member_table_census(table).suspects_count)
		return;
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state == MEMBER_SUSPECT &&
		    run->now_ms >=
			    entry->state_ms + dead_after_ms(table, entry))
			member_table_judge(table, entry, MEMBER_DEAD,
					   run->now_ms);
	}
}

/* After a pause of this process the silence was its own. */
static void forgive_pause(const run_t *run)
{
	membership_t *membership = run->membership;
	GHashTableIter iter;
	gpointer value;

	if (run->now_ms <= membership->ran_ms + PAUSE_MS)
		return;
	g_hash_table_iter_init(&iter, membership->table.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		entry->watched_ms = run->now_ms;
		if (entry->record.member.state == MEMBER_SUSPECT)
			entry->state_ms = run->now_ms;
	}
}

/* Both sides of a partition look for each other. */
static void knock(const run_t *run)
{
	membership_t *membership = run->membership;
	const member_census_t census = member_table_census(&membership->table);
	GHashTableIter iter;
	gpointer value;
	uint32_t skip;

	if (!census.dead_count ||
	    run->now_ms < membership->knocked_ms + KNOCK_MS)
		return;
	membership->knocked_ms = run->now_ms;
	skip = (uint32_t)(draw(membership) % census.dead_count);
	g_hash_table_iter_init(&iter, membership->table.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state != MEMBER_DEAD || skip--)
			continue;
		membership_send_beat(run, entry, true);
		return;
	}
}

static void settle(const run_t *run)
{
	membership_t *membership = run->membership;
	member_t *self = &membership->table.self->record.member;

	if (self->settled || run->now_ms < membership->started_ms + SETTLED_MS)
		return;
	self->settled = true;
	member_table_speak(&membership->table, run->now_ms);
}

void membership_run(membership_t *membership, uint64_t now_ms,
		    membership_send_t send, void *context)
{
	run_t run = {
		.membership = membership,
		.now_ms = now_ms,
		.send = send,
		.context = context,
	};

	forgive_pause(&run);
	settle(&run);
	choose_partners(membership, now_ms);
	for (uint32_t i = 0; i < membership->watched_count; i++)
		suspect(&run, &membership->watched[i]);
	bury(&run);
	if (now_ms > FORGET_MS &&
	    member_table_census(&membership->table).dead_count)
		member_table_forget(&membership->table, now_ms - FORGET_MS);
	choose_partners(membership, now_ms);
	run.digest = member_table_census(&membership->table).digest;
	membership_send_news(&run);
	membership_send_replies(&run);
	beat_targets(&run);
	knock(&run);
	membership->ran_ms = now_ms;
	membership->next_ms = now_ms + TICK_MS;
}

uint64_t membership_next_ms(const membership_t *membership)
{
	return membership->next_ms;
}

const member_view_t *membership_view(membership_t *membership)
{
	return member_table_view(&membership->table);
}

bool membership_is_alone(const membership_t *membership)
{
	const member_table_t *table = &membership->table;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_entry_t *entry = value;

		if (entry != table->self && entry->record.member.incarnation &&
		    entry->record.member.state != MEMBER_DEAD)
			return false;
	}
	return true;
}

uint64_t membership_incarnation(const membership_t *membership)
{
	return membership->table.self->record.member.incarnation;
}

void membership_introduce(membership_t *membership, member_record_t *record,
			  membership_beat_t *beat)
{
	*record = membership->table.self->record;
	*beat = (membership_beat_t){
		.digest = member_table_census(&membership->table).digest,
		.wants_reply = true,
		.records = record,
		.records_count = 1,
	};
}

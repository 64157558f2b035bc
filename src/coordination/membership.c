#include "coordination/membership.h"

#include <string.h>

#include <glib.h>

#include "coordination/membership_private.h"

/* Interval of regular runs. */
#define TICK_MS 100

/* Delay of updates, so that several are sent together. */
#define UPDATE_DELAY_MS 20

/* Interval of probes of dead members. */
#define PROBE_INTERVAL_MS 1000

/* Time after the start until this node counts as settled. */
#define SETTLED_MS 3000

/* Time after which dead members that are not listed are removed. */
#define FORGET_MS 60000

/*
 * Time until a member that others suspect counts as dead here. It leaves time
 * for the node that raised the suspicion to confirm it.
 */
#define INDIRECT_DEAD_MS 4000

/* A longer time between two runs means that this process was paused. */
#define PAUSE_MS 300

/*
 * Digests are compared once no update was queued for QUIET_MS, at most every
 * SYNC_MS for each member; every SYNC_BUSY_MS while there are always updates.
 */
#define QUIET_MS 1000
#define SYNC_MS 1000
#define SYNC_BUSY_MS 30000

/* For partners in this node's failure domain. */
static const timing_t near_timing = {.interval_ms = 300,
				     .ping_ms = 400,
				     .suspect_ms = 650,
				     .dead_ms = 300};
/* For partners in other failure domains. */
static const timing_t far_timing = {.interval_ms = 1000,
				    .ping_ms = 1500,
				    .suspect_ms = 2500,
				    .dead_ms = 1500};

/* Returns the next random number, by splitmix64. */
static uint64_t next_random(membership_t *membership)
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
	membership->urgent_bytes = MEMBERSHIP_UPDATE_BURST_BYTES;
	membership->routine_bytes = MEMBERSHIP_UPDATE_BURST_BYTES;
	return membership;
}

void membership_destroy(membership_t *membership)
{
	if (!membership)
		return;
	member_table_clear(&membership->table);
	g_free(membership);
}

static void schedule(membership_t *membership, uint64_t due_ms)
{
	membership->next_ms = MIN(membership->next_ms, due_ms);
}

static void schedule_updates(membership_t *membership, uint64_t now_ms)
{
	if (membership->table.unsent_count)
		schedule(membership, now_ms + UPDATE_DELAY_MS);
}

void membership_apply_list(membership_t *membership, const member_t *members,
			   uint32_t members_count, uint64_t now_ms)
{
	member_table_apply_list(&membership->table, members, members_count,
				now_ms);
	schedule(membership, now_ms);
}

static void record_contact(member_entry_t *entry, uint64_t now_ms)
{
	entry->heard_ms = MAX(entry->heard_ms, now_ms);
	entry->suspect_backoff = 0;
}

/*
 * Schedules a reply. Members that do not count as live also get one, so that
 * they can refute their record.
 */
static void schedule_reply(membership_t *membership, member_entry_t *entry,
			   uint64_t now_ms)
{
	entry->wants_reply = true;
	membership->has_replies = true;
	schedule(membership, now_ms);
}

/*
 * Whether the digests of a member and this node are to be compared. While
 * updates are on their way, digests differ anyway; if there always are updates,
 * the comparison still takes place at longer intervals.
 */
static bool is_sync_due(const membership_t *membership,
			const member_entry_t *sender, uint64_t now_ms)
{
	const member_table_t *table = &membership->table;
	const uint64_t last_ms = MAX(sender->synced_ms, membership->started_ms);
	const bool is_quiet =
		!table->unsent_count && now_ms >= table->changed_ms + QUIET_MS;

	return now_ms >= last_ms + (is_quiet ? SYNC_MS : SYNC_BUSY_MS);
}

static void compare_digests(membership_t *membership, member_entry_t *sender,
			    uint64_t digest, uint64_t now_ms)
{
	if (!is_sync_due(membership, sender, now_ms) ||
	    digest == member_table_summary(&membership->table).digest)
		return;
	sender->needs_sync = true;
	membership->has_replies = true;
	schedule(membership, now_ms);
}

void membership_handle_heartbeat(membership_t *membership,
				 const membership_heartbeat_t *heartbeat,
				 uint64_t now_ms)
{
	member_table_t *table = &membership->table;
	member_entry_t *sender;

	for (uint32_t i = 0; i < heartbeat->records_count; i++)
		member_table_merge(table, &heartbeat->records[i], now_ms);
	schedule_updates(membership, now_ms);
	if (!heartbeat->records_count)
		return;
	sender = member_table_find(table, heartbeat->records[0].member.name);
	if (!sender || sender == table->self ||
	    sender->record.member.incarnation >
		    heartbeat->records[0].member.incarnation)
		return;
	record_contact(sender, now_ms);
	if (heartbeat->wants_reply ||
	    sender->record.member.state != MEMBER_LIVE)
		schedule_reply(membership, sender, now_ms);
	compare_digests(membership, sender, heartbeat->digest, now_ms);
}

bool membership_record_contact(membership_t *membership, const char *name,
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
		schedule_updates(membership, now_ms);
	}
	record_contact(entry, now_ms);
	if (entry->record.member.state != MEMBER_LIVE)
		schedule_reply(membership, entry, now_ms);
	return true;
}

void membership_leave(membership_t *membership, uint64_t now_ms)
{
	if (membership->table.self->record.leaving)
		return;
	membership->table.self->record.leaving = true;
	member_table_update_self(&membership->table, now_ms);
	schedule(membership, now_ms);
}

/* Partners */

static partner_t make_partner(const member_table_t *table,
			      const watch_ring_peer_t *peer)
{
	return (partner_t){
		.entry = member_table_find(table, peer->member->name),
		.timing = peer->is_near ? &near_timing : &far_timing,
	};
}

static void set_partners(membership_t *membership, const watch_ring_t *ring,
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

	if (!table->partners_outdated)
		return;
	table->partners_outdated = false;
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state != MEMBER_DEAD)
			g_ptr_array_add(members, &entry->record.member);
	}
	ring = watch_ring_build((const member_t *const *)members->pdata,
				members->len, &table->self->record.member);
	set_partners(membership, &ring, now_ms);
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((member_entry_t *)value)->is_watched = false;
	for (uint32_t i = 0; i < membership->watched_count; i++)
		membership->watched[i].entry->is_watched = true;
}

/* Heartbeats and failure detection */

static void send_heartbeats(const run_t *run)
{
	membership_t *membership = run->membership;

	for (uint32_t i = 0; i < membership->targets_count; i++) {
		partner_t *target = &membership->targets[i];

		if (run->now_ms >=
		    target->entry->heartbeat_ms + target->timing->interval_ms)
			membership_send_heartbeat(run, target->entry, false);
	}
}

/* Pings a watched member that is unresponsive, then suspects it. */
static void check_heartbeats(const run_t *run, const partner_t *partner)
{
	member_entry_t *entry = partner->entry;
	const uint64_t unresponsive_ms =
		run->now_ms - MAX(entry->heard_ms, entry->watched_ms);
	const uint64_t timeout_ms = partner->timing->suspect_ms
				    << entry->suspect_backoff;

	if (unresponsive_ms < partner->timing->ping_ms)
		return;
	if (run->now_ms >= entry->pinged_ms + partner->timing->interval_ms) {
		entry->pinged_ms = run->now_ms;
		membership_send_heartbeat(run, entry, true);
	}
	if (unresponsive_ms < timeout_ms ||
	    entry->record.member.state != MEMBER_LIVE)
		return;
	entry->is_suspected_here = true;
	member_table_set_state(&run->membership->table, entry, MEMBER_SUSPECT,
			       run->now_ms);
}

static uint64_t dead_after_ms(const member_table_t *table,
			      const member_entry_t *entry)
{
	if (!entry->is_suspected_here)
		return INDIRECT_DEAD_MS;
	if (strcmp(entry->record.member.failure_domain,
		   table->self->record.member.failure_domain))
		return far_timing.dead_ms;
	return near_timing.dead_ms;
}

static void declare_dead(const run_t *run)
{
	member_table_t *table = &run->membership->table;
	GHashTableIter iter;
	gpointer value;

	if (!member_table_summary(table).suspects_count)
		return;
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state == MEMBER_SUSPECT &&
		    run->now_ms >=
			    entry->state_ms + dead_after_ms(table, entry))
			member_table_set_state(table, entry, MEMBER_DEAD,
					       run->now_ms);
	}
}

/* After a pause of this process, restarts the timeouts of all members. */
static void restart_timeouts_after_pause(const run_t *run)
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

/* Probes a random dead member, so that a healed partition is noticed. */
static void probe_dead_member(const run_t *run)
{
	membership_t *membership = run->membership;
	const member_summary_t summary =
		member_table_summary(&membership->table);
	GHashTableIter iter;
	gpointer value;
	uint32_t skip;

	if (!summary.dead_count ||
	    run->now_ms < membership->probed_ms + PROBE_INTERVAL_MS)
		return;
	membership->probed_ms = run->now_ms;
	skip = (uint32_t)(next_random(membership) % summary.dead_count);
	g_hash_table_iter_init(&iter, membership->table.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state != MEMBER_DEAD || skip--)
			continue;
		membership_send_heartbeat(run, entry, true);
		return;
	}
}

/* Marks this node as settled some time after its start. */
static void mark_settled(const run_t *run)
{
	membership_t *membership = run->membership;
	member_t *self = &membership->table.self->record.member;

	if (self->settled || run->now_ms < membership->started_ms + SETTLED_MS)
		return;
	self->settled = true;
	member_table_update_self(&membership->table, run->now_ms);
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

	restart_timeouts_after_pause(&run);
	mark_settled(&run);
	choose_partners(membership, now_ms);
	for (uint32_t i = 0; i < membership->watched_count; i++)
		check_heartbeats(&run, &membership->watched[i]);
	declare_dead(&run);
	if (now_ms > FORGET_MS &&
	    member_table_summary(&membership->table).dead_count)
		member_table_forget(&membership->table, now_ms - FORGET_MS);
	choose_partners(membership, now_ms);
	run.digest = member_table_summary(&membership->table).digest;
	membership_send_updates(&run);
	membership_send_replies(&run);
	send_heartbeats(&run);
	probe_dead_member(&run);
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

void membership_fill_introduction(membership_t *membership,
				  member_record_t *record,
				  membership_heartbeat_t *heartbeat)
{
	*record = membership->table.self->record;
	*heartbeat = (membership_heartbeat_t){
		.digest = member_table_summary(&membership->table).digest,
		.wants_reply = true,
		.records = record,
		.records_count = 1,
	};
}

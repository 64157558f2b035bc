#include "coordination/member_table.h"

#include <string.h>

#include "base/log.h"

/* Maximum doublings of the time until a member is suspected. */
#define SUSPECT_BACKOFF_MAX 5

/*
 * Higher incarnations from peers are ignored: this node must be able to choose
 * a higher one than any that it accepts.
 */
#define INCARNATION_MAX (UINT64_MAX / 2)

void member_table_init(member_table_t *table, const member_t *self,
		       uint64_t now_ms)
{
	member_entry_t *entry = g_new0(member_entry_t, 1);

	*table = (member_table_t){.partners_outdated = true,
				  .view_outdated = true,
				  .changed_ms = now_ms};
	table->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	table->members = g_array_new(FALSE, FALSE, sizeof(member_t));
	entry->record.member = *self;
	entry->record.member.state = MEMBER_LIVE;
	entry->record.member.settled = false;
	table->self = entry;
	g_hash_table_insert(table->entries, entry->record.member.name, entry);
	member_table_update_self(table, now_ms);
}

void member_table_clear(member_table_t *table)
{
	g_hash_table_destroy(table->entries);
	g_array_unref(table->members);
}

member_entry_t *member_table_find(const member_table_t *table, const char *name)
{
	return g_hash_table_lookup(table->entries, name);
}

void member_table_mark_sent(member_table_t *table, member_entry_t *entry)
{
	if (!entry->is_unsent)
		return;
	table->unsent_count--;
	table->urgent_count -= entry->is_urgent;
	entry->is_unsent = false;
	entry->is_urgent = false;
}

/* Marks a changed record as unsent. */
static void mark_unsent(member_table_t *table, member_entry_t *entry,
			bool is_urgent, uint64_t now_ms)
{
	member_table_mark_sent(table, entry);
	entry->is_unsent = true;
	entry->is_urgent = is_urgent;
	table->unsent_count++;
	table->urgent_count += is_urgent;
	entry->change_number = ++table->changes;
	table->changed_ms = now_ms;
	table->view_outdated = true;
}

static member_entry_t *add_entry(member_table_t *table,
				 const member_record_t *record, uint64_t now_ms)
{
	member_entry_t *entry = g_new0(member_entry_t, 1);

	entry->record = *record;
	entry->heard_ms = now_ms;
	entry->state_ms = now_ms;
	g_hash_table_insert(table->entries, entry->record.member.name, entry);
	table->changes++;
	table->partners_outdated = true;
	table->view_outdated = true;
	return entry;
}

static void apply_listed_member(member_table_t *table, const member_t *member,
				uint64_t now_ms)
{
	member_entry_t *entry = member_table_find(table, member->name);
	const bool leaving = member->state == MEMBER_LEAVING;

	if (!entry) {
		member_record_t record = {.member = *member};

		record.member.incarnation = 0;
		record.member.settled = false;
		record.member.state = MEMBER_LIVE;
		entry = add_entry(table, &record, now_ms);
	}
	entry->is_listed = true;
	if (entry->is_listed_leaving != leaving)
		table->view_outdated = true;
	entry->is_listed_leaving = leaving;
}

static void remove_entry(member_table_t *table, GHashTableIter *iter,
			 member_entry_t *entry)
{
	member_table_mark_sent(table, entry);
	table->changes++;
	table->partners_outdated = true;
	table->view_outdated = true;
	g_hash_table_iter_remove(iter);
}

/* Removes unlisted members whose own record was never received. */
static void remove_never_contacted(member_table_t *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (!entry->is_listed && entry != table->self &&
		    !entry->record.member.incarnation)
			remove_entry(table, &iter, entry);
	}
}

void member_table_apply_list(member_table_t *table, const member_t *members,
			     uint32_t members_count, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((member_entry_t *)value)->is_listed = false;
	for (uint32_t i = 0; i < members_count; i++)
		apply_listed_member(table, &members[i], now_ms);
	remove_never_contacted(table);
}

/*
 * Handles a peer's record of this node. If the record is newer or reports
 * another state, this node refutes it with a higher version.
 */
static void merge_self(member_table_t *table, const member_record_t *record,
		       uint64_t now_ms)
{
	member_record_t *own = &table->self->record;

	if (record->member.incarnation > own->member.incarnation) {
		log_event(LOG_LEVEL_WARNING, "incarnation_raised",
			  "own=%" G_GUINT64_FORMAT " heard=%" G_GUINT64_FORMAT,
			  own->member.incarnation, record->member.incarnation);
		own->member.incarnation = record->member.incarnation + 1;
		own->version = 0;
		member_table_update_self(table, now_ms);
		return;
	}
	if (record->member.incarnation < own->member.incarnation ||
	    record->version < own->version)
		return;
	if (record->version == own->version &&
	    record->member.state == MEMBER_LIVE)
		return;
	own->version = record->version;
	member_table_update_self(table, now_ms);
}

/* Keeps the known address and location if the new record has none. */
static void keep_address(member_record_t *fresh, const member_record_t *known)
{
	const member_t *member = &known->member;

	if (*fresh->member.address)
		return;
	fresh->member.peer_port = member->peer_port;
	memcpy(fresh->member.address, member->address, sizeof(member->address));
	memcpy(fresh->member.failure_domain, member->failure_domain,
	       sizeof(member->failure_domain));
	memcpy(fresh->member.region, member->region, sizeof(member->region));
}

/* Clears a suspicion; one that was refuted makes the next one slower. */
static void clear_suspicion(member_entry_t *entry, const member_record_t *fresh,
			    uint64_t now_ms)
{
	const bool restarted =
		fresh->member.incarnation != entry->record.member.incarnation;

	if (fresh->member.state != MEMBER_LIVE)
		return;
	entry->heard_ms = MAX(entry->heard_ms, now_ms);
	if (restarted) {
		entry->suspect_backoff = 0;
		entry->heartbeats_count = 0;
	} else if (entry->is_suspected_here &&
		   entry->suspect_backoff < SUSPECT_BACKOFF_MAX) {
		entry->suspect_backoff++;
	}
	entry->is_suspected_here = false;
}

static void replace_record(member_table_t *table, member_entry_t *entry,
			   const member_record_t *record, uint64_t now_ms)
{
	const member_state_t before = entry->record.member.state;
	member_record_t fresh = *record;
	bool is_urgent;

	keep_address(&fresh, &entry->record);
	if (fresh.member.incarnation == entry->record.member.incarnation)
		fresh.leaving |= entry->record.leaving;
	clear_suspicion(entry, &fresh, now_ms);
	if (before != fresh.member.state)
		entry->state_ms = now_ms;
	if ((before == MEMBER_DEAD) != (fresh.member.state == MEMBER_DEAD) ||
	    strcmp(fresh.member.failure_domain,
		   entry->record.member.failure_domain))
		table->partners_outdated = true;
	is_urgent = fresh.leaving || before != MEMBER_LIVE ||
		    fresh.member.state != MEMBER_LIVE;
	entry->record = fresh;
	mark_unsent(table, entry, is_urgent, now_ms);
}

void member_table_merge(member_table_t *table, const member_record_t *record,
			uint64_t now_ms)
{
	member_entry_t *entry = member_table_find(table, record->member.name);

	if (record->member.incarnation > INCARNATION_MAX)
		return;
	if (entry && entry == table->self) {
		merge_self(table, record, now_ms);
		return;
	}
	if (!entry) {
		if (record->member.state == MEMBER_DEAD ||
		    !*record->member.address)
			return;
		mark_unsent(table, add_entry(table, record, now_ms), false,
			    now_ms);
		return;
	}
	if (member_record_supersedes(record, &entry->record))
		replace_record(table, entry, record, now_ms);
}

void member_table_set_state(member_table_t *table, member_entry_t *entry,
			    member_state_t state, uint64_t now_ms)
{
	entry->record.member.state = state;
	entry->state_ms = now_ms;
	if (state == MEMBER_DEAD)
		table->partners_outdated = true;
	mark_unsent(table, entry, true, now_ms);
}

void member_table_update_self(member_table_t *table, uint64_t now_ms)
{
	table->self->record.version++;
	mark_unsent(table, table->self, true, now_ms);
}

void member_table_forget(member_table_t *table, uint64_t dead_before_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->record.member.state == MEMBER_DEAD &&
		    !entry->is_listed && entry->state_ms < dead_before_ms)
			remove_entry(table, &iter, entry);
	}
}

static void count_entry(member_summary_t *summary, const member_entry_t *entry)
{
	const member_record_t *record = &entry->record;

	if (record->member.state == MEMBER_SUSPECT)
		summary->suspects_count++;
	if (record->member.state == MEMBER_DEAD)
		summary->dead_count++;
	else if (record->member.incarnation)
		summary->digest ^= member_record_digest(record);
}

member_summary_t member_table_summary(member_table_t *table)
{
	GHashTableIter iter;
	gpointer value;

	if (table->summary_changes == table->changes)
		return table->summary;
	table->summary_changes = table->changes;
	table->summary = (member_summary_t){0};
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count_entry(&table->summary, value);
	return table->summary;
}

static int compare_members(const void *a, const void *b)
{
	return strcmp(((const member_t *)a)->name, ((const member_t *)b)->name);
}

/* Returns the state for the view, which shows that a member is leaving. */
static member_state_t view_state(const member_entry_t *entry)
{
	const member_state_t state = entry->record.member.state;

	if (state == MEMBER_DEAD)
		return state;
	if (entry->record.leaving || entry->is_listed_leaving)
		return MEMBER_LEAVING;
	return state;
}

const member_view_t *member_table_view(member_table_t *table)
{
	GHashTableIter iter;
	gpointer value;

	if (!table->view_outdated)
		return &table->view;
	table->view_outdated = false;
	g_array_set_size(table->members, 0);
	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_entry_t *entry = value;
		member_t member = entry->record.member;

		member.state = view_state(entry);
		g_array_append_val(table->members, member);
	}
	g_array_sort(table->members, compare_members);
	table->view.members = (const member_t *)table->members->data;
	table->view.members_count = table->members->len;
	table->view.version++;
	return &table->view;
}

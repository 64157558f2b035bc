#ifndef COORDINATION_MEMBER_TABLE_H
#define COORDINATION_MEMBER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/member_record.h"
#include "state/member_view.h"

/** One member's record and this node's state about that member. */
typedef struct {
	member_record_t record;
	bool is_listed;		/**< is on the platform's list */
	bool is_listed_leaving; /**< the platform's list marks it as leaving */
	bool is_unsent;		/**< the record was not sent on yet */
	bool is_urgent; /**< the unsent record reports a failure or leaving */
	bool is_suspected_here; /**< this node itself suspects the member */
	bool is_watched;	/**< the member sends heartbeats to this node */
	bool wants_reply;	/**< the member waits for a heartbeat */
	bool needs_sync; /**< the member's digest differs from this node's */
	uint32_t suspect_backoff;  /**< doublings of the suspect time */
	uint32_t heartbeats_count; /**< heartbeats sent to the member */
	uint64_t heard_ms;     /**< last time the member was known to be live */
	uint64_t watched_ms;   /**< start of watching its heartbeats */
	uint64_t heartbeat_ms; /**< time of the last heartbeat to the member */
	uint64_t pinged_ms;    /**< time of the last ping of the member */
	uint64_t synced_ms;    /**< time of the last records sent to sync it */
	uint64_t state_ms;     /**< time of the last change of its state */
	uint64_t change_number; /**< table change number of its last update */
} member_entry_t;

/** Digest and counts over all members. */
typedef struct {
	uint64_t digest; /**< digest of the records of all members not dead */
	uint32_t suspects_count; /**< members in state MEMBER_SUSPECT */
	uint32_t dead_count;	 /**< members in state MEMBER_DEAD */
} member_summary_t;

/** All members known to one node, itself included. */
typedef struct {
	GHashTable *entries;	  /**< name to member_entry_t */
	member_entry_t *self;	  /**< this node's own entry */
	uint64_t changes;	  /**< number of changes of records */
	member_summary_t summary; /**< cached, as of summary_changes */
	uint64_t summary_changes; /**< changes as of the summary */
	uint64_t changed_ms;	  /**< time of the last change of a record */
	uint32_t unsent_count;	  /**< entries with an unsent record */
	uint32_t urgent_count;	  /**< unsent records that are urgent */
	bool partners_outdated;	  /**< heartbeat partners must be recomputed */
	bool view_outdated;	  /**< the view must be rebuilt */
	GArray *members;    /**< elements are member_t, storage of the view */
	member_view_t view; /**< cached view of all members */
} member_table_t;

void member_table_init(member_table_t *table, const member_t *self,
		       uint64_t now_ms);
void member_table_clear(member_table_t *table);

/** @return the entry of that name, or NULL. */
member_entry_t *member_table_find(const member_table_t *table,
				  const char *name);

/**
 * Applies the platform's list: adds new members, marks those that are no longer
 * listed and removes those of them whose own record was never received.
 */
void member_table_apply_list(member_table_t *table, const member_t *members,
			     uint32_t members_count, uint64_t now_ms);

/** Merges a record that a peer sent, of another member or of this node. */
void member_table_merge(member_table_t *table, const member_record_t *record,
			uint64_t now_ms);

/** Sets a member's state as detected by this node and queues the record. */
void member_table_set_state(member_table_t *table, member_entry_t *entry,
			    member_state_t state, uint64_t now_ms);

/** Raises the version of this node's own record and queues the record. */
void member_table_update_self(member_table_t *table, uint64_t now_ms);

/** Marks an entry's record as sent to the partners. */
void member_table_mark_sent(member_table_t *table, member_entry_t *entry);

/** Removes unlisted members that have been dead since @p dead_before_ms. */
void member_table_forget(member_table_t *table, uint64_t dead_before_ms);

/** @return digest and counts of the table, recomputed if it has changed. */
member_summary_t member_table_summary(member_table_t *table);

/** @return the view of all members; valid until the next change. */
const member_view_t *member_table_view(member_table_t *table);

#endif

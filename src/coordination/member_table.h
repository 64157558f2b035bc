#ifndef COORDINATION_MEMBER_TABLE_H
#define COORDINATION_MEMBER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/member_record.h"
#include "state/member_view.h"

/** One member and what this node has to do about it. */
typedef struct {
	member_record_t record;
	bool is_listed;
	bool is_listed_leaving;
	bool is_news;	   /**< has not been passed on yet */
	bool is_urgent;	   /**< the news is of a failure or of leaving */
	bool is_accused;   /**< this node itself suspects it */
	bool is_watched;   /**< its heartbeats come to this node */
	bool wants_reply;  /**< it waits for a heartbeat */
	bool is_stale;	   /**< its digest differs from ours */
	uint32_t patience; /**< doublings of the silence that is borne */
	uint32_t beats_count;
	uint64_t heard_ms;   /**< when it was last known to be there */
	uint64_t watched_ms; /**< since when it is watched */
	uint64_t beat_ms;    /**< last heartbeat to it */
	uint64_t pinged_ms;  /**< last question for a sign of life */
	uint64_t synced_ms;  /**< last records sent to bring it up to date */
	uint64_t state_ms;   /**< since when it has its state */
	uint64_t order;	     /**< grows with each change of the table */
} member_entry_t;

/** What is to be known of all members at once. */
typedef struct {
	uint64_t digest; /**< of the records of those who are not dead */
	uint32_t suspects_count;
	uint32_t dead_count;
} member_census_t;

/** All members known to one node, itself included. */
typedef struct {
	GHashTable *entries; /**< name to member_entry_t */
	member_entry_t *self;
	uint64_t changes; /**< grows with each change of a record */
	member_census_t census;
	uint64_t census_changes; /**< changes when the census was taken */
	uint64_t changed_ms;	 /**< time of the last one */
	uint32_t news_count;	 /**< entries with is_news */
	uint32_t urgent_count;	 /**< those that are urgent */
	bool partners_change;	 /**< who takes part has changed */
	bool view_changes;	 /**< the view is out of date */
	GArray *members;	 /**< of member_t, behind the view */
	member_view_t view;
} member_table_t;

void member_table_init(member_table_t *table, const member_t *self,
		       uint64_t now_ms);
void member_table_clear(member_table_t *table);

/** @return the entry of that name, or NULL. */
member_entry_t *member_table_find(const member_table_t *table,
				  const char *name);

/** Takes in the platform's list: adds who is new, marks who is gone. */
void member_table_list(member_table_t *table, const member_t *members,
		       uint32_t members_count, uint64_t now_ms);

/** Takes in what a peer tells of a member, or of this node. */
void member_table_merge(member_table_t *table, const member_record_t *record,
			uint64_t now_ms);

/** Sets a state that this node has found out; it becomes news. */
void member_table_judge(member_table_t *table, member_entry_t *entry,
			member_state_t state, uint64_t now_ms);

/** Says something new of this node itself. */
void member_table_speak(member_table_t *table, uint64_t now_ms);

/** Takes an entry's news as passed on. */
void member_table_passed_on(member_table_t *table, member_entry_t *entry);

/** Forgets the dead who are not listed and have been dead for a while. */
void member_table_forget(member_table_t *table, uint64_t dead_before_ms);

/** @return the census of the table as it is. */
member_census_t member_table_census(member_table_t *table);

/** @return the view; valid until the next change. */
const member_view_t *member_table_view(member_table_t *table);

#endif

#ifndef STANDIN_BACKEND_ENGINE_H
#define STANDIN_BACKEND_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "standin/backend/journal.h"

/**
 * The state of one database server: its tables, its log, its term and its
 * fence. Knows no sockets and no clock; every rule of a group member is here.
 */
typedef struct {
	char *name;
	bool primary;
	uint64_t term;	/**< led or followed */
	uint64_t fence; /**< nothing of a lower term is accepted */
	journal_t journal;
	uint64_t replayed;	/**< last position applied to the tables */
	uint32_t replay_lag_ms; /**< time between holding and replaying */
	uint64_t heard_ms;	/**< when the primary was heard last */
	GHashTable *tables;	/**< name to GHashTable of key to value */
	GHashTable *locks;	/**< table and key to the owner */
} engine_t;

/** Opens a primary of term 1 with one record, or an empty replica. */
void engine_open(engine_t *engine, const char *name, bool primary,
		 uint64_t term, uint64_t now_ms);
void engine_close(engine_t *engine);

/** Raises the fence to @p term. @return false if it is there or above */
bool engine_fence(engine_t *engine, uint64_t term);

/** Starts to lead @p term. @return false unless the fence is @p term */
bool engine_promote(engine_t *engine, uint64_t term, uint64_t now_ms);

/** Starts to follow @p term. @return false if fenced above or leading it */
bool engine_follow(engine_t *engine, uint64_t term);

/** @return whether changes may be made here. */
bool engine_writable(const engine_t *engine);

/** @return whether it leads @p term and is not fenced above. */
bool engine_leads(const engine_t *engine, uint64_t term);

/** @return whether records shipped by the primary of @p term are taken. */
bool engine_accepts(const engine_t *engine, uint64_t term);

/** Makes the changes of one commit; only when engine_writable(). */
log_point_t engine_commit(engine_t *engine, GPtrArray *changes,
			  uint64_t now_ms);

/** Holds a shipped record, which it takes over. */
void engine_receive(engine_t *engine, record_t *record);

/** Drops all records above @p position. */
void engine_truncate(engine_t *engine, uint64_t position);

/** Applies what is due. @return ms until more is due, or UINT64_MAX */
uint64_t engine_replay(engine_t *engine, uint64_t now_ms);

/** @return the rows of a table, or NULL when there is none. */
GHashTable *engine_table(const engine_t *engine, const char *table);

/** @return the point replayed. */
log_point_t engine_replay_point(const engine_t *engine);

/** @return time since the primary was heard. */
uint64_t engine_upstream_age_ms(const engine_t *engine, uint64_t now_ms);

/** @return true if @p owner now holds, or held, the lock of the row. */
bool engine_lock(engine_t *engine, const char *table, const char *key,
		 const void *owner);

/** Gives up all locks of @p owner. */
void engine_unlock(engine_t *engine, const void *owner);

#endif

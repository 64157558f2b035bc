#ifndef STANDIN_BACKEND_ENGINE_H
#define STANDIN_BACKEND_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "standin/backend/journal.h"

/**
 * The state of one database server: its tables, log, term and fence. It
 * implements the replication rules of a group member without sockets and
 * without a clock: callers pass the time in.
 */
typedef struct {
	char *name;
	bool primary;
	uint64_t term;	/**< as primary, or of the primary it follows */
	uint64_t fence; /**< lower terms are rejected */
	journal_t journal;
	uint64_t replayed_position; /**< last position applied to the tables */
	uint32_t replay_lag_ms;	    /**< delay from receiving to replaying */
	uint64_t upstream_contact_ms; /**< time of the primary's last line */
	GHashTable *tables;	      /**< name to GHashTable of key to value */
	GHashTable *locks;	      /**< "table\nkey" to the owner */
} engine_t;

/**
 * Initializes an engine: a primary gets an initial record of @p term in its
 * log, a replica an empty log.
 */
void engine_open(engine_t *engine, const char *name, bool primary,
		 uint64_t term, uint64_t now_ms);
void engine_close(engine_t *engine);

/**
 * Raises the fence to @p term.
 *
 * @return false if the fence is at @p term or above
 */
bool engine_fence(engine_t *engine, uint64_t term);

/**
 * Makes the server the primary of @p term: replays its whole log and appends
 * the first record of the term.
 *
 * @return false unless the fence is @p term
 */
bool engine_promote(engine_t *engine, uint64_t term, uint64_t now_ms);

/**
 * Makes the server a replica in @p term and raises its fence to it.
 *
 * @return false if the fence is above @p term, or if the server is the primary
 *         of @p term
 */
bool engine_follow(engine_t *engine, uint64_t term);

/** @return whether the server is a primary that is not fenced. */
bool engine_writable(const engine_t *engine);

/** @return whether the server is the primary of @p term and not fenced. */
bool engine_is_primary_in(const engine_t *engine, uint64_t term);

/** @return whether a replica accepts records from the primary of @p term. */
bool engine_accepts_records(const engine_t *engine, uint64_t term);

/**
 * Appends @p changes to the log as one record, applies them and takes
 * ownership of them. engine_writable() must hold.
 *
 * @return the point of the record
 */
log_point_t engine_commit(engine_t *engine, GPtrArray *changes,
			  uint64_t now_ms);

/** Appends a received record to the log and takes ownership of it. */
void engine_receive(engine_t *engine, record_t *record);

/**
 * Drops all records above @p position and rebuilds the tables if any of them
 * was replayed.
 */
void engine_truncate(engine_t *engine, uint64_t position);

/**
 * Replays every record whose replay lag has passed.
 *
 * @return time in ms until the next record is due, or UINT64_MAX if the log has
 *         no further record
 */
uint64_t engine_replay(engine_t *engine, uint64_t now_ms);

/** @return the rows of a table, or NULL if the table does not exist. */
GHashTable *engine_table(const engine_t *engine, const char *table);

/** @return the point of the last replayed record. */
log_point_t engine_replay_point(const engine_t *engine);

/** @return time since the primary's last line; 0 on a primary. */
uint64_t engine_upstream_age_ms(const engine_t *engine, uint64_t now_ms);

/**
 * Locks a row for @p owner unless another owner has it locked.
 *
 * @return whether @p owner holds the lock
 */
bool engine_lock(engine_t *engine, const char *table, const char *key,
		 const void *owner);

/** Releases all locks of @p owner. */
void engine_unlock(engine_t *engine, const void *owner);

#endif

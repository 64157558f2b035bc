#ifndef STATE_CHANGE_LOG_H
#define STATE_CHANGE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * The latest value of each key of a followed prefix, with the revision of its
 * last change, so that a reader can be told what has changed since a revision
 * that it knows. Removals are remembered up to a limit; a reader that is
 * further behind gets all present keys.
 */
typedef struct change_log change_log_t;

/** The latest change of one key. */
typedef struct {
	char *key;
	int64_t revision;
	char *text; /**< NULL if the key was removed */
} change_t;

/** @param removals_max number of removed keys that are remembered */
change_log_t *change_log_create(uint32_t removals_max);

/** NULL is allowed. */
void change_log_destroy(change_log_t *log);

/**
 * Records a change; ignores one that is older than the key's latest.
 *
 * @param text NULL if the key was removed
 */
void change_log_put(change_log_t *log, const char *key, int64_t revision,
		    const char *text);

/** Records that all changes up to @p revision have been put. */
void change_log_synced(change_log_t *log, int64_t revision);

/** @return the revision last synced, 0 before the first time */
int64_t change_log_revision(const change_log_t *log);

/**
 * Collects what a reader lacks that knows all changes up to @p revision.
 *
 * @param changes receives const change_t *, valid until the next change; the
 *        caller frees the array alone
 * @return whether @p changes has all present keys and the reader must drop
 *         every key that is not among them
 */
bool change_log_since(const change_log_t *log, int64_t revision,
		      GPtrArray *changes);

#endif

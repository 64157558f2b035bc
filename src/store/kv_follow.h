#ifndef STORE_KV_FOLLOW_H
#define STORE_KV_FOLLOW_H

#include <event2/event.h>

#include "store/kv_store.h"

/**
 * Follows all keys under a prefix: lists them, then watches them for changes.
 * Lists them again if the store has compacted the history in between.
 */
typedef struct kv_follow kv_follow_t;

/** Callbacks of a follower. */
typedef struct {
	/** A key was written, or removed if the item is marked deleted. */
	void (*changed)(void *context, const kv_item_t *item);
	/**
	 * All changes up to @p revision have been reported. The request to the
	 * store was sent at @p sent_ms of the boot clock.
	 */
	void (*synced)(void *context, int64_t revision, uint64_t sent_ms);
	/** The store became unreachable (false) or reachable (true). */
	void (*reachability_changed)(void *context, bool reachable);
	void *context;
} kv_follow_handlers_t;

/**
 * Starts to follow the keys under @p prefix.
 *
 * @param pause_ms wait after each batch of changes before the next call, so
 *        that one call returns several changes
 */
kv_follow_t *kv_follow_create(struct event_base *base, kv_store_t *store,
			      const char *prefix, uint32_t pause_ms,
			      kv_follow_handlers_t handlers);

/**
 * Sends a new request and ignores the answer to the pending one: after an
 * outage of the store that answer may never arrive.
 */
void kv_follow_restart(kv_follow_t *follow);

/** Ignores the answer to the pending request and lists all keys anew. */
void kv_follow_relist(kv_follow_t *follow);

/**
 * Ignores the answer to the pending request and sends no more until
 * kv_follow_relist().
 */
void kv_follow_stop(kv_follow_t *follow);

/** Frees the follower, before the store is destroyed; NULL is allowed. */
void kv_follow_destroy(kv_follow_t *follow);

#endif

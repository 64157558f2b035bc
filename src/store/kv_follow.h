#ifndef STORE_KV_FOLLOW_H
#define STORE_KV_FOLLOW_H

#include <event2/event.h>

#include "store/kv_store.h"

/**
 * Follows all keys of a prefix: lists them, then watches. Lists them again
 * when the store has dropped the history in between.
 */
typedef struct kv_follow kv_follow_t;

typedef struct {
	/** A key was written, or removed when the item says deleted. */
	void (*changed)(void *context, const kv_item_t *item);
	/**
	 * Everything up to @p revision was told; the store was asked at
	 * @p asked_ms of the boot clock.
	 */
	void (*synced)(void *context, int64_t revision, uint64_t asked_ms);
	/** The store was lost (false) or answers again (true). */
	void (*reached)(void *context, bool reached);
	void *context;
} kv_follow_handlers_t;

/**
 * @param pause_ms wait after each batch of changes before the next is asked
 *        for, so that several changes cost one call
 */
kv_follow_t *kv_follow_create(struct event_base *base, kv_store_t *store,
			      const char *prefix, uint32_t pause_ms,
			      kv_follow_handlers_t handlers);

/**
 * Asks anew for changes and drops the answer that is awaited: it may never
 * come when the store was away meanwhile.
 */
void kv_follow_restart(kv_follow_t *follow);

/** Must be called before the store is destroyed; NULL is allowed. */
void kv_follow_destroy(kv_follow_t *follow);

#endif

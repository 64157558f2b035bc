#ifndef STORE_KV_ERAS_H
#define STORE_KV_ERAS_H

#include <event2/event.h>

#include "store/kv_store.h"

/**
 * Wraps a store that may be restored from an older copy. Revisions towards the
 * caller carry their era (see state/store_revision.h), so that those of a
 * later era are higher. A call that depends on an earlier era fails:
 *
 * - a watch after a revision of it with KV_COMPACTED,
 * - a transaction on condition of a revision of it with KV_CONFLICT,
 * - a call with a lease that was opened in it with KV_ABSENT.
 *
 * If the store was restored while such a call was under way, a watch and a
 * call with a lease fail in the same way and a transaction with KV_UNKNOWN. An
 * answer of an earlier era than one received before is KV_UNKNOWN. The first
 * answer of a new era calls kv_store_t.restored before it is delivered.
 *
 * @param inner owned by the returned store
 */
kv_store_t *kv_eras_create(struct event_base *base, kv_store_t *inner);

#endif

#ifndef COORDINATION_LEASE_KEYS_H
#define COORDINATION_LEASE_KEYS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * The keys of a node's leases that may be removed from the store. A takeover
 * waits for the proofs under each lease whose key it finds, so that a key may
 * go only when no proof that was given under its lease can be in use: one of
 * this run when its proofs are forgotten, one of an earlier run when the proofs
 * that it may have given have expired. A key whose write or removal got no
 * answer may still appear; it is removed again until an answer says that it is
 * gone. The module does no I/O and reads no clock.
 */
typedef struct lease_keys lease_keys_t;

/** Time after which proofs that an earlier run of the node gave are over. */
#define LEASE_KEYS_EARLIER_MS 1300u

/** Maximum number of keys that are removed at a time. */
#define LEASE_KEYS_REMOVALS_MAX 20u

/** @param started_ms when this run started, so that no earlier one runs */
lease_keys_t *lease_keys_create(uint64_t started_ms);

/** NULL is allowed. */
void lease_keys_destroy(lease_keys_t *keys);

/** Records that this run writes a key, for a new lease. */
void lease_keys_written(lease_keys_t *keys, const char *key);

/** Records that no proof under a lease of this run can be in use any more. */
void lease_keys_forgotten(lease_keys_t *keys, const char *key);

/** Records a key of the node that the store has; one of this run is ignored. */
void lease_keys_found(lease_keys_t *keys, const char *key);

/** Records that every key of the node was found that the store had. */
void lease_keys_listed(lease_keys_t *keys);

/** @return whether lease_keys_listed() was called */
bool lease_keys_is_listed(const lease_keys_t *keys);

/**
 * @return whether no proof that an earlier run gave can be in use, so that the
 *         node may speak for all its runs
 */
bool lease_keys_is_settled(const lease_keys_t *keys, uint64_t now_ms);

/**
 * @return the time until then in milliseconds; 0 if it is settled, or if the
 *         keys were not listed yet
 */
uint32_t lease_keys_settle_ms(const lease_keys_t *keys, uint64_t now_ms);

/**
 * @return the keys to remove now, at most LEASE_KEYS_REMOVALS_MAX; free with
 *         g_ptr_array_unref()
 */
GPtrArray *lease_keys_removable(const lease_keys_t *keys, uint64_t now_ms);

/** Records that the store has removed these keys. */
void lease_keys_removed(lease_keys_t *keys, const GPtrArray *removed);

#endif

#ifndef COORDINATION_LEASE_REVOCATION_H
#define COORDINATION_LEASE_REVOCATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * Decides for one takeover which nodes may still have proofs of the old
 * primary, from the keys ".../NODE/LEASE" of the nodes' leases. Each key stands
 * for the proofs that were given under its own lease, and no key says anything
 * of another one by being there. The proofs under a lease are over only if
 *
 * - its key is gone: see lease_keys.h for when a node removes a key, or
 * - its node has confirmed the takeover, under whichever lease. It does so only
 *   once proofs of its earlier runs have expired, and whatever it registers
 *   later it registers in the knowledge of the takeover.
 *
 * A takeover removes no key that a node may still write, confirm or need: only
 * one that is outdated, since a node uses no proof for long after it last wrote
 * its record.
 *
 * Load pattern: nodes that were killed, so that keys of several runs remain,
 * and that the store turns away when a primary is replaced. The module does no
 * I/O and reads no clock.
 */
typedef struct lease_revocation lease_revocation_t;

/** A listed key. */
typedef struct {
	const char *key;
	int64_t revision; /**< its revision when it was listed */
} lease_revocation_key_t;

/** Ends a lease at the store. */
typedef void (*lease_revocation_end_t)(void *context, const char *key,
				       int64_t lease);

/** @param intent store revision at which the takeover's intent was written */
lease_revocation_t *lease_revocation_create(int64_t intent);

/** NULL is allowed. */
void lease_revocation_destroy(lease_revocation_t *revocation);

/** Forgets the keys listed so far, so that they are listed anew. */
void lease_revocation_restart(lease_revocation_t *revocation);

/**
 * Adds a listed key.
 *
 * @param value a lease_record_t; one that is invalid confirms nothing
 */
void lease_revocation_add(lease_revocation_t *revocation, const char *key,
			  GBytes *value, int64_t revision);

/** @return whether every node with a key has confirmed */
bool lease_revocation_is_confirmed(const lease_revocation_t *revocation);

/** Ends the leases of all nodes that have not confirmed. */
void lease_revocation_end(lease_revocation_t *revocation,
			  lease_revocation_end_t end, void *context);

/** @return keys of the leases that were ended so far; read only */
const GPtrArray *lease_revocation_ended(const lease_revocation_t *revocation);

/** @return whether the proofs under an ended lease are over; all were listed */
bool lease_revocation_is_over(const lease_revocation_t *revocation,
			      const char *key);

/** @return whether the proofs under all ended leases are over */
bool lease_revocation_all_over(const lease_revocation_t *revocation);

/**
 * @param before_ms wall clock, Unix ms; proofs under a lease are over if its
 *        record was written before then
 * @return the keys (lease_revocation_key_t) that no later takeover needs: free
 *         the array only
 */
GArray *lease_revocation_outdated(const lease_revocation_t *revocation,
				  int64_t before_ms);

#endif

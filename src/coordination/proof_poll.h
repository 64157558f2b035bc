#ifndef COORDINATION_PROOF_POLL_H
#define COORDINATION_PROOF_POLL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Decides when a hub asks the replicas of a service for a proof of its primary.
 * Load: the store does not renew the leases, so that every prover needs proofs
 * for hundreds of services at the same time. Where there are many servers, each
 * service is asked in one of PROOF_POLL_PARTS steps, and only if no other hub
 * shared a proof that is valid for long enough. Nothing is asked while the
 * store renews the lease.
 *
 * Plain data, initially zero.
 */
typedef struct {
	uint64_t round;	   /**< number of the last round, above 0 */
	uint64_t round_ms; /**< when it began */
	bool large;	   /**< there are many servers */
} proof_poll_t;

/** Interval of the steps. */
#define PROOF_POLL_STEP_MS 150u

/** Number of steps over which the services of a large site are spread. */
#define PROOF_POLL_PARTS 4u

/**
 * Advances by one step.
 *
 * @param needed whether the store's proof ends soon
 * @param large whether there are many servers
 * @return whether a round begins, in which services may be asked
 */
bool proof_poll_step(proof_poll_t *poll, bool needed, bool large,
		     uint64_t now_ms);

/**
 * @param key hash of the service's name
 * @param until_ms end of the known proof of its primary, 0 for none
 * @return whether the replicas of a service are asked in this round
 */
bool proof_poll_wants(const proof_poll_t *poll, uint32_t key, uint64_t until_ms,
		      uint64_t now_ms);

#endif

#ifndef COORDINATION_PRIMARY_LEASE_H
#define COORDINATION_PRIMARY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Whether a node may still use the primary of a service. The node must have
 * registered a lease, and read the service's record after that without seeing
 * a takeover. Then there are three kinds of proof, each good for
 * PRIMARY_LEASE_VALID_MS after the question was sent:
 *
 * - the store renewed the lease;
 * - every replica answered in one round that it is not fenced, on a
 *   connection that was opened before the record was last read;
 * - another node has one of these, and this one uses it no longer than that.
 *
 * A takeover first writes its intent into the record, then ends every
 * registered lease and fences a replica, then waits until what was proved
 * before has run out, or every node has registered anew: from then on that
 * node needs a reading of the record, which shows the takeover. The fence is
 * lifted only when what the other replicas proved before the promotion has run
 * out, too. All times count suspended time.
 */

/** How long one proof is good. */
#define PRIMARY_LEASE_VALID_MS 1200u

/** Replicas that must prove it where the store can't. */
#define PRIMARY_LEASE_REPLICAS_MIN 2u

/** Most replicas of one service. */
#define PRIMARY_LEASE_REPLICAS_MAX 8u

/** The node's own lease at the store; shared by all services. */
typedef struct {
	int64_t lease;	       /**< 0 for none */
	int64_t registered_at; /**< store revision of its registration, or 0 */
	uint64_t valid_until_ms; /**< renewed up to here */
	uint64_t renewed_ms;	 /**< when the last renewal was sent */
} node_lease_t;

/** What is known of one service's primary. */
typedef struct {
	uint64_t term;
	char primary[64]; /**< id, empty when unknown */
	bool takeover;	  /**< a replacement is under way */
	int64_t read_at;  /**< store revision as of which this holds */
	struct {
		char id[64];
		uint64_t round;	  /**< in which it answered last, or 0 */
		uint64_t sent_ms; /**< when it was asked then */
	} replicas[PRIMARY_LEASE_REPLICAS_MAX];
	uint32_t replicas_count;
	uint64_t replicas_until_ms; /**< proved by all of them up to here */
	uint64_t granted_until_ms;  /**< proved by another node up to here */
} primary_lease_t;

/** Takes in that a renewal sent at @p sent_ms succeeded. */
void node_lease_renewed(node_lease_t *lease, uint64_t sent_ms);

/** Takes in that the store does not know the lease any more. */
void node_lease_lost(node_lease_t *lease);

/** Takes in the record as of a store revision; older ones are ignored. */
void primary_lease_record(primary_lease_t *service, uint64_t term,
			  const char *primary, bool takeover, int64_t revision);

/** Takes in that the record is unchanged up to a store revision. */
void primary_lease_unchanged(primary_lease_t *service, int64_t revision);

/** Forgets what replicas have proved. */
void primary_lease_forget(primary_lease_t *service);

/** Names the replicas; what was proved is kept if they are the same. */
void primary_lease_replicas(primary_lease_t *service, const char *const *ids,
			    uint32_t count);

/**
 * Takes in a replica's answer.
 *
 * @param fenced  it follows another term or is fenced
 * @param round   of questions, above 0; all replicas are asked in each
 * @param sent_ms when it was asked
 */
void primary_lease_replica_answer(primary_lease_t *service, const char *id,
				  bool fenced, uint64_t round,
				  uint64_t sent_ms);

/** Takes in what another node has proved. */
void primary_lease_granted(primary_lease_t *service, uint64_t term,
			   const char *primary, uint64_t until_ms);

/** @return until when the primary may be used; 0 when it may not be */
uint64_t primary_lease_until_ms(const primary_lease_t *service,
				const node_lease_t *node);

/** @return whether the primary may be used now */
bool primary_lease_valid(const primary_lease_t *service,
			 const node_lease_t *node, uint64_t now_ms);

#endif

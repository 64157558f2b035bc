#ifndef COORDINATION_PRIMARY_LEASE_H
#define COORDINATION_PRIMARY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Determines whether a node may still use the primary of a service. The node
 * must have registered a lease, and must have read the service's record after
 * the registration without seeing a takeover. The use of the primary then needs
 * one of three kinds of proof, each valid for PRIMARY_LEASE_VALID_MS from when
 * the query was sent:
 *
 * - the store renewed the lease;
 * - every replica answered in one round that it is not fenced, on a
 *   connection that was opened before the record was last read;
 * - another node has one of these proofs and shared it; this node may use it
 *   no longer than the other node.
 *
 * A takeover first writes its intent into the record. Then it ends every
 * registered lease and fences a replica. Then it waits until all earlier proofs
 * have expired, or until every node has registered again: after that a node
 * must read the record, which shows the takeover. The fence is lifted only
 * after the proofs that the other replicas gave before the promotion have
 * expired, too. All times include time for which the machine was suspended.
 *
 * A hub delegates its proofs to nodes that need not register. It confirms a
 * takeover, and registers again, only after each of them knows the takeover or
 * can no longer use a proof (see delegation.h). So a delegated proof holds for
 * any record without a takeover that the node has read.
 *
 * A restore of the store from an older copy may take back a record, an intent
 * or the end of a lease. A record counts only in the era it was written in;
 * after a restore the coordinator writes it again once it knows that no other
 * server was promoted (see primary_survey.h). Until then a node keeps its
 * earlier registration and the replicas' proofs under it, which need no store.
 */

/** Validity of one proof. */
#define PRIMARY_LEASE_VALID_MS 1200u

/** Minimum number of replicas that can give a proof in place of the store. */
#define PRIMARY_LEASE_REPLICAS_MIN 2u

/** Maximum number of replicas of one service. */
#define PRIMARY_LEASE_REPLICAS_MAX 8u

/** The node's own lease at the store; shared by all services. */
typedef struct {
	int64_t lease;	       /**< id of the lease, 0 for none */
	int64_t registered_at; /**< store revision of its registration, or 0 */
	uint64_t valid_until_ms; /**< end of the store's latest proof */
	uint64_t renewed_ms;	 /**< when the last renewal was sent */
} node_lease_t;

/** The known state of one service's primary, and the proofs for it. */
typedef struct {
	uint64_t term;	  /**< term of the primary */
	char primary[64]; /**< server id, empty if unknown */
	bool takeover;	  /**< a takeover is in progress */
	int64_t read_at;  /**< store revision as of which the record holds */
	struct {
		char id[64];
		uint64_t round;	  /**< round of its latest answer, or 0 */
		uint64_t sent_ms; /**< when the query of that round was sent */
	} replicas[PRIMARY_LEASE_REPLICAS_MAX];
	uint32_t replicas_count;
	uint64_t replicas_until_ms;  /**< end of the replicas' latest proof */
	uint64_t granted_until_ms;   /**< end of another node's latest proof */
	uint64_t delegated_until_ms; /**< end of the hubs' proofs */
} primary_lease_t;

/** Records that a renewal sent at @p sent_ms succeeded. */
void node_lease_renewed(node_lease_t *lease, uint64_t sent_ms);

/** Records that the store no longer has the lease. */
void node_lease_lost(node_lease_t *lease);

/** Applies the service's record as of a store revision; ignores older ones. */
void primary_lease_apply_record(primary_lease_t *service, uint64_t term,
				const char *primary, bool takeover,
				int64_t revision);

/**
 * Records that the service's record is unchanged up to a store revision. A
 * record that was read in another era of the store says nothing in this one.
 *
 * @return false if the known record is one of another era
 */
bool primary_lease_unchanged(primary_lease_t *service, int64_t revision);

/** Discards the proofs of the replicas and of other nodes. */
void primary_lease_forget_proofs(primary_lease_t *service);

/** Sets the replicas; proofs are kept if the replicas are the same. */
void primary_lease_set_replicas(primary_lease_t *service,
				const char *const *ids, uint32_t count);

/**
 * Handles a replica's answer.
 *
 * @param fenced  whether the replica follows another term or is fenced
 * @param round   number of the query round, above 0; each round queries all
 *                replicas
 * @param sent_ms when the query was sent
 */
void primary_lease_replica_answer(primary_lease_t *service, const char *id,
				  bool fenced, uint64_t round,
				  uint64_t sent_ms);

/** Records a proof that another node shared. */
void primary_lease_granted(primary_lease_t *service, uint64_t term,
			   const char *primary, uint64_t until_ms);

/** Sets the end of the proofs that hubs delegate to this node, 0 for none. */
void primary_lease_delegated(primary_lease_t *service, uint64_t until_ms);

/**
 * @return until when the node's own registration and proofs allow the use of
 *         the primary; 0 if they don't
 */
uint64_t primary_lease_own_until_ms(const primary_lease_t *service,
				    const node_lease_t *node);

/** @return until when the primary may be used; 0 if it may not be used */
uint64_t primary_lease_until_ms(const primary_lease_t *service,
				const node_lease_t *node);

/** @return whether the primary may be used now */
bool primary_lease_valid(const primary_lease_t *service,
			 const node_lease_t *node, uint64_t now_ms);

#endif

#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_record.h"
#include "state/member_view.h"

/** Maximum number of records in one heartbeat, the sender's own included. */
#define MEMBERSHIP_RECORDS_MAX 16

/**
 * Membership of the fleet. The platform's list names the members that may
 * exist; heartbeats between a few fixed partners show which of them are live.
 * An unresponsive member is suspected and then declared dead, unless it refutes
 * the suspicion with a higher version of its record. A changed record is sent
 * to all partners at once, and a node whose digest differs from a partner's is
 * synchronized in steps. The bytes sent while nothing changes do not depend on
 * the number of members.
 *
 * Dead members that are still listed are kept and probed from time to time, so
 * that both sides of a network partition find each other again.
 */
typedef struct membership membership_t;

/** A heartbeat from one member to another. */
typedef struct {
	uint64_t digest;  /**< digest of the records that the sender knows */
	bool wants_reply; /**< the receiver answers with a heartbeat */
	/**
	 * The sender's own record, then records of other members. A record
	 * without an address keeps the known address, port, failure domain and
	 * region.
	 */
	const member_record_t *records;
	uint32_t records_count;
} membership_heartbeat_t;

/** Sends a heartbeat to a member. */
typedef void (*membership_send_t)(void *context, const member_t *to,
				  const membership_heartbeat_t *heartbeat);

/**
 * @param self this node; its state and settled fields are ignored
 * @param seed seed of the random choice of dead members to probe
 */
membership_t *membership_create(const member_t *self, uint64_t seed,
				uint64_t now_ms);

/** Frees the membership; NULL is allowed. */
void membership_destroy(membership_t *membership);

/** Applies the platform's list of members. */
void membership_apply_list(membership_t *membership, const member_t *members,
			   uint32_t members_count, uint64_t now_ms);

/** Handles a heartbeat. */
void membership_handle_heartbeat(membership_t *membership,
				 const membership_heartbeat_t *heartbeat,
				 uint64_t now_ms);

/**
 * Records that a message other than a heartbeat came from a member.
 *
 * @return false if the sender is unknown, this node itself or of an incarnation
 *         that has ended
 */
bool membership_record_contact(membership_t *membership, const char *name,
			       uint64_t incarnation, uint64_t now_ms);

/** Announces from now on that this node is leaving. */
void membership_leave(membership_t *membership, uint64_t now_ms);

/** Updates the members' states and sends the heartbeats that are due. */
void membership_run(membership_t *membership, uint64_t now_ms,
		    membership_send_t send, void *context);

/** @return the time of the next run; calls that record messages advance it. */
uint64_t membership_next_ms(const membership_t *membership);

/** @return the newest view; valid until the next call. */
const member_view_t *membership_view(membership_t *membership);

/** @return whether this node knows of no other live member. */
bool membership_is_alone(const membership_t *membership);

/** @return the incarnation of this node, which others may have raised. */
uint64_t membership_incarnation(const membership_t *membership);

/**
 * Fills a heartbeat that introduces this node to seed addresses.
 *
 * @param record receives this node's record, to which @p heartbeat points
 */
void membership_fill_introduction(membership_t *membership,
				  member_record_t *record,
				  membership_heartbeat_t *heartbeat);

#endif

#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/member_record.h"
#include "state/member_view.h"

/** Most records on one heartbeat, the sender's own included. */
#define MEMBERSHIP_RECORDS_MAX 16

/**
 * Which entry VMs are there. The platform's list says who might be; beats
 * between few fixed partners say who is. A silent member is suspected, then
 * held dead unless it contradicts with a higher version of its record. News
 * goes at once to all partners, and a node whose records differ from those
 * of a partner is brought up to date bit by bit. Bytes sent in quiet times do
 * not depend on the number of members.
 *
 * The dead who are still listed are kept and knocked at now and then, so that
 * both sides of a partition find each other again.
 */
typedef struct membership membership_t;

/** A heartbeat from one member to another. */
typedef struct {
	uint64_t digest;  /**< of the records of the sender */
	bool wants_reply; /**< the receiver answers with a heartbeat */
	/**
	 * The sender's own record first, then what else it tells. A record
	 * without an address leaves what is known of the place as it is.
	 */
	const member_record_t *records;
	uint32_t records_count;
} membership_beat_t;

typedef void (*membership_send_t)(void *context, const member_t *to,
				  const membership_beat_t *beat);

/**
 * @param self state and settled are ignored
 * @param seed of the choice whom to knock at
 */
membership_t *membership_create(const member_t *self, uint64_t seed,
				uint64_t now_ms);

/** Frees the membership; NULL is allowed. */
void membership_destroy(membership_t *membership);

/** Takes in the platform's list. */
void membership_listed(membership_t *membership, const member_t *members,
		       uint32_t members_count, uint64_t now_ms);

/** Takes in a heartbeat. */
void membership_heard(membership_t *membership, const membership_beat_t *beat,
		      uint64_t now_ms);

/**
 * Takes in that any other message came from a member.
 *
 * @return false if it is of an incarnation that has ended
 */
bool membership_seen(membership_t *membership, const char *name,
		     uint64_t incarnation, uint64_t now_ms);

/** Says from now on that this node is leaving. */
void membership_leave(membership_t *membership, uint64_t now_ms);

/** Does what is due and sends what has to be sent. */
void membership_run(membership_t *membership, uint64_t now_ms,
		    membership_send_t send, void *context);

/** @return when to run next, unless something is taken in before. */
uint64_t membership_next_ms(const membership_t *membership);

/** @return the newest view; valid until the next call. */
const member_view_t *membership_view(membership_t *membership);

/** @return whether no other living member has been heard of. */
bool membership_is_alone(const membership_t *membership);

/** @return the incarnation of this node, which others may have raised. */
uint64_t membership_incarnation(const membership_t *membership);

/** Fills a beat with what every member may know, for seeds. */
void membership_introduce(membership_t *membership, member_record_t *record,
			  membership_beat_t *beat);

#endif

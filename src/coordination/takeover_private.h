#ifndef COORDINATION_TAKEOVER_PRIVATE_H
#define COORDINATION_TAKEOVER_PRIVATE_H

#include "coordination/takeover.h"

/* Declarations shared by the source files of the takeover. */

/** Maximum wait for a replica to catch up with a primary that answers. */
#define TAKEOVER_CATCH_UP_MS 1200

/** A server, as the takeover knows it. */
typedef struct {
	char id[64];
	bool draining;
	bool departed; /* no longer listed */
	uint64_t started_ms;
	bool fenced; /* and not known to have been lifted since */
	bool fence_sent;
	uint64_t fence_sent_ms;
	uint64_t fenced_ms;	/* when the fence was answered */
	uint64_t fence_seen_ms; /* when the last query that saw it was sent */
	/** The latest status query was answered; reset for the comparison. */
	bool answered;
	uint64_t queried_ms; /* time of the latest status query, or 0 */
	bool refused;	     /* the server cannot be promoted */
	takeover_status_t status;
	log_point_t received; /* the most that it has reported */
} server_t;

struct takeover {
	takeover_actions_t actions;
	takeover_phase_t phase;
	uint64_t phase_ms; /* when the phase began */
	uint64_t term;	   /* term of the old primary */
	char primary[64];  /* id of the old primary, "" if unknown */
	takeover_kind_t kind;
	takeover_guarantee_t guarantee;
	server_t servers[TAKEOVER_SERVERS_MAX];
	uint32_t count;
	uint32_t unlisted;	/* servers for which the list had no room */
	bool revoked;		/* every lease was ended */
	bool forgotten;		/* every node has forgotten its proofs */
	uint64_t revoked_ms;	/* when the leases were ended */
	uint64_t fenced_ms;	/* when a replica was fenced, or 0 */
	uint64_t wait_until_ms; /* when earlier proofs have expired */
	server_t *candidate;	/* the server to promote or publish */
	uint64_t promote_ms;	/* when it was last ordered, or could not be */
	takeover_order_t order; /* kept between takeovers */
	uint64_t order_open_ms; /* when a choice last found it open, or 0 */
	bool was_replica;	/* the candidate, when it was first ordered */
	uint64_t new_term;	/* the term to publish */
};

/** @return the server, or NULL if it is not listed */
server_t *takeover_find_server(takeover_t *takeover, const char *id);

/** @return whether it is the old primary, answering or not */
bool takeover_is_primary(const takeover_t *takeover, const server_t *server);

/** Whether the old primary answers as primary of the recorded term. */
bool takeover_is_still_primary(const takeover_t *takeover, const server_t *old);

/** @return whether the server has all of the old primary's log */
bool takeover_has_caught_up(const server_t *server, const server_t *old);

/**
 * Whether the server may be promoted, as far as its own state shows: with a
 * guarantee it must not be silent, as it may have started anew without a log.
 */
bool takeover_is_promotable(const takeover_t *takeover, const server_t *server);

/**
 * Whether all servers that matter have answered. A lost primary was queried
 * during the wait for proofs to expire, so its answer is not waited for.
 */
bool takeover_all_answered(const takeover_t *takeover);

/** Whether a primary that answered when a handover began was lost since. */
bool takeover_is_lost_in_handover(const takeover_t *takeover,
				  const server_t *old, uint64_t waited_ms);

/** Whether the old primary stays and its term is published again. */
bool takeover_must_keep(const takeover_t *takeover, const server_t *old,
			const server_t *best, uint64_t waited_ms);

/** @return the replica to promote, or NULL while there is none */
server_t *takeover_find_candidate(takeover_t *takeover, const server_t *old,
				  uint64_t waited_ms);

/**
 * @return the server to promote if it is unclear which is primary: the one of
 *         the highest term that says so, else a replica, or NULL
 */
server_t *takeover_find_unclear(takeover_t *takeover, uint64_t waited_ms);

/**
 * @return the ordered server, to order it once more, or NULL if that is not
 *         possible; no other one may be ordered yet
 */
server_t *takeover_find_ordered(takeover_t *takeover);

/**
 * @return the server that takes over from a restored primary that will be
 *         removed, NULL while none has its whole log
 */
server_t *takeover_find_successor(takeover_t *takeover, server_t *leaving,
				  uint64_t waited_ms);

/** Makes all servers candidates again, after each was tried in vain. */
void takeover_forget_refusals(takeover_t *takeover);

/** Enters a phase, whose time begins anew. */
void takeover_enter_phase(takeover_t *takeover, takeover_phase_t phase,
			  uint64_t now_ms);

/** @name Fences */
/** @{ */

/** Fences the replica that was started first among those not tried yet. */
void takeover_fence_one(takeover_t *takeover, uint64_t now_ms);

/** Fences a replica anew; earlier proofs are waited for once more. */
void takeover_fence_anew(takeover_t *takeover, uint64_t now_ms);

/**
 * Fences a replica anew if the fence was lifted and nodes may have got proofs
 * of the old primary since.
 *
 * @return whether it does
 */
bool takeover_restore_fence(takeover_t *takeover, uint64_t now_ms);

/**
 * Fences again above a term that was unknown: a server of that term ignores the
 * present fence.
 */
void takeover_raise_term(takeover_t *takeover, uint64_t term, uint64_t now_ms);

/** Records what an answer says of the fence. */
void takeover_note_fence(const takeover_t *takeover, server_t *server,
			 const takeover_status_t *status);

/**
 * Whether a query that was sent after the wait has seen a fence. What may lift
 * this one was sent before it was set, and is over by then.
 */
bool takeover_is_fence_seen(const takeover_t *takeover);

/**
 * Lifts all fences but one: a replica that was silent may be fenced besides the
 * one that was fenced in its place, and none could catch up with the primary.
 */
void takeover_lift_surplus(takeover_t *takeover);

/** @} */

#endif

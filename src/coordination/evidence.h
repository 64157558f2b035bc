#ifndef COORDINATION_EVIDENCE_H
#define COORDINATION_EVIDENCE_H

#include "state/server_status.h"

/** Most backend servers of one database. */
#define EVIDENCE_SERVER_LIMIT 16

/** Most commits and barriers that wait for one database. */
#define EVIDENCE_WAITER_LIMIT 8192

/**
 * Gathers the evidence that lets a commit be acknowledged or a barrier's
 * point be used: answers of the primary of a term and of enough replicas that
 * no higher term had fenced. Together they are one server more than a
 * promotion may leave unfenced, so none can have ended before the question.
 * One round of questions serves all that wait for a database.
 */
typedef struct evidence evidence_t;

/** Conditions of the rule; a test leaves one out to show what it guards. */
typedef enum {
	EVIDENCE_GUARD_FENCE = 1 << 0, /**< no answer with a higher fence */
	EVIDENCE_GUARD_TERM = 1 << 1,  /**< last record of the same term */
	EVIDENCE_GUARD_AGE = 1 << 2,   /**< evidence no older than its bound */
	EVIDENCE_GUARD_PRIMARY = 1 << 3,  /**< the primary was asked, too */
	EVIDENCE_GUARD_ASKED = 1 << 4,	  /**< barriers: asked after the call */
	EVIDENCE_GUARD_REPLICAS = 1 << 5, /**< enough replicas */
	EVIDENCE_GUARD_ALL = (1 << 6) - 1,
} evidence_guard_t;

/** The rule for one database. */
typedef struct {
	uint32_t servers;  /**< number of backend servers */
	uint32_t replicas; /**< replicas that must hold a commit */
	uint32_t valid_ms; /**< age at which evidence is worthless */
	uint32_t guards;   /**< EVIDENCE_GUARD_ALL but in tests */
} evidence_rule_t;

/**
 * @param point   of a barrier: the primary's; of a commit: its own
 * @param age_ms  age of the oldest answer it rests on
 */
typedef void (*evidence_done_t)(void *context, bool proven, log_point_t point,
				uint64_t age_ms);

/** Where questions go. */
typedef struct {
	/**
	 * Asks for a status; it may be held back up to @p wait_ms until the
	 * server holds @p wanted. Ends in evidence_answer() with @p round.
	 */
	void (*ask)(void *context, uint32_t server, uint64_t round,
		    log_point_t wanted, uint32_t wait_ms);
	void *context;
} evidence_handlers_t;

evidence_t *evidence_create(evidence_rule_t rule, evidence_handlers_t handlers);

/** Ends it; callbacks that wait are not called. */
void evidence_destroy(evidence_t *evidence);

/** Adds a commit; it ends in a later call of this module, not in this one. */
void evidence_commit(evidence_t *evidence, log_point_t point,
		     uint64_t deadline_ms, evidence_done_t done, void *context);

/** Adds a barrier; it ends in a later call of this module, not in this one. */
void evidence_barrier(evidence_t *evidence, uint64_t deadline_ms,
		      evidence_done_t done, void *context);

/**
 * Takes in how a question ended.
 *
 * @param status NULL when there was no answer
 */
void evidence_answer(evidence_t *evidence, uint64_t now_ms, uint32_t server,
		     uint64_t round, const server_status_t *status);

/** Ends what is proven or too late, and starts a round if one is needed. */
void evidence_step(evidence_t *evidence, uint64_t now_ms);

/** @return when evidence_step() is due, or UINT64_MAX. */
uint64_t evidence_due_ms(const evidence_t *evidence);

/**
 * A server was promoted for @p term: commits of older terms that wait can no
 * longer be proven and end in the next call of evidence_step().
 */
void evidence_replaced(evidence_t *evidence, uint64_t term);

/** Ends all that wait as not proven. */
void evidence_abandon(evidence_t *evidence);

/** @return commits and barriers that wait. */
uint32_t evidence_waiting(const evidence_t *evidence);

/** @return rounds started so far. */
uint64_t evidence_rounds(const evidence_t *evidence);

#endif

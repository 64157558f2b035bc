#ifndef COORDINATION_EVIDENCE_H
#define COORDINATION_EVIDENCE_H

#include "state/server_status.h"

/** Maximum number of backend servers of one database. */
#define EVIDENCE_SERVER_LIMIT 16

/** Maximum number of commits and barriers that wait for one database. */
#define EVIDENCE_WAITER_LIMIT 8192

/**
 * Collects the evidence that lets a commit be acknowledged or a barrier's
 * point be used: answers of a term's primary and of enough replicas, none of
 * them fenced by a higher term. These servers are one more than a promotion
 * may leave unfenced, so no promotion can have completed before the query was
 * sent. One round of queries serves all waiters of a database.
 */
typedef struct evidence evidence_t;

/**
 * Conditions of the rule. Tests disable one at a time to show that each is
 * needed.
 */
typedef enum {
	/** Answers with a fence of a higher term are rejected. */
	EVIDENCE_GUARD_FENCE = 1 << 0,
	/** A replica's last record must have the term of the commit. */
	EVIDENCE_GUARD_TERM = 1 << 1,
	/** Answers must be younger than evidence_rule_t.valid_ms. */
	EVIDENCE_GUARD_AGE = 1 << 2,
	/** The primary must have answered as well. */
	EVIDENCE_GUARD_PRIMARY = 1 << 3,
	/** A barrier uses only rounds that started after it was added. */
	EVIDENCE_GUARD_NEW_ROUND = 1 << 4,
	/** Enough replicas must have answered. */
	EVIDENCE_GUARD_REPLICAS = 1 << 5,
	EVIDENCE_GUARD_ALL = (1 << 6) - 1,
} evidence_guard_t;

/** The rule for one database. */
typedef struct {
	uint32_t servers;  /**< number of backend servers */
	uint32_t replicas; /**< replicas that must hold a commit */
	uint32_t valid_ms; /**< age at which evidence expires */
	uint32_t guards;   /**< EVIDENCE_GUARD_ALL except in tests */
} evidence_rule_t;

/**
 * Called when a commit or barrier ends.
 *
 * @param point   of a barrier: the primary's; of a commit: its own
 * @param age_ms  age of the oldest answer that the proof uses
 */
typedef void (*evidence_done_t)(void *context, bool proven, log_point_t point,
				uint64_t age_ms);

/** Callbacks; they are called from within the functions below. */
typedef struct {
	/**
	 * Queries a server's status. The server may delay its answer by up to
	 * @p wait_ms until it holds @p wanted. The result is passed to
	 * evidence_answer() with @p round.
	 */
	void (*send_request)(void *context, uint32_t server, uint64_t round,
			     log_point_t wanted, uint32_t wait_ms);
	void *context;
} evidence_handlers_t;

evidence_t *evidence_create(evidence_rule_t rule, evidence_handlers_t handlers);

/** Frees the state; the callbacks of waiters are not called. */
void evidence_destroy(evidence_t *evidence);

/** Adds a commit; @p done is called from a later call, not from this one. */
void evidence_commit(evidence_t *evidence, log_point_t point,
		     uint64_t deadline_ms, evidence_done_t done, void *context);

/** Adds a barrier; @p done is called from a later call, not from this one. */
void evidence_barrier(evidence_t *evidence, uint64_t deadline_ms,
		      evidence_done_t done, void *context);

/**
 * Handles the result of a query.
 *
 * @param status NULL if there was no answer
 */
void evidence_answer(evidence_t *evidence, uint64_t now_ms, uint32_t server,
		     uint64_t round, const server_status_t *status);

/** Ends proven and expired waiters, and starts a round if one is due. */
void evidence_step(evidence_t *evidence, uint64_t now_ms);

/** @return the time at which evidence_step() is due, or UINT64_MAX. */
uint64_t evidence_due_ms(const evidence_t *evidence);

/**
 * Handles the promotion of a server for @p term: waiting commits of older terms
 * can no longer be proven and end in the next call of evidence_step().
 */
void evidence_replaced(evidence_t *evidence, uint64_t term);

/** Ends all waiters as not proven. */
void evidence_abandon(evidence_t *evidence);

/** @return the number of waiting commits and barriers. */
uint32_t evidence_waiting(const evidence_t *evidence);

/** @return the number of rounds started so far. */
uint64_t evidence_rounds(const evidence_t *evidence);

#endif

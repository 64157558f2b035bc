#ifndef COORDINATION_SEND_BUDGET_H
#define COORDINATION_SEND_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Adaptive throttle: limits the statements that a node sends to an overloaded
 * server.
 *
 * The share of statements that is sent falls when the server rejects a
 * statement, and grows with accepted statements and with time. While not
 * everything can be sent, lower ranks fill the share first.
 *
 * Plain data, initially all zero. Times are of one monotonic clock, in
 * milliseconds.
 */

/** Number of ranks of statements; rank 0 is sent first. */
#define SEND_BUDGET_RANKS 24u

typedef struct {
	double held_back; /**< fraction of statements not to be sent, 0 to 1 */
	/** Decaying counts of arrived statements, by rank. */
	double offered[SEND_BUDGET_RANKS];
	/** Decaying counts of sent statements, by rank. */
	double sent[SEND_BUDGET_RANKS];
	uint64_t cut_ms; /**< when the share last fell, or 0 */
	uint64_t at_ms;	 /**< time as of which the other fields hold */
} send_budget_t;

/** The properties of a statement that determine its rank. */
typedef struct {
	uint32_t priority; /**< its database's priority, 0 is the most urgent */
	bool served_elsewhere;	/**< normally served by other servers */
	bool accepts_any_age;	/**< accepts data of a bounded age */
	bool opens_transaction; /**< opens a transaction: more statements follow
				 */
} send_rank_t;

/** @return the rank, below SEND_BUDGET_RANKS */
uint32_t send_budget_rank(const send_rank_t *rank);

/** Records that the server accepted a statement, or rejected it. */
void send_budget_answered(send_budget_t *budget, bool accepted,
			  uint64_t now_ms);

/** @return whether one more statement of a rank may be sent */
bool send_budget_allows(const send_budget_t *budget, uint32_t rank,
			uint64_t now_ms);

/** Records that a statement arrived, and whether it is sent. */
void send_budget_offered(send_budget_t *budget, uint32_t rank, bool sent,
			 uint64_t now_ms);

/** @return whether all statements may be sent */
bool send_budget_is_free(const send_budget_t *budget, uint64_t now_ms);

#endif

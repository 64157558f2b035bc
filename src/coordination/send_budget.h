#ifndef COORDINATION_SEND_BUDGET_H
#define COORDINATION_SEND_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * How much new work a node sends to a server that turns work away.
 *
 * The share of the work that is sent falls with each statement that the
 * server turned away, and grows with those that it took and with time. While
 * not everything can be sent, what ranks first fills the share first.
 *
 * Plain data, all zero at first. Times are of one monotonic clock, in
 * milliseconds.
 */

/** Classes of work; the first goes first. */
#define SEND_BUDGET_RANKS 24u

typedef struct {
	double held_back; /**< part of the work that is not sent, 0 to 1 */
	double offered[SEND_BUDGET_RANKS]; /**< fading counts by rank */
	double sent[SEND_BUDGET_RANKS];
	uint64_t cut_ms; /**< when the share fell last, or 0 */
	uint64_t at_ms;	 /**< when all this was as it stands here */
} send_budget_t;

/** What decides the rank of a statement. */
typedef struct {
	uint32_t priority; /**< of its database, 0 is the most urgent */
	bool elsewhere;	   /**< other servers serve it as a rule */
	bool any_age;	   /**< it also bears data of a stated age */
	bool opens;	   /**< more statements of a transaction follow */
} send_rank_t;

/** @return the rank, below SEND_BUDGET_RANKS */
uint32_t send_budget_rank(const send_rank_t *rank);

/** Takes in that the server answered: @p taken, or turned it away. */
void send_budget_answered(send_budget_t *budget, bool taken, uint64_t now_ms);

/** @return whether one more statement may be sent */
bool send_budget_allows(const send_budget_t *budget, uint32_t rank,
			uint64_t now_ms);

/** Takes in that a statement came, and whether it is sent. */
void send_budget_offered(send_budget_t *budget, uint32_t rank, bool sent,
			 uint64_t now_ms);

/** @return whether everything that comes may be sent */
bool send_budget_is_free(const send_budget_t *budget, uint64_t now_ms);

#endif

#ifndef COORDINATION_PROMOTION_H
#define COORDINATION_PROMOTION_H

#include "state/server_status.h"

/** Most backend servers of one database. */
#define PROMOTION_SERVER_LIMIT 16

/** Stands for any server that is good enough. */
#define PROMOTION_ANY UINT32_MAX

/** Bits of a term below its round; they tell orchestrators apart. */
#define PROMOTION_IDENTITY_BITS 24

/**
 * Orchestrates a change of primary: takes a new term, fences enough servers
 * that every set which could acknowledge is met, promotes the one of them
 * with the furthest log. Several orchestrators may run at once; a later one
 * fences higher and the earlier one gives way.
 */
typedef struct promotion promotion_t;

/** Conditions of the rule; a test leaves one out to show what it guards. */
typedef enum {
	PROMOTION_GUARD_FENCES = 1 << 0,     /**< all fences that are needed */
	PROMOTION_GUARD_LAST_TERM = 1 << 1,  /**< last record's term first */
	PROMOTION_GUARD_FENCE_TERM = 1 << 2, /**< a fence orders nothing */
	PROMOTION_GUARD_WAIT = 1 << 3,	     /**< old evidence runs out first */
	PROMOTION_GUARD_ONE = 1 << 4,	     /**< one server for each term */
	PROMOTION_GUARD_ALL = (1 << 5) - 1,
} promotion_guard_t;

/** The rule for one database at one orchestrator. */
typedef struct {
	uint32_t servers;  /**< number of backend servers */
	uint32_t replicas; /**< replicas that hold an acknowledged commit */
	uint32_t valid_ms; /**< age at which evidence is worthless */
	uint32_t identity; /**< of this process; seeds terms and jitter */
	uint32_t guards;   /**< PROMOTION_GUARD_ALL but in tests */
} promotion_rule_t;

/** Where a promotion stands. */
typedef enum {
	PROMOTION_IDLE,
	PROMOTION_HANDING, /**< the old primary is fenced, another catches up */
	PROMOTION_FENCING,
	PROMOTION_WAITING, /**< for the old term's evidence to run out */
	PROMOTION_PROMOTING,
	PROMOTION_BACKOFF, /**< a higher term was met */
	PROMOTION_STATE_COUNT,
} promotion_state_t;

/** What happened, for logs and metrics. */
typedef enum {
	PROMOTION_STARTED,
	PROMOTION_FENCED, /**< enough servers are fenced */
	PROMOTION_CHOSEN,
	PROMOTION_LACKING, /**< too few servers can be fenced as yet */
	PROMOTION_OUTBID,  /**< a higher term was met */
	PROMOTION_BEHIND,  /**< the server that was ordered is not the best */
	PROMOTION_ENDED,   /**< the server leads the term */
	PROMOTION_EVENT_COUNT,
} promotion_event_t;

/** Where orders go; calls come from inside the functions below. */
typedef struct {
	/** Starts an operation; it ends in promotion_answer(). */
	void (*ask)(void *context, uint32_t server,
		    server_operation_t operation, uint64_t term);
	/** Tells what happened; @p server is PROMOTION_ANY where none is. */
	void (*event)(void *context, promotion_event_t event, uint64_t term,
		      uint32_t server);
	void *context;
} promotion_handlers_t;

/** Where a promotion stands, for operators. */
typedef struct {
	promotion_state_t state;
	uint64_t term;
	uint32_t fenced; /**< servers fenced by this term */
	uint32_t needed; /**< servers that have to be */
	uint64_t started_ms;
	uint64_t fenced_ms;
} promotion_report_t;

promotion_t *promotion_create(promotion_rule_t rule,
			      promotion_handlers_t handlers);
void promotion_destroy(promotion_t *promotion);

/** Takes note of a term or fence; the next term is above all of them. */
void promotion_seen(promotion_t *promotion, uint64_t term);

/** Starts one for a lost primary, unless one runs already. */
void promotion_start(promotion_t *promotion, uint64_t now_ms);

/**
 * Starts one by operators' order, unless one runs already.
 *
 * @param primary the present primary: it is fenced first, so that the wanted
 *        server may catch up with it
 * @param wanted  the server to promote; it is passed over if another one
 *        holds more
 */
void promotion_order(promotion_t *promotion, uint64_t now_ms, uint32_t primary,
		     uint32_t wanted);

/** Gives up: another server leads a term that is higher. */
void promotion_stop(promotion_t *promotion);

/** Takes in how an operation of @p term ended. */
void promotion_answer(promotion_t *promotion, uint64_t now_ms, uint32_t server,
		      server_operation_t operation, uint64_t term,
		      server_result_t result, const server_status_t *status);

/** Repeats questions and goes on where a wait is over. */
void promotion_step(promotion_t *promotion, uint64_t now_ms);

/** @return when promotion_step() is due, or UINT64_MAX. */
uint64_t promotion_due_ms(const promotion_t *promotion);

promotion_report_t promotion_report(const promotion_t *promotion);

/** @return a lower-case name for logs; never NULL. */
const char *promotion_state_name(promotion_state_t state);

/** @return a lower-case name for logs; never NULL. */
const char *promotion_event_name(promotion_event_t event);

#endif

#ifndef COORDINATION_PROMOTION_H
#define COORDINATION_PROMOTION_H

#include "state/server_status.h"

/** Maximum number of backend servers of one database. */
#define PROMOTION_SERVER_LIMIT 16

/** In place of a server's index: any suitable server, or none. */
#define PROMOTION_ANY UINT32_MAX

/**
 * Low bits of a term that hold the identity of its coordinator. The identity is
 * drawn at random; with so many bits no two coordinators draw the same one.
 */
#define PROMOTION_IDENTITY_BITS 40

/**
 * Coordinates a change of primary: takes a new term, fences so many servers
 * that every set of servers which could acknowledge a commit contains a fenced
 * one, and promotes the fenced server with the longest log. Several
 * coordinators may run at once; a later one fences with a higher term and the
 * earlier one backs off.
 */
typedef struct promotion promotion_t;

/**
 * Conditions of the rule. Tests disable one at a time to show that each is
 * needed.
 */
typedef enum {
	/** The promotion waits until all needed servers are fenced. */
	PROMOTION_GUARD_FENCES = 1 << 0,
	/** Logs are compared by the term of the last record first. */
	PROMOTION_GUARD_LAST_TERM = 1 << 1,
	/** Logs are not ranked by fences, because a fence adds no record. */
	PROMOTION_GUARD_FENCE_TERM = 1 << 2,
	/** The promotion waits until evidence of the old term has expired. */
	PROMOTION_GUARD_WAIT = 1 << 3,
	/** Only one server is promoted in a term. */
	PROMOTION_GUARD_ONE_PER_TERM = 1 << 4,
	PROMOTION_GUARD_ALL = (1 << 5) - 1,
} promotion_guard_t;

/** The rule for one database at one coordinator. */
typedef struct {
	uint32_t servers;  /**< number of backend servers */
	uint32_t replicas; /**< replicas that hold an acknowledged commit */
	uint32_t valid_ms; /**< age at which evidence expires */
	uint64_t identity; /**< process identity; part of terms, seeds jitter */
	uint32_t guards;   /**< PROMOTION_GUARD_ALL except in tests */
} promotion_rule_t;

/** The state of a promotion. */
typedef enum {
	PROMOTION_IDLE,
	PROMOTION_HANDOVER,  /**< a replica catches up with the primary */
	PROMOTION_FENCING,   /**< servers are fenced until there are enough */
	PROMOTION_WAITING,   /**< the old term's evidence must expire */
	PROMOTION_PROMOTING, /**< the chosen server is being promoted */
	PROMOTION_BACKOFF,   /**< a pause because a higher term was seen */
	PROMOTION_STATE_COUNT,
} promotion_state_t;

/** Events of a promotion, for logs and metrics. */
typedef enum {
	PROMOTION_STARTED,	  /**< a new term was taken */
	PROMOTION_FENCED,	  /**< enough servers are fenced */
	PROMOTION_CHOSEN,	  /**< the server to promote was chosen */
	PROMOTION_FENCES_MISSING, /**< too few servers could be fenced so far */
	PROMOTION_HIGHER_TERM,	  /**< a higher term was seen */
	PROMOTION_ORDER_REFUSED, /**< the ordered server's log is not longest */
	PROMOTION_ENDED,	 /**< the server is primary of the term */
	PROMOTION_EVENT_COUNT,
} promotion_event_t;

/** Callbacks; they are called from within the functions below. */
typedef struct {
	/** Starts an operation; its result is passed to promotion_answer(). */
	void (*send_request)(void *context, uint32_t server,
			     server_operation_t operation, uint64_t term);
	/** Reports an event; @p server is PROMOTION_ANY if it concerns none. */
	void (*event)(void *context, promotion_event_t event, uint64_t term,
		      uint32_t server);
	void *context;
} promotion_handlers_t;

/** State of a promotion, for operators. */
typedef struct {
	promotion_state_t state;
	uint64_t term;	     /**< term that the promotion has taken */
	uint32_t fenced;     /**< servers fenced by this term */
	uint32_t needed;     /**< servers that must be fenced */
	uint64_t started_ms; /**< when the term was taken */
	uint64_t fenced_ms;  /**< when enough servers were fenced */
} promotion_report_t;

promotion_t *promotion_create(promotion_rule_t rule,
			      promotion_handlers_t handlers);
void promotion_destroy(promotion_t *promotion);

/** Records a term or fence; the next term will be above all of them. */
void promotion_seen(promotion_t *promotion, uint64_t term);

/** Starts a promotion for a lost primary, unless one is running. */
void promotion_start(promotion_t *promotion, uint64_t now_ms);

/**
 * Starts a promotion ordered by an operator, unless one is running.
 *
 * @param primary the current primary; it is fenced first, so that the wanted
 *        server can catch up with it
 * @param wanted  the server to promote; another server is promoted instead if
 *        its log is longer
 */
void promotion_order(promotion_t *promotion, uint64_t now_ms, uint32_t primary,
		     uint32_t wanted);

/** Stops the promotion: another server is primary of a higher term. */
void promotion_stop(promotion_t *promotion);

/** Handles the result of an operation of @p term. */
void promotion_answer(promotion_t *promotion, uint64_t now_ms, uint32_t server,
		      server_operation_t operation, uint64_t term,
		      server_result_t result, const server_status_t *status);

/** Repeats failed operations and continues after a wait that is over. */
void promotion_step(promotion_t *promotion, uint64_t now_ms);

/** @return the time at which promotion_step() is due, or UINT64_MAX. */
uint64_t promotion_due_ms(const promotion_t *promotion);

promotion_report_t promotion_report(const promotion_t *promotion);

/** @return a lower-case name for logs; never NULL. */
const char *promotion_state_name(promotion_state_t state);

/** @return a lower-case name for logs; never NULL. */
const char *promotion_event_name(promotion_event_t event);

#endif

#ifndef COORDINATION_TAKEOVER_H
#define COORDINATION_TAKEOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/log_point.h"
#include "state/server_status.h"

/**
 * Replaces the primary of one service. Decides by what it is told and the
 * time it is given; the steps are
 *
 * 1. write the intent into the service's record,
 * 2. end every registered lease and fence the oldest replica that answers:
 *    a node that has not heard of it has too few others to prove anything,
 * 3. wait until all that was proved before has run out or is forgotten,
 * 4. choose the replica with the longest log; a primary that still answers
 *    is first caught up with, so that nothing is lost,
 * 5. check that the duty is still held, promote, and
 * 6. write who leads.
 */
typedef struct takeover takeover_t;

/** Most servers of one service. */
#define TAKEOVER_SERVERS_MAX 8

typedef enum {
	TAKEOVER_IDLE,
	TAKEOVER_INTENT,  /**< the intent is being written */
	TAKEOVER_REVOKE,  /**< leases are ended, a replica is fenced */
	TAKEOVER_WAIT,	  /**< until proofs have run out */
	TAKEOVER_CHOOSE,  /**< compares logs */
	TAKEOVER_CONFIRM, /**< the duty is being checked */
	TAKEOVER_PROMOTE, /**< asked for, until the server leads */
	TAKEOVER_PUBLISH, /**< the new primary is being written */
} takeover_phase_t;

/** Why a primary is replaced. */
typedef enum {
	TAKEOVER_LOST,	  /**< it does not answer, or there is none */
	TAKEOVER_LEAVING, /**< it answers, but leaves for good */
	/** It is well, and stays if a replica does not have all it has. */
	TAKEOVER_RELIEF,
} takeover_kind_t;

/** What is known of a server at the start. */
typedef struct {
	const char *id;
	bool draining;
	uint64_t started_ms; /**< when it started; the order counts */
} takeover_server_t;

/** What came of an operation at a server. */
typedef struct {
	bool answered;	  /**< the rest is set */
	bool unreachable; /**< it surely refuses connections */
	server_role_t role;
	uint64_t term;
	uint64_t fence;
	log_point_t received;
} takeover_status_t;

/** How a call for the promotion ended. */
typedef enum {
	TAKEOVER_PROMOTED,
	TAKEOVER_NOT_RUNNING, /**< that server can't lead */
	TAKEOVER_UNKNOWN,     /**< it may still take effect */
} takeover_promoted_t;

/** The actions; each is answered by a function below. */
typedef struct {
	/** Writes the record, only if the duty and the record stand. */
	void (*write)(void *context, uint64_t term, const char *primary,
		      uint64_t takeover_term);
	/** Ends every registered lease. */
	void (*revoke)(void *context);
	void (*status)(void *context, const char *server);
	void (*fence)(void *context, const char *server, uint64_t term);
	void (*promote)(void *context, const char *server);
	/** It is over; servers may be released and old primaries stopped. */
	void (*done)(void *context, bool led, uint64_t term, const char *old,
		     const char *primary);
	void *context;
} takeover_actions_t;

takeover_t *takeover_create(takeover_actions_t actions);
void takeover_destroy(takeover_t *takeover);

/**
 * Starts, unless one runs.
 *
 * @param primary the present primary, or "" when there is none
 */
void takeover_start(takeover_t *takeover, uint64_t term, const char *primary,
		    takeover_kind_t kind, const takeover_server_t *servers,
		    uint32_t count, uint64_t now_ms);

/** Gives up; another node goes on. */
void takeover_abort(takeover_t *takeover);

/** The record was written, or not. */
void takeover_written(takeover_t *takeover, bool written, uint64_t now_ms);

/** Every lease was ended. */
void takeover_revoked(takeover_t *takeover, uint64_t now_ms);

/** Every node whose lease was ended has forgotten what it had proved. */
void takeover_forgotten(takeover_t *takeover, uint64_t now_ms);

void takeover_status(takeover_t *takeover, const char *server,
		     const takeover_status_t *status, uint64_t now_ms);
void takeover_fenced(takeover_t *takeover, const char *server,
		     const takeover_status_t *status, uint64_t now_ms);
void takeover_promoted(takeover_t *takeover, takeover_promoted_t result,
		       uint64_t now_ms);

/** Goes on where time is what was waited for. */
void takeover_step(takeover_t *takeover, uint64_t now_ms);

takeover_phase_t takeover_phase(const takeover_t *takeover);

/** @return a lower-case name for logs; never NULL. */
const char *takeover_phase_name(takeover_phase_t phase);

#endif

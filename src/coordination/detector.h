#ifndef COORDINATION_DETECTOR_H
#define COORDINATION_DETECTOR_H

#include "state/server_status.h"

/** Most backend servers of one database. */
#define DETECTOR_SERVER_LIMIT 16

/**
 * Decides at one node whether a database has lost its primary. What its own
 * servers show raises a suspicion; then all servers are asked, and only if
 * as many as a promotion needs agree is the primary called lost.
 */
typedef struct detector detector_t;

/** The rule for one database. */
typedef struct {
	uint32_t servers;    /**< number of backend servers */
	uint32_t replicas;   /**< replicas that hold an acknowledged commit */
	uint32_t suspect_ms; /**< silence before a primary is suspect */
	uint32_t valid_ms;   /**< age at which evidence is worthless */
} detector_rule_t;

/** Why a primary is held to be lost. */
typedef enum {
	DETECTOR_SILENT,      /**< replicas do not hear it */
	DETECTOR_REFUSED,     /**< its owners see it refuse, replicas agree */
	DETECTOR_CUT_OFF,     /**< no owner has reached it for long */
	DETECTOR_FENCE_STUCK, /**< an earlier promotion was left half done */
	DETECTOR_REASON_COUNT,
} detector_reason_t;

/** Where orders go; calls come from inside the functions below. */
typedef struct {
	/** Asks a server for its status; ends in detector_answer(). */
	void (*ask)(void *context, uint32_t server, uint64_t canvass);
	/** Its own servers make this node doubt the primary. */
	void (*suspect)(void *context);
	/** The primary is lost: promote. */
	void (*lost)(void *context, detector_reason_t reason,
		     uint64_t suspected_ms);
	void *context;
} detector_handlers_t;

detector_t *detector_create(detector_rule_t rule, detector_handlers_t handlers);
void detector_destroy(detector_t *detector);

/** A newer term and primary are known. */
void detector_view(detector_t *detector, uint64_t now_ms, uint64_t term,
		   uint32_t primary);

/** Sets how many other nodes are to act before this one. */
void detector_rank(detector_t *detector, uint32_t rank);

/**
 * Takes in a poll of an own server.
 *
 * @param status   NULL when it failed
 * @param failures polls in a row that failed
 */
void detector_polled(detector_t *detector, uint64_t now_ms, uint32_t server,
		     const server_status_t *status, uint32_t failures);

/** This node no longer polls the server. */
void detector_forget(detector_t *detector, uint32_t server);

/** Takes in how a question ended. */
void detector_answer(detector_t *detector, uint64_t now_ms, uint32_t server,
		     uint64_t canvass, server_result_t result,
		     const server_status_t *status);

void detector_step(detector_t *detector, uint64_t now_ms);

/** What the last canvass showed. */
typedef struct {
	uint64_t suspected_ms; /**< since when, 0 if the primary is not */
	uint32_t answers;      /**< servers that answered */
	uint32_t silent;       /**< replicas that do not hear the primary */
	uint32_t needed;       /**< servers that a promotion needs */
} detector_report_t;

detector_report_t detector_report(const detector_t *detector);

/** @return when detector_step() is due, or UINT64_MAX. */
uint64_t detector_due_ms(const detector_t *detector);

/** @return a lower-case name for logs; never NULL. */
const char *detector_reason_name(detector_reason_t reason);

#endif

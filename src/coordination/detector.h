#ifndef COORDINATION_DETECTOR_H
#define COORDINATION_DETECTOR_H

#include "state/server_status.h"

/** Maximum number of backend servers of one database. */
#define DETECTOR_SERVER_LIMIT 16

/**
 * Failure detector of a database's primary, run by each node. Polls of the
 * servers that this node owns raise a suspicion. The detector then queries all
 * servers in a poll round and reports the primary lost only if as many servers
 * as a promotion needs agree.
 */
typedef struct detector detector_t;

/** The rule for one database. */
typedef struct {
	uint32_t servers;    /**< number of backend servers */
	uint32_t replicas;   /**< replicas that hold an acknowledged commit */
	uint32_t suspect_ms; /**< unresponsive time that raises a suspicion */
	uint32_t valid_ms;   /**< age at which evidence expires */
} detector_rule_t;

/** Why a primary counts as lost. */
typedef enum {
	DETECTOR_SILENT,  /**< replicas receive nothing from it */
	DETECTOR_REFUSED, /**< it is unreachable and replicas confirm it */
	DETECTOR_CUT_OFF, /**< unreachable from all owners for a long time */
	DETECTOR_FENCE_STUCK, /**< an earlier promotion did not complete */
	DETECTOR_REASON_COUNT,
} detector_reason_t;

/** Callbacks; they are called from within the functions below. */
typedef struct {
	/**
	 * Queries a server's status; the result is passed to
	 * detector_answer() with @p poll_round.
	 */
	void (*send_request)(void *context, uint32_t server,
			     uint64_t poll_round);
	/** Reports that this node suspects the primary. */
	void (*suspect)(void *context);
	/** Reports that the primary is lost and must be replaced. */
	void (*lost)(void *context, detector_reason_t reason,
		     uint64_t suspected_ms);
	void *context;
} detector_handlers_t;

detector_t *detector_create(detector_rule_t rule, detector_handlers_t handlers);
void detector_destroy(detector_t *detector);

/** Sets the newest known term and its primary; older terms are ignored. */
void detector_set_primary(detector_t *detector, uint64_t now_ms, uint64_t term,
			  uint32_t primary);

/** Sets how many other nodes start a poll round before this one. */
void detector_set_rank(detector_t *detector, uint32_t rank);

/**
 * Records the result of a regular poll of a server that this node owns.
 *
 * @param status   NULL if the poll failed
 * @param failures number of consecutive failed polls
 */
void detector_record_poll(detector_t *detector, uint64_t now_ms,
			  uint32_t server, const server_status_t *status,
			  uint32_t failures);

/** Discards what is known of a server that this node no longer polls. */
void detector_forget(detector_t *detector, uint32_t server);

/** Handles the result of a query; @p status is NULL if there was no answer. */
void detector_answer(detector_t *detector, uint64_t now_ms, uint32_t server,
		     uint64_t poll_round, server_result_t result,
		     const server_status_t *status);

/** Raises or clears the suspicion and starts a poll round if one is due. */
void detector_step(detector_t *detector, uint64_t now_ms);

/** The current suspicion and the result of the last poll round. */
typedef struct {
	uint64_t suspected_ms; /**< start of the suspicion, 0 for none */
	uint32_t answers;      /**< servers that answered */
	uint32_t silent; /**< replicas that receive nothing from the primary */
	uint32_t needed; /**< servers that a promotion needs */
} detector_report_t;

detector_report_t detector_report(const detector_t *detector);

/** @return the time at which detector_step() is due, or UINT64_MAX. */
uint64_t detector_due_ms(const detector_t *detector);

/** @return a lower-case name for logs; never NULL. */
const char *detector_reason_name(detector_reason_t reason);

#endif

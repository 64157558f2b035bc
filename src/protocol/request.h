#ifndef PROTOCOL_REQUEST_H
#define PROTOCOL_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/log_point.h"

/** Outcome of a request that has ended. */
typedef enum {
	OUTCOME_DONE,	 /**< it ran; the answer contains its result */
	OUTCOME_NOT_RUN, /**< it had no effect and may be retried */
	OUTCOME_UNKNOWN, /**< it may have taken effect */
} outcome_t;

/** Reason why a request was not run, or why its outcome is unknown. */
typedef enum {
	REASON_NONE,
	REASON_BEHIND, /**< the replica had not replayed the required point */
	REASON_STALE, /**< the replica could not prove the required freshness */
	REASON_OTHER_TERM,  /**< the server follows another term */
	REASON_NOT_PRIMARY, /**< a write was sent to a replica */
	REASON_NOT_OWNER,   /**< the node does not own the server */
	REASON_OVERLOADED, /**< the queue is full or the deadline is too near */
	REASON_DEADLINE,   /**< the deadline passed */
	REASON_UNREACHABLE, /**< the server or the owner cannot be reached */
	REASON_LEAVING,	    /**< the server or node is leaving */
	REASON_UNCONFIRMED, /**< too few replicas received the commit in time */
	REASON_LOST_ANSWER, /**< the connection broke before the answer */
	REASON_NO_PRIMARY,  /**< no primary is known, or none is safe to use */
	REASON_CANCELLED,   /**< the caller cancelled it or disconnected */
	REASON_PAUSED, /**< the owner's process was paused while it waited */
	REASON_UNKNOWN_LEASE, /**< the transaction's connection is gone */
	REASON_COUNT,
} reason_t;

/** Kind of a request; determines which server may run it. */
typedef enum {
	REQUEST_READ,  /**< one read; runs on any server that is fresh enough */
	REQUEST_WRITE, /**< one change; runs on the primary */
	REQUEST_TRANSACTION, /**< part of an open transaction */
	REQUEST_KIND_COUNT,
} request_kind_t;

/**
 * One request of one caller, sent by its entry node to the owner of a backend
 * server. Plain data; the request owns its strings and bytes.
 */
typedef struct {
	uint64_t request_id; /**< unique within the entry node's incarnation */
	uint64_t session_id; /**< the caller's session on its entry node */
	uint64_t lease_id;   /**< lease of the pinned server connection, or 0 */
	char *database;	     /**< database name in the configuration */
	char *server;	     /**< backend server that is to run the request */
	char *tenant;	     /**< service; tenants share servers fairly */
	uint32_t class_index; /**< class within the tenant; 0 is served first */
	request_kind_t kind;
	uint64_t term; /**< the server must be primary of it; 0: any replica */
	log_point_t at_least; /**< point that a read needs to be replayed */
	uint32_t max_age_ms;  /**< maximum proven age of the data; 0 if unset */
	uint32_t timeout_ms;  /**< time left until the deadline */
	char *request_key;    /**< caller's idempotency key, or NULL */
	GBytes *bytes;	      /**< PostgreSQL messages up to Query or Sync */
} request_t;

/** How a request ended. */
typedef struct {
	outcome_t outcome;
	reason_t reason;
	char transaction_status; /**< 'I', 'T' or 'E' as in ReadyForQuery */
	uint64_t lease_id; /**< lease of the still pinned connection, or 0 */
	log_point_t point; /**< commit point, or replayed point of a read */
	uint64_t primary_term; /**< newest term known to the owner, or 0 */
	char primary[64];      /**< primary of that term, or empty */
} answer_t;

/**
 * Callbacks that receive the answer of a request: chunk any number of times,
 * then end once. A chunk consists of complete PostgreSQL messages without the
 * final ReadyForQuery, which the entry node writes itself.
 */
typedef struct {
	void (*chunk)(void *context, uint64_t request_id, GBytes *bytes);
	void (*end)(void *context, uint64_t request_id, const answer_t *answer);
	void *context;
} answer_sink_t;

/** @return a zeroed request; free with request_delete(). */
request_t *request_new(void);

/** Frees a request and everything it owns; NULL is allowed. */
void request_delete(request_t *request);

/** @return a deep copy that shares the bytes. */
request_t *request_copy(const request_t *request);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *outcome_name(outcome_t outcome);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *reason_name(reason_t reason);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *request_kind_name(request_kind_t kind);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(request_t, request_delete)

#endif

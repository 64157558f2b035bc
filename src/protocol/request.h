#ifndef PROTOCOL_REQUEST_H
#define PROTOCOL_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "state/log_point.h"

/** What is known of a request once it has ended. */
typedef enum {
	OUTCOME_DONE,	 /**< it ran; the answer says with what result */
	OUTCOME_NOT_RUN, /**< it had no effect; it may be retried */
	OUTCOME_UNKNOWN, /**< it may have taken effect */
} outcome_t;

/** Why a request was not run, or why its outcome is not known. */
typedef enum {
	REASON_NONE,
	REASON_BEHIND,	      /**< the replica had not replayed the point */
	REASON_STALE,	      /**< fresher than the replica can prove */
	REASON_OTHER_TERM,    /**< the server follows another term */
	REASON_NOT_PRIMARY,   /**< a write sent to a replica */
	REASON_NOT_OWNER,     /**< the node does not own the server */
	REASON_OVERLOADED,    /**< the queue is full or the deadline too near */
	REASON_DEADLINE,      /**< the deadline passed */
	REASON_UNREACHABLE,   /**< the server or the owner cannot be reached */
	REASON_LEAVING,	      /**< the server or node is leaving */
	REASON_UNCONFIRMED,   /**< too few replicas held the commit in time */
	REASON_LOST_ANSWER,   /**< the connection broke before the answer */
	REASON_NO_PRIMARY,    /**< no primary is known or safe */
	REASON_CANCELLED,     /**< the caller cancelled or went away */
	REASON_PAUSED,	      /**< the owner stood still meanwhile */
	REASON_UNKNOWN_LEASE, /**< the transaction's connection is gone */
	REASON_COUNT,
} reason_t;

/** What a request needs of the server that runs it. */
typedef enum {
	REQUEST_READ,	     /**< one read; any server fresh enough */
	REQUEST_WRITE,	     /**< one change; the primary only */
	REQUEST_TRANSACTION, /**< part of a transaction; holds its server */
	REQUEST_KIND_COUNT,
} request_kind_t;

/**
 * One request of one caller, as it travels from its entry node to the owner
 * of a backend server. Plain data; strings and bytes are owned by the request.
 */
typedef struct {
	uint64_t request_id;  /**< unique within the entry node's incarnation */
	uint64_t session_id;  /**< the caller's session on its entry node */
	uint64_t lease_id;    /**< server connection held, 0 for none yet */
	char *database;	      /**< database name of the configuration */
	char *server;	      /**< backend server that shall run it */
	char *tenant;	      /**< service; fairness is between tenants */
	uint32_t class_index; /**< class within the tenant, 0 first served */
	request_kind_t kind;
	uint64_t term;	      /**< term the server must lead; 0: any replica */
	log_point_t at_least; /**< replayed point a read needs */
	uint32_t max_age_ms;  /**< stated age a read accepts; 0 for none */
	uint32_t timeout_ms;  /**< time left until the deadline */
	char *request_key;    /**< caller's idempotency key, or NULL */
	GBytes *bytes;	      /**< PostgreSQL messages up to Query or Sync */
} request_t;

/** How a request ended. */
typedef struct {
	outcome_t outcome;
	reason_t reason;
	char transaction_status; /**< 'I', 'T' or 'E' as in ReadyForQuery */
	uint64_t lease_id;	 /**< server connection still held, or 0 */
	log_point_t point;     /**< commit point, or replayed point of a read */
	uint64_t primary_term; /**< newest term known to the owner, or 0 */
	char primary[64];      /**< primary of that term, or empty */
} answer_t;

/**
 * Where the answer of a request goes. Calls come in the order: any number of
 * chunks, then one end. Chunks are whole PostgreSQL messages without the
 * closing ReadyForQuery, which the entry node writes itself.
 */
typedef struct {
	void (*chunk)(void *context, uint64_t request_id, GBytes *bytes);
	void (*end)(void *context, uint64_t request_id, const answer_t *answer);
	void *context;
} answer_sink_t;

/** @return a request of zeroes that request_delete() frees. */
request_t *request_new(void);

/** Frees a request and all that it owns; NULL is allowed. */
void request_delete(request_t *request);

/** @return a deep copy; the bytes are shared. */
request_t *request_copy(const request_t *request);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *outcome_name(outcome_t outcome);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *reason_name(reason_t reason);

/** @return a lower-case name for logs and metrics; never NULL. */
const char *request_kind_name(request_kind_t kind);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(request_t, request_delete)

#endif

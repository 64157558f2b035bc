#ifndef RELAY_RELAY_SESSION_H
#define RELAY_RELAY_SESSION_H

#include <event2/util.h>

#include "coordination/drain_plan.h"
#include "coordination/memory_budget.h"
#include "relay/relay_quota.h"
#include "relay/relay_service.h"

/**
 * One caller's connection with its transaction, session variables and prepared
 * statements.
 */
typedef struct relay_session relay_session_t;

/** Settings and callbacks that all sessions of a node share. */
typedef struct {
	struct event_base *base;
	const relay_codec_t *codec;
	relay_services_t *services;
	catalog_t *catalog;   /**< NULL until the node has its first catalog */
	metrics_t *metrics;   /**< NULL to count nothing */
	relay_quota_t *quota; /**< NULL to admit all operations */
	/** For session variables and prepared statements; NULL for no limit. */
	memory_budget_t *memory;
	drain_plan_t drain; /**< sessions close as they become idle */
	/** The session ended on its own and is about to be freed. */
	void (*ended)(void *context, relay_session_t *session);
	void *context;
} relay_session_host_t;

/** Creates a session that owns the connected socket @p fd. */
relay_session_t *relay_session_create(relay_session_host_t *host,
				      evutil_socket_t fd);

/**
 * Closes the session. A running statement is abandoned, an open transaction is
 * rolled back.
 */
void relay_session_destroy(relay_session_t *session);

/**
 * Applies a new catalog: resumes a session that waited for the first one, and
 * drops the reference of an idle session to the previous one.
 */
void relay_session_configured(relay_session_t *session);

/**
 * Closes the session if nothing is open and it has been idle long enough; rolls
 * its transaction back if that may not end in time.
 */
void relay_session_drain(relay_session_t *session);

/** What the end of a drain cuts, by kind. */
typedef struct {
	uint32_t unsent;       /**< statements that no server was sent */
	uint32_t sent;	       /**< statements that a server may have run */
	uint32_t transactions; /**< open transactions without a statement */
} relay_cut_t;

/**
 * Answers what the session has accepted, with what is known now, and closes it
 * once the answers are written.
 */
void relay_session_finish(relay_session_t *session, relay_cut_t *cut);

/** Rolls back an open transaction in which no statement runs. */
void relay_session_end_transaction(relay_session_t *session);

/** @return whether a statement or a transaction is open */
bool relay_session_is_busy(const relay_session_t *session);

#endif

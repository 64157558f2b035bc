#ifndef RELAY_RELAY_SESSION_H
#define RELAY_RELAY_SESSION_H

#include <event2/util.h>

#include "relay/relay_service.h"

/** One caller's connection: its transaction, variables and statements. */
typedef struct relay_session relay_session_t;

/** What all sessions of a node share. */
typedef struct {
	struct event_base *base;
	const relay_codec_t *codec;
	relay_services_t *services;
	catalog_t *catalog; /**< NULL before the first */
	bool draining;
	/** The session ended by itself and is about to be freed. */
	void (*ended)(void *context, relay_session_t *session);
	void *context;
} relay_session_host_t;

/** Takes over a connected socket. */
relay_session_t *relay_session_create(relay_session_host_t *host,
				      evutil_socket_t fd);

/** Ends it: what runs is abandoned, an open transaction is rolled back. */
void relay_session_destroy(relay_session_t *session);

/** Goes on with a session that waited for the node's first catalog. */
void relay_session_configured(relay_session_t *session);

/** Closes it if nothing is open and the caller has been silent for a while. */
void relay_session_drain(relay_session_t *session);

/** Rolls back an open transaction in which no statement runs. */
void relay_session_end_transaction(relay_session_t *session);

/** @return whether a statement or a transaction is open */
bool relay_session_is_busy(const relay_session_t *session);

#endif

#ifndef RELAY_RELAY_QUOTA_LINK_H
#define RELAY_RELAY_QUOTA_LINK_H

#include "coordination/quota_bucket.h"
#include "relay/relay_service.h"

/** The connection of a node to one quota leader of another node. */
typedef struct relay_quota_link relay_quota_link_t;

typedef struct {
	/** Requests can be sent now, or no more. */
	void (*changed)(void *context);
	/**
	 * A request was answered.
	 *
	 * @param admission NULL if the leader is not certain of its right
	 */
	void (*answered)(void *context, const char *customer, uint32_t count,
			 const quota_admission_t *admission);
	/** The leader is late, once until it answers; NULL for nothing. */
	void (*late)(void *context);
	/** A request was given up; NULL for nothing. */
	void (*unanswered)(void *context, const char *customer);
	/**
	 * The connection has ended; its requests are unanswered.
	 *
	 * @param refused whether the other node answered that it does not lead
	 */
	void (*failed)(void *context, bool refused);
	void *context;
} relay_quota_link_handlers_t;

/**
 * Creates a link that is not connected.
 *
 * @param late_ms time without an answer after which a leader is late; its
 *        connection is kept until 300 ms, and a late answer counts
 */
relay_quota_link_t *
relay_quota_link_create(relay_services_t *services, uint32_t late_ms,
			relay_quota_link_handlers_t handlers);

/** Closes the connection; NULL is allowed. */
void relay_quota_link_destroy(relay_quota_link_t *link);

/**
 * Connects to another address. Nothing changes if it is the present one.
 *
 * @param endpoint NULL to disconnect
 */
void relay_quota_link_set_endpoint(relay_quota_link_t *link,
				   const endpoint_t *endpoint);

/**
 * Opens the connection unless it exists or has failed a moment ago.
 *
 * @return whether it exists, open or not yet
 */
bool relay_quota_link_connect(relay_quota_link_t *link, uint64_t now_ms);

bool relay_quota_link_is_open(const relay_quota_link_t *link);

/** Requests tokens; the connection must be open. */
void relay_quota_link_ask(relay_quota_link_t *link, const char *customer,
			  uint32_t count);

/** Requests tokens for this node's own leader; must be open. */
void relay_quota_link_borrow(relay_quota_link_t *link, const char *customer,
			     uint32_t count);

/** Ends what has timed out, and a connection that is not used. */
void relay_quota_link_step(relay_quota_link_t *link, uint64_t now_ms);

#endif

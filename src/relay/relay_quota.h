#ifndef RELAY_RELAY_QUOTA_H
#define RELAY_RELAY_QUOTA_H

#include "relay/relay_quota_leader.h"
#include "relay/relay_service.h"

/**
 * Obtains the tokens for the operations of customers with a quota: asks the
 * quota leaders, over connections that are kept while they are in use.
 */
typedef struct relay_quota relay_quota_t;

/** An operation that waits for a token. */
typedef struct relay_quota_ticket relay_quota_ticket_t;

/**
 * Called once, never during the call that created the ticket, which is freed.
 *
 * @param retry_after_ms when the operation may be retried, if not admitted
 */
typedef void (*relay_quota_done_t)(void *context, bool admitted,
				   uint32_t retry_after_ms);

/** Addresses of the hubs. */
typedef struct {
	/** @return where to reach a hub, or NULL if it is unknown */
	const endpoint_t *(*endpoint)(void *context, const char *hub);
	void *context;
} relay_quota_handlers_t;

/** @param leader of this node; must outlive the quota */
relay_quota_t *relay_quota_create(relay_services_t *services,
				  relay_quota_leader_t *leader,
				  relay_quota_handlers_t handlers);

/** All tickets must have ended before; NULL is allowed. */
void relay_quota_destroy(relay_quota_t *quota);

/** Connects to the domain's quota leader if the catalog has quotas. */
void relay_quota_configure(relay_quota_t *quota, const catalog_t *catalog);

/** Applies a change of a key below RELAY_QUOTA_PREFIX. */
void relay_quota_key_changed(relay_quota_t *quota, const kv_item_t *item);

/** The handler may have new addresses. */
void relay_quota_hubs_changed(relay_quota_t *quota);

/**
 * Obtains a token for an operation.
 *
 * @param id of the operation's first statement, for the log
 * @return NULL if a token was obtained at once; otherwise a ticket, and
 *         @p done is called later
 */
relay_quota_ticket_t *relay_quota_acquire(relay_quota_t *quota,
					  const char *customer, const char *id,
					  relay_quota_done_t done,
					  void *context);

/**
 * Gives up a ticket; its callback is not called. A token that it has obtained
 * is kept for the next operation of the customer.
 */
void relay_quota_cancel(relay_quota_ticket_t *ticket);

/** Keeps a token whose operation was not started. */
void relay_quota_keep(relay_quota_t *quota, const char *customer);

#endif

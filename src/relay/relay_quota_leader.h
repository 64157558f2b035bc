#ifndef RELAY_RELAY_QUOTA_LEADER_H
#define RELAY_RELAY_QUOTA_LEADER_H

#include <event2/event.h>

#include "coordination/quota_bucket.h"
#include "relay/relay_coordinator.h"
#include "state/catalog.h"
#include "store/kv_store.h"

/** Prefix of the keys of the failure domains' quota records. */
#define RELAY_QUOTA_PREFIX RELAY_PRIMARIES_PREFIX "quota/"

/** Name of the service to which a node connects that asks for tokens. */
#define RELAY_QUOTA_SERVICE "toucanhook.quota"

/**
 * A hub as candidate for the quota leader of its failure domain: maintains the
 * domain's record in the store, and admits operations while it is the leader.
 */
typedef struct relay_quota_leader relay_quota_leader_t;

/** What the node knows of the hub that leads. */
typedef struct {
	/** @return whether a hub key of the domain names @p node */
	bool (*is_hub)(void *context, const char *node);
	/** @return when @p node last answered, on the boot clock, or 0 */
	uint64_t (*heard_ms)(void *context, const char *node);
	void *context;
} relay_quota_leader_handlers_t;

/**
 * @param domain of this node
 * @param share  of this domain in the site
 */
relay_quota_leader_t *
relay_quota_leader_create(struct event_base *base, kv_store_t *store,
			  const char *node, const char *domain,
			  quota_share_t share,
			  relay_quota_leader_handlers_t handlers);

/** Must be called before the store is destroyed. NULL is allowed. */
void relay_quota_leader_destroy(relay_quota_leader_t *leader);

/** Sets the limits; without a quota nothing is written. */
void relay_quota_leader_configure(relay_quota_leader_t *leader,
				  catalog_t *catalog);

/**
 * Sets whether this node is a hub, or about to claim a hub's key. A node that
 * is no hub any more releases its record.
 */
void relay_quota_leader_set_hub(relay_quota_leader_t *leader, bool is_hub);

/** The hub's key is claimed; nothing is written before. */
void relay_quota_leader_registered(relay_quota_leader_t *leader);

/** Applies a change of a key below RELAY_QUOTA_PREFIX. */
void relay_quota_leader_key_changed(relay_quota_leader_t *leader,
				    const kv_item_t *item);

/**
 * Applies a list or watch of all records that the store answered.
 *
 * @param sent_ms when the request was sent, on the boot clock
 */
void relay_quota_leader_synced(relay_quota_leader_t *leader, int64_t revision,
			       uint64_t sent_ms);

/** Stops admitting for good and lets another hub lead. */
void relay_quota_leader_resign(relay_quota_leader_t *leader);

/** @return whether this node may admit operations now */
bool relay_quota_leader_is_active(const relay_quota_leader_t *leader);

/** The other quota leaders, from which this one borrows. */
typedef struct {
	/**
	 * Asks one for tokens; relay_quota_leader_end_loan() is called later.
	 *
	 * @return false if none can be asked now
	 */
	bool (*borrow)(void *context, const char *customer, uint32_t count);
	void *context;
} relay_quota_lenders_t;

/** Without @p lenders, with a callback of NULL, nothing is borrowed. */
void relay_quota_leader_set_lenders(relay_quota_leader_t *leader,
				    relay_quota_lenders_t lenders);

/** @param granted tokens that another leader has given, 0 without an answer */
void relay_quota_leader_end_loan(relay_quota_leader_t *leader,
				 const char *customer, uint32_t granted);

/**
 * Gives tokens of a customer to another leader.
 *
 * @return false if this node may not admit operations now
 */
bool relay_quota_leader_lend(relay_quota_leader_t *leader, const char *customer,
			     uint32_t count, quota_admission_t *admission);

/**
 * Takes tokens of a customer.
 *
 * @return false if this node may not admit operations now
 */
bool relay_quota_leader_admit(relay_quota_leader_t *leader,
			      const char *customer, uint32_t count,
			      quota_admission_t *admission);

#endif

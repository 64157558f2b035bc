#ifndef RELAY_RELAY_CALLER_H
#define RELAY_RELAY_CALLER_H

#include "base/metrics.h"
#include "state/customer_index.h"

/** Result of looking up a caller's key. */
typedef enum {
	RELAY_CALLER_KNOWN,    /**< may run statements */
	RELAY_CALLER_UNKNOWN,  /**< the key was never valid in this session */
	RELAY_CALLER_WITHDRAWN /**< the key was valid earlier in this session */
} relay_caller_check_t;

/** A caller as identified by the key of its start-up. */
typedef struct {
	customer_key_t key;
	bool was_known; /**< a customer held the key at an earlier look-up */
	/** Customer of the current operation; owned by its catalog, or NULL. */
	const catalog_customer_t *customer;
} relay_caller_t;

/**
 * Keeps the hash of the key and clears the key itself.
 *
 * @param key cleared and freed; NULL if the caller sent none
 */
void relay_caller_init(relay_caller_t *caller, char *key);

/**
 * Looks up the key at the start of an operation and sets the customer.
 *
 * @param catalog newest catalog; must exist while the operation runs
 */
relay_caller_check_t relay_caller_identify(relay_caller_t *caller,
					   const catalog_t *catalog,
					   const catalog_database_t *database);

/**
 * Looks up the key during a transaction.
 *
 * @param newest newest catalog
 * @return whether the transaction may continue: the caller may use the
 *         database and is the same customer as when the transaction began
 */
bool relay_caller_is_unchanged(const relay_caller_t *caller,
			       const catalog_t *newest,
			       const catalog_database_t *database);

/**
 * Logs and counts a rejected caller.
 *
 * @param metrics NULL to count nothing
 */
void relay_caller_report(relay_caller_check_t check, const char *database,
			 metrics_t *metrics);

#endif

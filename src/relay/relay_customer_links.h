#ifndef RELAY_RELAY_CUSTOMER_LINKS_H
#define RELAY_RELAY_CUSTOMER_LINKS_H

#include "coordination/customer_pool.h"
#include "relay/relay_link_pool.h"

/**
 * The connections to the server itself, each of which serves one customer.
 * Applies customer_pool_decide() to a pool of links and a queue of waiters.
 */
typedef struct {
	relay_link_pool_t *pool;
	const wait_queue_t *queue;
	const customer_uses_t *uses;
	uint32_t room;	   /**< connections that this node may have */
	uint32_t reserved; /**< part of the room for control statements */
	bool forwards;	   /**< statements of customers use forwarded links */
	bool control_forwards; /**< so do control statements */
	uint64_t now_ms;       /**< on the boot clock */
} relay_customer_links_t;

/** @return whether @p waiter needs a connection to the server itself */
bool relay_customer_links_is_direct(const relay_customer_links_t *links,
				    const relay_waiter_t *waiter);

/**
 * @param closing set to the link to be closed, if the decision is to close one
 */
customer_pool_decision_t
relay_customer_links_decide(const relay_customer_links_t *links,
			    relay_link_t **closing);

/**
 * @return an idle link that was not used for long, or one above the room, or
 *         NULL
 */
relay_link_t *relay_customer_links_expired(const relay_customer_links_t *links);

/** @return whether there is a link for control statements, or one is opened */
bool relay_customer_links_has_control(const relay_customer_links_t *links);

/** @return number of waiters for whom a forwarded link is to be opened */
uint32_t
relay_customer_links_forwarded_wanted(const relay_customer_links_t *links);

#endif

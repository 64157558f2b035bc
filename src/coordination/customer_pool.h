#ifndef COORDINATION_CUSTOMER_POOL_H
#define COORDINATION_CUSTOMER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * Decides which customer gets the next connection of a node to one server, and
 * which idle connection is closed for it.
 *
 * Load pattern: 85 customers share 4 to 12 connections. The largest ten send
 * two thirds of the statements (Zipf, exponent 1.2), one of them may have many
 * statements waiting, and opening a connection costs the server 12 ms of one
 * of its 2 to 4 slots. So a customer that waits must get a connection even
 * while another customer's statements fill the queue, and a connection must
 * serve several statements before it is closed.
 */

/**
 * Time for which an idle connection is protected after its last use, unless
 * its customer holds more than its guaranteed share.
 */
#define CUSTOMER_POOL_PROTECTED_MS 150

typedef enum {
	CUSTOMER_POOL_OPENING,
	CUSTOMER_POOL_IDLE,
	CUSTOMER_POOL_BUSY,
} customer_pool_state_t;

/** One connection that this node has to the server. */
typedef struct {
	const char *customer; /**< NULL for none, and for control statements */
	customer_pool_state_t state;
	uint64_t used_ms; /**< when its last use ended, or when it was opened */
	bool served;	  /**< has served a statement */
} customer_pool_connection_t;

/** One statement that waits for a connection. */
typedef struct {
	const char *customer; /**< NULL for none, and for control statements */
	uint64_t due_ms;      /**< the earliest is served first */
	bool urgent;	      /**< may exceed the room by one connection */
} customer_pool_waiter_t;

typedef struct {
	const customer_pool_connection_t *connections;
	uint32_t connections_count;
	const customer_pool_waiter_t *waiters;
	uint32_t waiters_count;
	uint32_t room;	   /**< connections that this node may have */
	uint32_t reserved; /**< part of the room for control statements */
	uint64_t now_ms;
} customer_pool_input_t;

typedef enum {
	CUSTOMER_POOL_WAIT,  /**< nothing to do before the state changes */
	CUSTOMER_POOL_OPEN,  /**< open a connection for the customer */
	CUSTOMER_POOL_CLOSE, /**< close an idle connection for the customer */
} customer_pool_action_t;

typedef struct {
	customer_pool_action_t action;
	const char *customer; /**< that gets the connection */
	uint32_t connection;  /**< CUSTOMER_POOL_CLOSE: index of the idle one */
	/** CUSTOMER_POOL_WAIT: when to decide again, or 0. */
	uint64_t retry_at_ms;
} customer_pool_decision_t;

/**
 * Decides the next action. Idle connections are granted to waiting statements
 * of their customers only after the decision is no longer to close one.
 */
customer_pool_decision_t
customer_pool_decide(const customer_pool_input_t *input);

#endif

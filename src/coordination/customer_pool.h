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

/** How often each customer was served lately. */
typedef struct {
	GHashTable *uses; /**< customer -> private record */
	uint64_t swept_ms;
} customer_uses_t;

void customer_uses_init(customer_uses_t *uses);
void customer_uses_clear(customer_uses_t *uses);

/** Records that a connection was granted to a statement of @p customer. */
void customer_uses_record(customer_uses_t *uses, const char *customer,
			  uint64_t now_ms);

/** @return recent uses, of which older ones count less */
double customer_uses_of(const customer_uses_t *uses, const char *customer,
			uint64_t now_ms);

/**
 * Time for which an idle connection is protected after its last use, unless
 * its customer holds more than its guaranteed share. With 150 ms, connections
 * that nobody used were a bottleneck: in test_customer_pool.c with 5
 * connections and 30 operations per second the mean wait was 1,475 ms instead
 * of 92 ms, and with 10 connections no fewer were opened.
 */
#define CUSTOMER_POOL_PROTECTED_MS 20

/**
 * The same for a connection that has not served yet: the statement that it was
 * opened for got another one, and the next one of the customer may use it.
 */
#define CUSTOMER_POOL_UNSERVED_MS 500

typedef enum {
	CUSTOMER_POOL_OPENING,
	CUSTOMER_POOL_IDLE,
	CUSTOMER_POOL_BUSY,
} customer_pool_state_t;

/** One connection that this node has to the server. */
typedef struct {
	const char *customer; /**< NULL for none, and for control statements */
	uint64_t used_ms; /**< when its last use ended, or when it was opened */
	customer_pool_state_t state;
	bool served; /**< has served a statement */
} customer_pool_connection_t;

/** One statement that waits for a connection. */
typedef struct {
	const char *customer; /**< NULL for none, and for control statements */
	uint64_t due_ms;      /**< the earliest is served first */
	uint64_t queued_ms;   /**< when it began to wait */
	bool urgent;	      /**< may exceed the room by one connection */
} customer_pool_waiter_t;

typedef struct {
	const customer_pool_connection_t *connections;
	uint32_t connections_count;
	const customer_pool_waiter_t *waiters;
	uint32_t waiters_count;
	const customer_uses_t *uses;
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

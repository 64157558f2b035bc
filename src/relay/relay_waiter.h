#ifndef RELAY_RELAY_WAITER_H
#define RELAY_RELAY_WAITER_H

#include "coordination/wait_queue.h"
#include "relay/relay_link.h"

/**
 * One backend server and this node's connection pool for it. A user of a
 * connection waits in a queue until one is granted, and releases it after use.
 */
typedef struct relay_server relay_server_t;

/** An entry in the queue for a connection; the waiting user owns it. */
typedef struct {
	wait_entry_t entry;
	GHashTable *values;   /**< session variables to match, or NULL */
	const char *customer; /**< to serve; NULL for control statements */
	bool urgent;	      /**< may exceed the connection limit by one */
	bool direct;	      /**< accepts no forwarded connection */
	/**
	 * While a connection opened before this time exists, only such a
	 * connection is accepted; 0 to accept any.
	 */
	uint64_t opened_before_ms;
	/** A connection was acquired, for exclusive use. */
	void (*granted)(void *context, relay_server_t *server,
			relay_link_t *link);
	/** The server can provide no connection now. */
	void (*refused)(void *context, relay_server_t *server);
	void *context;
	uint64_t queued_ms; /**< private: when it was queued, boot clock */
	bool waiting;	    /**< private: the entry is in the queue */
} relay_waiter_t;

#endif

#ifndef RELAY_RELAY_SERVER_H
#define RELAY_RELAY_SERVER_H

#include <event2/event.h>

#include "coordination/outlier.h"
#include "coordination/send_budget.h"
#include "coordination/wait_queue.h"
#include "relay/relay_link.h"
#include "state/replica_lag.h"

/**
 * One backend server and this node's connections to it. Who needs a
 * connection waits in a queue and gives it back after use.
 */
typedef struct relay_server relay_server_t;

/** Who waits for a connection; owned by who waits. */
typedef struct {
	wait_entry_t entry;
	GHashTable *values; /**< session variables that it needs, or NULL */
	bool urgent;	    /**< may exceed the limit by one connection */
	bool direct;	    /**< takes no connection that another node lends */
	/** Rather waits for one that was opened before this; 0 for any. */
	uint64_t opened_before_ms;
	/** A connection is there, for its sole use. */
	void (*granted)(void *context, relay_server_t *server,
			relay_link_t *link);
	/** No connection can be had at this server now. */
	void (*refused)(void *context, relay_server_t *server);
	void *context;
	bool waiting;
} relay_waiter_t;

/** What all servers of a node share. */
typedef struct {
	struct event_base *base;
	const relay_codec_t *codec;
	/** A log position was seen: at opening, before any statement. */
	void (*opened)(void *context, relay_server_t *server, log_point_t point,
		       uint64_t asked_ms);
	/** @return a node that may lend a connection, or NULL */
	const endpoint_t *(*lender)(void *context,
				    const relay_server_t *server);
	/** The server's connections failed: refused, reset or silent. */
	void (*troubled)(void *context, relay_server_t *server);
	void *context;
} relay_server_host_t;

/** @param entry taken over */
relay_server_t *relay_server_create(const relay_server_host_t *host,
				    backend_entry_t *entry);

/**
 * Refuses who waits and closes all connections. Connections that are granted
 * live until they are given back; then the server is freed.
 */
void relay_server_destroy(relay_server_t *server);

/** Takes over a newer entry of the same server and start. */
void relay_server_update(relay_server_t *server, backend_entry_t *entry);

const backend_entry_t *relay_server_entry(const relay_server_t *server);

/** @return whether it was destroyed and only waits for its connections */
bool relay_server_is_retired(const relay_server_t *server);

/**
 * Sets how many connections may be open.
 *
 * @param share what this node can count on
 * @param most  what it may open while the server has room; those above the
 *        share are closed when they rest
 */
void relay_server_set_limit(relay_server_t *server, uint32_t share,
			    uint32_t most);

/** Waits for a connection; the grant may come from inside the call. */
void relay_server_ask(relay_server_t *server, relay_waiter_t *waiter);

/** Stops waiting. */
void relay_server_leave(relay_server_t *server, relay_waiter_t *waiter);

/** Gives back a connection that is open and idle. */
void relay_server_give_back(relay_server_t *server, relay_link_t *link,
			    uint64_t held_ms);

/** Closes a connection that was granted. */
void relay_server_discard(relay_server_t *server, relay_link_t *link);

/** Learns the time from sending a statement to its answer. */
void relay_server_ran(relay_server_t *server, uint64_t run_ms);

/** Learns that a statement got no answer in time. */
void relay_server_silent(relay_server_t *server);

/** @return whether a new connection or an idle one can be expected soon */
bool relay_server_usable(const relay_server_t *server, uint64_t now_ms);

/** @return whether its last answer to this node was that it is at its limit */
bool relay_server_is_full(const relay_server_t *server);

/** @return the last time at which it answered anything */
uint64_t relay_server_heard_ms(const relay_server_t *server);

/** @return time that a new waiter would wait, estimated */
uint64_t relay_server_wait_ms(const relay_server_t *server);

/** @return mean time of recent statements, network included */
uint64_t relay_server_run_ms(const relay_server_t *server);

/** @return whether @p waiter would be served before its deadline */
bool relay_server_can_serve(const relay_server_t *server,
			    const relay_waiter_t *waiter, uint64_t now_ms);

/** @return connections that are open */
uint32_t relay_server_open_count(const relay_server_t *server);

/** @return connections that are kept at rest */
uint32_t relay_server_share(const relay_server_t *server);

/** Opens a connection if there is none, for questions that can't wait. */
void relay_server_keep_open(relay_server_t *server);

/** @return when the oldest open connection was opened, or UINT64_MAX */
uint64_t relay_server_oldest_ms(const relay_server_t *server);

/** Replication lag as answers tell it. */
replica_lag_t *relay_server_lag(relay_server_t *server);
uint64_t relay_server_lag_ms(const relay_server_t *server, uint64_t now_ms);

/** Whether it fails what it runs. */
outlier_t *relay_server_outlier(relay_server_t *server);

/** What may be sent to it while it turns work away. */
send_budget_t *relay_server_budget(relay_server_t *server);

#endif

#ifndef RELAY_RELAY_SERVER_H
#define RELAY_RELAY_SERVER_H

#include <event2/event.h>

#include "coordination/outlier.h"
#include "coordination/send_budget.h"
#include "coordination/zone_server.h"
#include "relay/relay_waiter.h"
#include "state/replica_lag.h"

/** Settings and callbacks that all servers of a node share. */
typedef struct {
	struct event_base *base;
	const relay_codec_t *codec;
	/**
	 * A connection was opened; the server reported the log point @p point
	 * before any statement.
	 */
	void (*opened)(void *context, relay_server_t *server, log_point_t point,
		       uint64_t requested_ms);
	/**
	 * @param failures connections over hubs that failed lately
	 * @return the hub to connect through, or NULL if this node connects to
	 *         the server itself
	 */
	const endpoint_t *(*hub)(void *context, const relay_server_t *server,
				 uint32_t failures);
	/** @return a node that may forward a connection, or NULL */
	const endpoint_t *(*forwarding_node)(void *context,
					     const relay_server_t *server);
	/**
	 * A connection was opened, closed for another customer or closed after
	 * it was idle.
	 *
	 * @param event name of the event in metrics
	 */
	void (*count_connection)(void *context, const relay_server_t *server,
				 const char *event);
	/** Connections of the server were refused, reset or unresponsive. */
	void (*on_connection_failure)(void *context, relay_server_t *server);
	void *context;
} relay_server_host_t;

/** @param entry owned by the server from now on */
relay_server_t *relay_server_create(const relay_server_host_t *host,
				    backend_entry_t *entry);

/**
 * Rejects all waiters and closes the connections that are not in use. The
 * server is freed when the connections in use have been released.
 */
void relay_server_destroy(relay_server_t *server);

/** Replaces the entry by a newer one of the same run of the server. */
void relay_server_update(relay_server_t *server, backend_entry_t *entry);

const backend_entry_t *relay_server_entry(const relay_server_t *server);

/** @return whether the server was destroyed and waits to be freed */
bool relay_server_is_retired(const relay_server_t *server);

/**
 * Sets how many connections may be open.
 *
 * @param share       number of connections reserved for this node
 * @param burst_limit number that this node may open while the server has room;
 *        connections above the share are closed when they are idle
 */
void relay_server_set_limit(relay_server_t *server, uint32_t share,
			    uint32_t burst_limit);

/**
 * Sets the limits where each connection to the server serves one customer.
 *
 * @param control   connections that are kept for control statements
 * @param room      connections to the server itself, including @p control
 * @param forwarded connections over other nodes
 */
void relay_server_set_customer_limit(relay_server_t *server, uint32_t control,
				     uint32_t room, uint32_t forwarded);

/**
 * Queues @p waiter for a connection. Its callback may be called before this
 * function returns.
 */
void relay_server_acquire(relay_server_t *server, relay_waiter_t *waiter);

/** Removes @p waiter from the queue; does nothing if it is not queued. */
void relay_server_cancel_wait(relay_server_t *server, relay_waiter_t *waiter);

/**
 * Returns a granted connection to the pool; closes it if it cannot be reused.
 *
 * @param held_ms time for which the connection was in use
 */
void relay_server_release(relay_server_t *server, relay_link_t *link,
			  uint64_t held_ms);

/** Closes a granted connection. */
void relay_server_discard(relay_server_t *server, relay_link_t *link);

/** Records the time from sending a statement to its answer. */
void relay_server_record_run_time(relay_server_t *server, uint64_t run_ms);

/**
 * Records that the forwarding node of a connection could not use it.
 *
 * @param waited_ms time until it answered
 */
void relay_server_forwarding_refused(relay_server_t *server,
				     uint64_t waited_ms);

/** Records that a statement got no answer in time. */
void relay_server_record_timeout(relay_server_t *server);

/** @return whether a new connection or an idle one can be expected soon */
bool relay_server_is_usable(const relay_server_t *server, uint64_t now_ms);

/**
 * @return whether the server rejected this node's last attempt to connect
 *         because of its connection limit
 */
bool relay_server_is_full(const relay_server_t *server);

/** @return when the server itself last sent anything, on the boot clock */
uint64_t relay_server_last_received_ms(const relay_server_t *server);

/** @return estimated time that a new waiter would wait */
uint64_t relay_server_wait_ms(const relay_server_t *server);

/** @return mean run time of recent statements, including the network */
uint64_t relay_server_mean_run_ms(const relay_server_t *server);

/** @return whether @p waiter would get a connection before its deadline */
bool relay_server_can_serve(const relay_server_t *server,
			    const relay_waiter_t *waiter, uint64_t now_ms);

/** @return number of open connections */
uint32_t relay_server_open_count(const relay_server_t *server);

/** @return number of connections that are kept open while idle */
uint32_t relay_server_share(const relay_server_t *server);

/**
 * Opens a connection if there is none, so that urgent queries need not wait
 * for one.
 *
 * @return whether it began to open one
 */
bool relay_server_ensure_connection(relay_server_t *server);

/** @return when the oldest open connection was opened, or UINT64_MAX */
uint64_t relay_server_oldest_opened_ms(const relay_server_t *server);

/** @return replication lag as estimated from answers */
replica_lag_t *relay_server_lag(relay_server_t *server);
uint64_t relay_server_lag_ms(const relay_server_t *server, uint64_t now_ms);

/** @return failure statistics of the server's statements */
outlier_t *relay_server_outlier(relay_server_t *server);

/** @return limit on new work while the server rejects work as overloaded */
send_budget_t *relay_server_budget(relay_server_t *server);

/** @return how well the server answers, to decide which reads it gets */
zone_server_t *relay_server_zone(relay_server_t *server);

#endif

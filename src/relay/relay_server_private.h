#ifndef RELAY_RELAY_SERVER_PRIVATE_H
#define RELAY_RELAY_SERVER_PRIVATE_H

#include "coordination/customer_pool.h"
#include "relay/relay_link_pool.h"
#include "relay/relay_path.h"
#include "relay/relay_server.h"

/* Number of connections that may be in the process of being opened. */
#define RELAY_SERVER_OPENING_MAX 4

struct relay_server {
	const relay_server_host_t *host;
	backend_entry_t *entry;
	relay_link_pool_t pool;
	relay_path_t path;
	uint32_t share;	      /* number of connections kept open while idle */
	uint32_t burst_limit; /* maximum number of open connections */
	bool by_customer;     /* each connection serves one customer */
	uint32_t room; /* by customer: connections to the server itself */
	/* Closes idle links above the share; NULL before it is needed. */
	struct event *close_idle_event;
	customer_uses_t uses; /* by customer: grants of each customer */
	wait_queue_t queue;
	struct event *serve_event; /* serves the queue, or frees the server */
	uint32_t unanswered;	 /* consecutive statements without an answer */
	uint64_t avoid_until_ms; /* time until which it gets no reads */
	uint64_t last_received_ms; /* when the server itself last sent data */
	double run_ms;		   /* moving average of run times */
	replica_lag_t lag;
	outlier_t outlier;
	send_budget_t *budget; /* NULL before its first use */
	zone_server_t zone;
	bool retired; /* destroyed; freed when all links are closed */
};

/* relay_server_links.c */

/* Grants idle connections to the waiters and opens new ones if needed. */
void relay_server_serve(relay_server_t *server);
void relay_server_serve_after(relay_server_t *server, uint64_t delay_ms);

void relay_server_refuse_all(relay_server_t *server);

/* @return the hub to connect through, or NULL to connect directly */
const endpoint_t *relay_server_hub(const relay_server_t *server,
				   uint64_t now_ms);

/* The next connection goes over another hub, in the end directly. */
void relay_server_hub_failed(relay_server_t *server);

void relay_server_record_received(relay_server_t *server,
				  const relay_link_t *link,
				  uint64_t last_received_ms);

bool relay_server_has_urgent_waiter(const relay_server_t *server);

/* @param via node that forwards the connection, or NULL */
void relay_server_open_link(relay_server_t *server, const char *customer,
			    const endpoint_t *via);
void relay_server_open_more(relay_server_t *server, uint32_t wanted);

/* Grants an idle connection; relay_link_pool_can_take() must hold. */
void relay_server_grant(relay_server_t *server, relay_waiter_t *waiter);

/* Counts an event of a connection in the metrics. */
void relay_server_count(relay_server_t *server, const char *event);

void relay_server_close_idle_after(relay_server_t *server, uint64_t delay_ms);

/* Handler of close_idle_event. */
void relay_server_on_close_idle(evutil_socket_t fd, short what, void *context);

/* relay_server_customers.c: where each connection serves one customer */

void relay_server_serve_customers(relay_server_t *server);

/* Closes connections that were idle for long. */
void relay_server_close_idle_customers(relay_server_t *server);

/* Opens a connection for control statements if there is none. */
void relay_server_ensure_control(relay_server_t *server);

/* @return whether a waiter that accepts no forwarded connection may wait */
bool relay_server_may_wait(relay_server_t *server,
			   const relay_waiter_t *waiter);

/* @return whether the link is to be closed instead of reused */
bool relay_server_is_above_limit(const relay_server_t *server,
				 const relay_link_t *link);

/* @return number of connections that may be open for statements of callers */
uint32_t relay_server_limit(const relay_server_t *server, uint64_t now_ms);

#endif

#ifndef COORDINATION_LEASE_TABLE_H
#define COORDINATION_LEASE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Records which session's open transaction holds which server connection. A
 * connection has at most one lease; a lease belongs to one session and runs
 * one request at a time. The module does no I/O.
 */
typedef struct lease_table lease_table_t;

/** The result of acquiring a leased connection. */
typedef enum {
	LEASE_ACQUIRED, /**< the request may run on the connection */
	LEASE_UNKNOWN,	/**< no such lease, or it belongs to another session */
	LEASE_BUSY,	/**< a request of the session is still running */
} lease_result_t;

/** @param first_id id of the first lease; must differ between incarnations */
lease_table_t *lease_table_create(uint64_t first_id);
void lease_table_destroy(lease_table_t *table);

/**
 * Grants a lease of @p connection_id, which must have none, to a session whose
 * request has just ended inside a transaction.
 *
 * @return the id of the lease, not 0
 */
uint64_t lease_table_grant(lease_table_t *table, uint64_t connection_id,
			   uint64_t session_id, uint64_t now_ms);

/** Acquires the leased connection for the session's next request. */
lease_result_t lease_table_acquire(lease_table_t *table, uint64_t lease_id,
				   uint64_t session_id,
				   uint64_t *connection_id);

/** Marks the lease idle: the request has ended inside the transaction. */
void lease_table_release(lease_table_t *table, uint64_t lease_id,
			 uint64_t now_ms);

/**
 * Ends a lease.
 *
 * @param busy receives whether a request was running; may be NULL
 * @return the connection of the lease, or 0 if there is no such lease
 */
uint64_t lease_table_end(lease_table_t *table, uint64_t lease_id, bool *busy);

/** @return the id of the lease of a connection, or 0. */
uint64_t lease_table_for_connection(const lease_table_t *table,
				    uint64_t connection_id);

/** @return the id of a lease that was idle for @p idle_ms or longer, or 0. */
uint64_t lease_table_find_idle(const lease_table_t *table, uint64_t now_ms,
			       uint64_t idle_ms);

/** @return the number of leases. */
uint32_t lease_table_count(const lease_table_t *table);

#endif

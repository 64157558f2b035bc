#ifndef COORDINATION_LEASE_TABLE_H
#define COORDINATION_LEASE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Which session's transaction holds which server connection. Pure: numbers
 * in, numbers out. A connection has at most one lease, a lease belongs to one
 * session, and runs one request at a time.
 */
typedef struct lease_table lease_table_t;

/** What came of asking for a lease. */
typedef enum {
	LEASE_TAKEN,   /**< the request may run on the connection */
	LEASE_UNKNOWN, /**< no such lease, or another session's */
	LEASE_BUSY,    /**< a request of the session still runs */
} lease_result_t;

/** @param first_id number of the first lease, unique to the incarnation */
lease_table_t *lease_table_create(uint64_t first_id);
void lease_table_destroy(lease_table_t *table);

/**
 * Leases @p connection_id, which has none, to a session whose request has
 * just ended inside a transaction.
 *
 * @return the number of the lease, not 0
 */
uint64_t lease_table_grant(lease_table_t *table, uint64_t connection_id,
			   uint64_t session_id, uint64_t now_ms);

/** A session's next request wants its connection. */
lease_result_t lease_table_take(lease_table_t *table, uint64_t lease_id,
				uint64_t session_id, uint64_t *connection_id);

/** The request ended, the transaction goes on. */
void lease_table_give_back(lease_table_t *table, uint64_t lease_id,
			   uint64_t now_ms);

/**
 * Ends a lease.
 *
 * @param busy whether a request was running, may be NULL
 * @return its connection, or 0 if there is no such lease
 */
uint64_t lease_table_end(lease_table_t *table, uint64_t lease_id, bool *busy);

/** @return the lease of a connection, or 0. */
uint64_t lease_table_of(const lease_table_t *table, uint64_t connection_id);

/** @return a lease that has had no request for @p idle_ms, or 0. */
uint64_t lease_table_idle(const lease_table_t *table, uint64_t now_ms,
			  uint64_t idle_ms);

/** @return leases held. */
uint32_t lease_table_count(const lease_table_t *table);

#endif

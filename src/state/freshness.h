#ifndef STATE_FRESHNESS_H
#define STATE_FRESHNESS_H

#include "state/log_point.h"

/** Maximum number of backend servers of one database. */
#define FRESHNESS_SERVER_LIMIT 16

/**
 * Proven freshness of a database's replicas. A barrier sent to the primary
 * returns a log point that covers every change acknowledged before the barrier
 * was sent. A replica that has replayed this point is therefore at least as
 * fresh as the time at which the barrier was sent. The proof depends neither
 * on the replica's clock nor on writes at the primary.
 */
typedef struct freshness freshness_t;

/** Creates the state of one database, with nothing proven. */
freshness_t *freshness_create(void);

/** Frees the state; NULL is allowed. */
void freshness_destroy(freshness_t *freshness);

/** Records a barrier's point and the time at which the barrier was sent. */
void freshness_add_barrier(freshness_t *freshness, uint64_t sent_ms,
			   log_point_t point);

/** Records the last point that a server has replayed. */
void freshness_set_replayed(freshness_t *freshness, uint32_t server,
			    log_point_t replayed);

/** @return whether the server's state is proven at most @p max_age_ms old */
bool freshness_is_within(const freshness_t *freshness, uint32_t server,
			 uint64_t now_ms, uint32_t max_age_ms);

#endif

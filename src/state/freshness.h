#ifndef STATE_FRESHNESS_H
#define STATE_FRESHNESS_H

#include "state/log_point.h"

/** Most backend servers of one database. */
#define FRESHNESS_SERVER_LIMIT 16

/**
 * Proven freshness of a database's replicas. A replica that has replayed a
 * point which a barrier proved holds all that was acknowledged before the
 * barrier was asked: it is as fresh as that moment, whatever its own clock
 * says and however idle its primary is.
 */
typedef struct freshness freshness_t;

freshness_t *freshness_create(void);
void freshness_destroy(freshness_t *freshness);

/** Takes in a barrier's point and the time at which it was asked. */
void freshness_proven(freshness_t *freshness, uint64_t asked_at_ms,
		      log_point_t point);

/** Takes in how far a server has replayed. */
void freshness_replayed(freshness_t *freshness, uint32_t server,
			log_point_t replayed);

/** @return whether the server is proven no older than @p max_age_ms */
bool freshness_within(const freshness_t *freshness, uint32_t server,
		      uint64_t now_ms, uint32_t max_age_ms);

#endif

#ifndef RELAY_RELAY_PLACEMENT_H
#define RELAY_RELAY_PLACEMENT_H

#include "relay/relay_job.h"

/** Servers that answered in vain and are passed over. */
#define RELAY_PLACEMENT_TRIED_MAX 8

/** Where one statement may run. */
typedef struct {
	relay_service_t *service;
	const relay_ask_t *ask;
	uint64_t deadline_ms;
	/** Compared, never used: they may be gone. */
	const relay_server_t *tried[RELAY_PLACEMENT_TRIED_MAX];
	uint32_t tried_count;
} relay_placement_t;

/** Passes over a server from now on. */
void relay_placement_note_tried(relay_placement_t *placement,
				const relay_server_t *server);

/** @return the statement's rank among those that a server is sent */
uint32_t relay_placement_rank(const relay_placement_t *placement);

/** @return whether the server may be sent the statement, as far as its load
 *          goes */
bool relay_placement_allows(const relay_placement_t *placement,
			    relay_server_t *server);

/**
 * Finds the point of the log that a replica must have.
 *
 * @return false when none is known
 */
bool relay_placement_point(const relay_placement_t *placement,
			   log_point_t *point);

/** @return time until a replica is expected to have a point */
uint64_t relay_placement_behind_ms(const relay_placement_t *placement,
				   const relay_server_t *server,
				   log_point_t point);

/** @return the server for a read that needs a point, or NULL */
relay_server_t *relay_placement_choose(const relay_placement_t *placement,
				       log_point_t point);

#endif

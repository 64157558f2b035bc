#ifndef RELAY_RELAY_PLACEMENT_H
#define RELAY_RELAY_PLACEMENT_H

#include "relay/relay_job.h"

/** Maximum number of servers excluded after an unsuccessful attempt. */
#define RELAY_PLACEMENT_TRIED_MAX 8

/** Inputs for choosing the server that runs one statement. */
typedef struct {
	relay_service_t *service;
	const relay_request_t *request;
	uint64_t deadline_ms;
	/**
	 * Servers excluded after an unsuccessful attempt. The pointers are only
	 * compared, never followed: a server may have been freed.
	 */
	const relay_server_t *tried[RELAY_PLACEMENT_TRIED_MAX];
	uint32_t tried_count;
	/** The server chosen last, or NULL; only compared, never followed. */
	const relay_server_t *chosen;
} relay_placement_t;

/** What a choice is based on. */
typedef struct {
	zone_spill_read_t read;
	read_candidate_t candidates[READ_PLACEMENT_SERVERS_MAX];
	/** States of the servers in the order of relay_service_servers(). */
	zone_server_t *states[READ_PLACEMENT_SERVERS_MAX];
	uint32_t count;
} relay_placement_view_t;

/** Excludes a server from later choices. */
void relay_placement_note_tried(relay_placement_t *placement,
				const relay_server_t *server);

/** @return the statement's rank in the send budget of a server */
uint32_t relay_placement_rank(const relay_placement_t *placement);

/** @return whether the server's send budget allows the statement */
bool relay_placement_allows(const relay_placement_t *placement,
			    relay_server_t *server);

/**
 * Finds the log point that a replica must have applied to serve the read.
 *
 * @return false when no sample is recent enough
 */
bool relay_placement_point(const relay_placement_t *placement,
			   log_point_t *point);

/** @return estimated time until the server has applied @p point */
uint64_t relay_placement_behind_ms(const relay_placement_t *placement,
				   const relay_server_t *server,
				   log_point_t point);

/** Collects what a choice for a read that needs @p point is based on. */
void relay_placement_view(const relay_placement_t *placement, log_point_t point,
			  uint64_t now_ms, relay_placement_view_t *view);

/**
 * Chooses the server for a read that needs @p point. The first choice for a
 * read counts towards the shares of zone_spill_t.
 *
 * @return the server, or NULL if none is usable
 */
relay_server_t *relay_placement_choose(relay_placement_t *placement,
				       log_point_t point);

/** Records a server's answer for later choices. */
void relay_placement_record_answer(const relay_placement_t *placement,
				   relay_server_t *server,
				   const relay_answer_t *answer,
				   uint64_t now_ms);

#endif

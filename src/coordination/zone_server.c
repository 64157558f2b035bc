#include "coordination/zone_server.h"

#include <math.h>

#include <glib.h>

/*
 * Time constant of the moving averages of run times and rejections. A weight
 * for each answer would let a server that gets few reads keep an old value.
 */
#define AVERAGE_MS 1200.0

/* Minimum weight, for answers that arrive in the same millisecond. */
#define WEIGHT_MIN 0.02

/*
 * An average without new answers is lowered after this time, with this time
 * constant, so that the server is tried again.
 */
#define STALE_MS 5000u
#define STALE_DECAY_MS 10000.0

/*
 * Pressure on a server: its delay as a multiple of the time that callers need,
 * plus its rejected fraction times REJECTED_WEIGHT (one rejection in eight
 * counts as a delay of the needed time).
 */
#define REJECTED_WEIGHT 8.0

/* @return the weight of a new value after a time without one */
static double new_weight(uint64_t last_ms, uint64_t now_ms)
{
	const double elapsed_ms = (double)(now_ms - MIN(last_ms, now_ms));

	return MAX(1 - exp(-elapsed_ms / AVERAGE_MS), WEIGHT_MIN);
}

static void record_rejected(zone_server_t *server, double rejected,
			    uint64_t now_ms)
{
	const double weight = server->rejected_ms ?
				      new_weight(server->rejected_ms, now_ms) :
				      0.1;

	server->rejected += weight * (rejected - server->rejected);
	server->rejected_ms = now_ms;
}

void zone_server_answered(zone_server_t *server, uint64_t run_ms,
			  uint64_t now_ms)
{
	const double weight = server->measured_ms ?
				      new_weight(server->measured_ms, now_ms) :
				      1;

	server->run_ms += weight * ((double)run_ms - server->run_ms);
	server->measured_ms = now_ms;
	record_rejected(server, 0, now_ms);
}

void zone_server_rejected(zone_server_t *server, uint64_t now_ms)
{
	record_rejected(server, 1, now_ms);
}

static double staleness(uint64_t last_ms, uint64_t now_ms)
{
	const uint64_t fresh_until_ms = last_ms + STALE_MS;

	return now_ms <= fresh_until_ms ?
		       1 :
		       exp(-(double)(now_ms - fresh_until_ms) / STALE_DECAY_MS);
}

double zone_server_run_ms(const zone_server_t *server,
			  const read_candidate_t *candidate, uint64_t now_ms)
{
	if (!server->measured_ms)
		return (double)candidate->run_ms;
	return server->run_ms * staleness(server->measured_ms, now_ms);
}

static double rejected_pressure(const zone_server_t *server, uint64_t now_ms)
{
	return REJECTED_WEIGHT * server->rejected *
	       staleness(server->rejected_ms, now_ms);
}

double zone_server_pressure(const zone_server_t *server,
			    const read_candidate_t *candidate, double needed_ms,
			    uint64_t now_ms)
{
	const double delay_ms =
		zone_server_run_ms(server, candidate, now_ms) +
		(double)(candidate->wait_ms + candidate->behind_ms);

	return delay_ms / needed_ms + rejected_pressure(server, now_ms);
}

zone_server_trouble_t zone_server_trouble(const zone_server_t *server,
					  const read_candidate_t *candidate,
					  double needed_ms, uint64_t now_ms)
{
	const double delay_ms = zone_server_run_ms(server, candidate, now_ms) +
				(double)candidate->wait_ms;
	const double behind_ms = (double)candidate->behind_ms;
	const double rejected_ms =
		rejected_pressure(server, now_ms) * needed_ms;

	if (rejected_ms > MAX(delay_ms, behind_ms))
		return ZONE_SERVER_REJECTS;
	return behind_ms > delay_ms ? ZONE_SERVER_BEHIND : ZONE_SERVER_SLOW;
}

#include "daemon/group_private.h"

#include "base/clock.h"

/** Time after a bounded-staleness read for which further ones are expected. */
#define READS_EXPECTED_MS 2000

/** The interval of barriers is 1/4 of the maximum age, within the bounds. */
#define BARRIER_AGE_DIVISOR 4
#define BARRIER_INTERVAL_MS_MIN 20
#define BARRIER_INTERVAL_MS_MAX 250

#define BARRIER_TIMEOUT_MS 2000

/* Created on demand: most databases have no bounded-staleness reads. */
static void freshness_open(group_database_t *database)
{
	database->freshness.proofs = freshness_create();
	for (uint32_t i = 0; i < database->servers_count; i++)
		group_freshness_record(&database->servers[i]);
}

void group_freshness_record(const group_server_t *server)
{
	freshness_t *proofs = server->database->freshness.proofs;

	if (proofs && server->known)
		freshness_set_replayed(proofs, server->index,
				       server->status.replayed);
}

void group_freshness_close(group_database_t *database)
{
	freshness_destroy(database->freshness.proofs);
}

static void on_barrier(void *context, log_point_t point)
{
	group_database_t *database = context;
	group_freshness_t *freshness = &database->freshness;

	freshness->barrier_in_flight = false;
	if (point.term)
		freshness_add_barrier(freshness->proofs,
				      freshness->barrier_started_ms, point);
}

void group_freshness_step(group_database_t *database, uint64_t now_ms)
{
	group_freshness_t *freshness = &database->freshness;
	const uint32_t interval_ms =
		CLAMP(freshness->max_age_ms / BARRIER_AGE_DIVISOR,
		      BARRIER_INTERVAL_MS_MIN, BARRIER_INTERVAL_MS_MAX);

	if (freshness->barrier_in_flight ||
	    now_ms >= freshness->expected_until_ms ||
	    now_ms < freshness->barrier_started_ms + interval_ms)
		return;
	freshness->barrier_in_flight = true;
	freshness->barrier_started_ms = now_ms;
	group_rounds_barrier(database, BARRIER_TIMEOUT_MS, on_barrier,
			     database);
}

bool group_freshness_is_within(group_server_t *server, uint32_t max_age_ms)
{
	group_database_t *database = server->database;
	group_freshness_t *freshness = &database->freshness;
	const uint64_t now_ms = clock_now_ms();

	if (!freshness->proofs)
		freshness_open(database);
	if (now_ms >= freshness->expected_until_ms ||
	    max_age_ms < freshness->max_age_ms)
		freshness->max_age_ms = max_age_ms;
	freshness->expected_until_ms = now_ms + READS_EXPECTED_MS;
	return freshness_is_within(freshness->proofs, server->index, now_ms,
				   max_age_ms);
}

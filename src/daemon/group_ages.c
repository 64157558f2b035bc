#include "daemon/group_private.h"

#include "base/clock.h"

/** More bounded-staleness reads are expected for this time after the last. */
#define AGES_EXPECTED_MS 2000

/** Barriers start at intervals of 1/4 of the maximum age, within bounds. */
#define AGES_PART 4
#define AGES_INTERVAL_MS_MIN 20
#define AGES_INTERVAL_MS_MAX 250

#define AGES_BARRIER_TIMEOUT_MS 2000

/* Created on demand: most databases of a node have no such reads. */
static void ages_open(group_database_t *database)
{
	database->ages.proven = freshness_create();
	for (uint32_t i = 0; i < database->servers_count; i++)
		group_ages_seen(&database->servers[i]);
}

void group_ages_seen(const group_server_t *server)
{
	freshness_t *proven = server->database->ages.proven;

	if (proven && server->known)
		freshness_replayed(proven, server->index,
				   server->status.replayed);
}

void group_ages_close(group_database_t *database)
{
	freshness_destroy(database->ages.proven);
}

static void on_barrier(void *context, log_point_t point)
{
	group_database_t *database = context;
	group_ages_t *ages = &database->ages;

	ages->asking = false;
	if (point.term)
		freshness_proven(ages->proven, ages->asked_at_ms, point);
}

void group_ages_step(group_database_t *database, uint64_t now_ms)
{
	group_ages_t *ages = &database->ages;
	const uint32_t interval_ms =
		CLAMP(ages->max_age_ms / AGES_PART, AGES_INTERVAL_MS_MIN,
		      AGES_INTERVAL_MS_MAX);

	if (ages->asking || now_ms >= ages->until_ms ||
	    now_ms < ages->asked_at_ms + interval_ms)
		return;
	ages->asking = true;
	ages->asked_at_ms = now_ms;
	group_rounds_barrier(database, AGES_BARRIER_TIMEOUT_MS, on_barrier,
			     database);
}

bool group_ages_within(group_server_t *server, uint32_t max_age_ms)
{
	group_database_t *database = server->database;
	group_ages_t *ages = &database->ages;
	const uint64_t now_ms = clock_now_ms();

	if (!ages->proven)
		ages_open(database);
	if (now_ms >= ages->until_ms || max_age_ms < ages->max_age_ms)
		ages->max_age_ms = max_age_ms;
	ages->until_ms = now_ms + AGES_EXPECTED_MS;
	return freshness_within(ages->proven, server->index, now_ms,
				max_age_ms);
}

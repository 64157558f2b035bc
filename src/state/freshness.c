#include "state/freshness.h"

#include <glib.h>

/** Barriers remembered; a server further behind is proven stale anyway. */
#define FRESHNESS_POINTS 64

typedef struct {
	uint64_t asked_at_ms;
	log_point_t point;
} freshness_point_t;

typedef struct {
	bool proven;
	uint64_t fresh_at_ms;
	log_point_t replayed;
} freshness_server_t;

struct freshness {
	freshness_point_t points[FRESHNESS_POINTS];
	uint32_t points_count;
	uint32_t next;
	freshness_server_t servers[FRESHNESS_SERVER_LIMIT];
};

freshness_t *freshness_create(void)
{
	return g_new0(freshness_t, 1);
}

void freshness_destroy(freshness_t *freshness)
{
	g_free(freshness);
}

static void server_advance(freshness_server_t *server,
			   const freshness_point_t *proven)
{
	if (!log_point_covers(server->replayed, proven->point))
		return;
	if (server->proven && server->fresh_at_ms >= proven->asked_at_ms)
		return;
	server->proven = true;
	server->fresh_at_ms = proven->asked_at_ms;
}

void freshness_proven(freshness_t *freshness, uint64_t asked_at_ms,
		      log_point_t point)
{
	freshness_point_t *proven = &freshness->points[freshness->next];

	proven->asked_at_ms = asked_at_ms;
	proven->point = point;
	freshness->next = (freshness->next + 1) % FRESHNESS_POINTS;
	freshness->points_count =
		MIN(freshness->points_count + 1, FRESHNESS_POINTS);
	for (uint32_t i = 0; i < FRESHNESS_SERVER_LIMIT; i++)
		server_advance(&freshness->servers[i], proven);
}

void freshness_replayed(freshness_t *freshness, uint32_t server,
			log_point_t replayed)
{
	freshness_server_t *entry = &freshness->servers[server];

	g_assert(server < FRESHNESS_SERVER_LIMIT);
	entry->replayed = replayed;
	for (uint32_t i = 0; i < freshness->points_count; i++)
		server_advance(entry, &freshness->points[i]);
}

bool freshness_within(const freshness_t *freshness, uint32_t server,
		      uint64_t now_ms, uint32_t max_age_ms)
{
	const freshness_server_t *entry = &freshness->servers[server];

	g_assert(server < FRESHNESS_SERVER_LIMIT);
	return entry->proven && entry->fresh_at_ms + max_age_ms >= now_ms;
}

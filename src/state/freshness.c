#include "state/freshness.h"

#include <glib.h>

/* Number of kept barriers. A server behind the oldest of them counts as stale.
 */
#define FRESHNESS_BARRIERS_MAX 64

typedef struct {
	uint64_t sent_ms;
	log_point_t point;
} freshness_barrier_t;

typedef struct {
	bool proven;
	uint64_t fresh_at_ms; /* send time of the newest covered barrier */
	log_point_t replayed;
} freshness_server_t;

struct freshness {
	freshness_barrier_t barriers[FRESHNESS_BARRIERS_MAX];
	uint32_t barriers_count;
	uint32_t next; /* ring index of the next barrier */
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
			   const freshness_barrier_t *barrier)
{
	if (!log_point_covers(server->replayed, barrier->point))
		return;
	if (server->proven && server->fresh_at_ms >= barrier->sent_ms)
		return;
	server->proven = true;
	server->fresh_at_ms = barrier->sent_ms;
}

void freshness_add_barrier(freshness_t *freshness, uint64_t sent_ms,
			   log_point_t point)
{
	freshness_barrier_t *barrier = &freshness->barriers[freshness->next];

	barrier->sent_ms = sent_ms;
	barrier->point = point;
	freshness->next = (freshness->next + 1) % FRESHNESS_BARRIERS_MAX;
	freshness->barriers_count =
		MIN(freshness->barriers_count + 1, FRESHNESS_BARRIERS_MAX);
	for (uint32_t i = 0; i < FRESHNESS_SERVER_LIMIT; i++)
		server_advance(&freshness->servers[i], barrier);
}

void freshness_set_replayed(freshness_t *freshness, uint32_t server,
			    log_point_t replayed)
{
	freshness_server_t *entry = &freshness->servers[server];

	g_assert(server < FRESHNESS_SERVER_LIMIT);
	entry->replayed = replayed;
	for (uint32_t i = 0; i < freshness->barriers_count; i++)
		server_advance(entry, &freshness->barriers[i]);
}

bool freshness_is_within(const freshness_t *freshness, uint32_t server,
			 uint64_t now_ms, uint32_t max_age_ms)
{
	const freshness_server_t *entry = &freshness->servers[server];

	g_assert(server < FRESHNESS_SERVER_LIMIT);
	return entry->proven && entry->fresh_at_ms + max_age_ms >= now_ms;
}

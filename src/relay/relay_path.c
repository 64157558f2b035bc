#include "relay/relay_path.h"

#include <glib.h>

/* Delay after a failed attempt to connect; doubles up to the maximum. */
#define RECONNECT_DELAY_MS 50
#define RECONNECT_DELAY_MS_MAX 800

/* Time for which no connections above the share are opened at a full server. */
#define FULL_MS 1000

/* Time for which connections are forwarded after direct ones failed. */
#define FORWARDING_MS 2000

/* Time after which failures of hubs are forgotten. */
#define HUB_FAILURES_MS 3000

void relay_path_init(relay_path_t *path)
{
	*path = (relay_path_t){.reconnect_delay_ms = RECONNECT_DELAY_MS};
}

void relay_path_back_off(relay_path_t *path, uint64_t now_ms)
{
	path->reconnect_at_ms = now_ms + path->reconnect_delay_ms;
	path->reconnect_delay_ms =
		MIN(2 * path->reconnect_delay_ms, RECONNECT_DELAY_MS_MAX);
}

void relay_path_opened(relay_path_t *path, bool forwarded)
{
	path->reconnect_delay_ms = RECONNECT_DELAY_MS;
	if (!forwarded)
		path->is_full = false;
}

uint32_t relay_path_hub_failures(const relay_path_t *path, uint64_t now_ms)
{
	return now_ms < path->hub_failed_ms + HUB_FAILURES_MS ?
		       path->hub_failures :
		       0;
}

void relay_path_hub_failed(relay_path_t *path, uint64_t now_ms)
{
	path->hub_failures = relay_path_hub_failures(path, now_ms) + 1;
	path->hub_failed_ms = now_ms;
	path->reconnect_at_ms = 0;
}

void relay_path_forward(relay_path_t *path, uint64_t now_ms)
{
	path->forwarding_until_ms = now_ms + FORWARDING_MS;
	path->reconnect_at_ms = 0;
}

void relay_path_limited(relay_path_t *path, uint64_t now_ms)
{
	path->full_until_ms = now_ms + FULL_MS;
}

void relay_path_forwarding_failed(relay_path_t *path)
{
	if (path->is_full)
		path->forwarding_until_ms = 0;
}

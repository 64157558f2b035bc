#include "relay/relay_hold.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

void relay_hold_log_end(const relay_hold_t *hold, const char *end)
{
	log_event(LOG_LEVEL_INFO, "transaction_ended",
		  "service=%s server=%s end=%s statements=%u held_ms=%" PRIu64
		  " running_ms=%" PRIu64,
		  relay_service_name(hold->service),
		  relay_server_entry(hold->server)->id, end, hold->statements,
		  clock_boot_ms() - hold->started_ms, hold->running_ms);
}

void relay_hold_release(relay_hold_t *hold)
{
	relay_hold_log_end(hold, "released");
	relay_server_discard(hold->server, hold->link);
	g_free(hold);
}

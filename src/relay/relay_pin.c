#include "relay/relay_pin.h"

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"

void relay_pin_log_end(const relay_pin_t *pin, const char *end)
{
	log_event(LOG_LEVEL_INFO, "transaction_ended",
		  "service=%s server=%s end=%s statements=%u held_ms=%" PRIu64
		  " running_ms=%" PRIu64,
		  relay_service_name(pin->service),
		  relay_server_entry(pin->server)->id, end, pin->statements,
		  clock_boot_ms() - pin->started_ms, pin->running_ms);
}

void relay_pin_close(relay_pin_t *pin)
{
	relay_pin_log_end(pin, "released");
	relay_server_discard(pin->server, pin->link);
	g_free(pin);
}

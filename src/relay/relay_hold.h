#ifndef RELAY_RELAY_HOLD_H
#define RELAY_RELAY_HOLD_H

#include "relay/relay_job.h"

/* What an open transaction keeps; made and used by its statements. */
struct relay_hold {
	relay_service_t *service;
	relay_server_t *server;
	relay_link_t *link;
	uint64_t term; /* of the primary, 0 at a replica */
	uint64_t started_ms;
	uint64_t running_ms; /* spent in statements, not between them */
	uint32_t statements;
	bool wrote;
};

/** Ends a transaction by closing its connection, which rolls it back. */
void relay_hold_release(relay_hold_t *hold);

/** Logs how the transaction ended. */
void relay_hold_log_end(const relay_hold_t *hold, const char *end);

#endif

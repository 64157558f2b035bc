#ifndef RELAY_RELAY_PIN_H
#define RELAY_RELAY_PIN_H

#include "relay/relay_job.h"

/*
 * The connection that is pinned to an open transaction. The job of the first
 * statement creates it; the jobs of the later statements use it.
 */
struct relay_pin {
	relay_service_t *service;
	relay_server_t *server;
	relay_link_t *link;
	uint64_t term; /* term of the primary; 0 if the server is a replica */
	uint64_t started_ms; /* start of the first statement, boot clock */
	uint64_t running_ms; /* total run time of the statements */
	uint32_t statements; /* number of statements run */
	bool wrote;	     /* a statement may have changed data */
};

/** Closes the pinned connection, which rolls the transaction back. */
void relay_pin_close(relay_pin_t *pin);

/** Logs how the transaction ended. */
void relay_pin_log_end(const relay_pin_t *pin, const char *end);

#endif

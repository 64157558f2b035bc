#ifndef STANDIN_PLATFORM_PLATFORM_H
#define STANDIN_PLATFORM_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "standin/platform/kv.h"

/** What the platform counts: each call once, a waiting watch too. */
typedef struct {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t lists;
	uint64_t sessions;
	uint64_t refused; /**< during an outage */
} platform_calls_t;

/** The faults in force. */
typedef struct {
	uint64_t outage_until_ms;
	bool outage_hangs; /**< calls hang instead of being refused */
	uint64_t slow_until_ms;
	uint32_t slow_ms; /**< added to each answer */
	uint32_t lose_answers;
} platform_faults_t;

/** The whole stand-in. */
typedef struct {
	struct event_base *base;
	kv_t kv;
	json_t *nodes; /**< the list of VMs as it is told */
	uint64_t nodes_index;
	uint32_t list_lag_ms;
	GPtrArray *watches; /**< of calls that wait for a change */
	platform_calls_t calls;
	platform_faults_t faults;
} platform_t;

/** Serves the published interface. @return false if the port is taken */
bool api_start(platform_t *platform, const char *address, uint16_t port);

/** Answers the watches whose wait is over, or whose key changed. */
void api_wake(platform_t *platform);

/** Cuts the connections of all watches. */
void api_cut_watches(platform_t *platform);

/** Serves the tests' side. @return false if the port is taken */
bool platform_control_start(platform_t *platform, const char *address,
			    uint16_t port);

#endif

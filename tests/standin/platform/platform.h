#ifndef STANDIN_PLATFORM_PLATFORM_H
#define STANDIN_PLATFORM_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "standin/platform/kv.h"

/**
 * Counts of calls by kind. A watch counts once, however long it waits, and
 * also as a read or a list.
 */
typedef struct {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;  /**< reads and lists that had to wait */
	uint64_t lists;	   /**< reads of the list of VMs */
	uint64_t sessions; /**< calls that create, renew or end a session */
	uint64_t refused;  /**< calls during an outage */
} platform_calls_t;

/** The faults that are injected. */
typedef struct {
	uint64_t outage_until_ms;
	bool outage_hangs; /**< an outage leaves calls unanswered, not closed */
	uint64_t slow_until_ms;
	uint32_t slow_ms;      /**< delay of each answer until slow_until_ms */
	uint32_t lose_answers; /**< answers to writes left to drop */
} platform_faults_t;

/** The whole program: key-value service, list of VMs and faults. */
typedef struct {
	struct event_base *base;
	kv_t kv;
	kv_t copy;	      /**< restored by a fault */
	bool has_copy;	      /**< a copy was kept */
	json_t *nodes;	      /**< the list of VMs that callers get */
	uint64_t nodes_index; /**< index of the list's last change */
	uint32_t list_lag_ms; /**< delay until a new list is published */
	GPtrArray *watches;   /**< of call_t, calls that wait for a change */
	platform_calls_t calls;
	platform_faults_t faults;
} platform_t;

/** Serves the platform's interface. @return false if it cannot listen */
bool api_start(platform_t *platform, const char *address, uint16_t port);

/** Answers the watches whose key or list has changed. */
void api_answer_changed_watches(platform_t *platform);

/** Closes the connections of all watches. */
void api_cut_watches(platform_t *platform);

/** Serves the tests' control URLs. @return false if it cannot listen */
bool platform_control_start(platform_t *platform, const char *address,
			    uint16_t port);

#endif

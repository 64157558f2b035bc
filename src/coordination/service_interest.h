#ifndef COORDINATION_SERVICE_INTEREST_H
#define COORDINATION_SERVICE_INTEREST_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The services that a node used lately; it names them to the hubs that it
 * follows. Load: hundreds of services, of which a node's callers use a few. A
 * hub that sends points of all logs to 50 nodes 2.5 times a second sends
 * megabytes a second.
 *
 * Plain data, initially zero.
 */

/** Maximum number of services named; the least recently used go first. */
#define SERVICE_INTEREST_MAX 64u

/** Time after its last use for which a service is named. */
#define SERVICE_INTEREST_KEPT_MS 30000u

/** Number of services up to which a node names none and is sent all. */
#define SERVICE_INTEREST_SERVICES_MIN 24u

/** A bounded set of services, by the keys of their names. */
typedef struct {
	uint64_t keys[SERVICE_INTEREST_MAX]; /**< see owner_key() */
	uint32_t count;
} service_keys_t;

typedef struct {
	service_keys_t services;
	uint64_t used_ms[SERVICE_INTEREST_MAX]; /**< last use of each */
} service_interest_t;

/** @return whether the set has the key */
bool service_keys_contain(const service_keys_t *keys, uint64_t key);

/** Adds a key. @return false if it is present or the set is full */
bool service_keys_add(service_keys_t *keys, uint64_t key);

/** Removes a key if it is present. */
void service_keys_remove(service_keys_t *keys, uint64_t key);

/** Records the use of a service. */
void service_interest_used(service_interest_t *interest, uint64_t key,
			   uint64_t now_ms);

/**
 * Determines what a hub has to be told, and assumes that it is told.
 *
 * @param told    what it was told so far; receives the present set
 * @param added   receives the services to be added
 * @param removed receives the services to be removed, which go first
 */
void service_interest_tell(service_interest_t *interest, service_keys_t *told,
			   service_keys_t *added, service_keys_t *removed,
			   uint64_t now_ms);

#endif

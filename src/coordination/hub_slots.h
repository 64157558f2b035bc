#ifndef COORDINATION_HUB_SLOTS_H
#define COORDINATION_HUB_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Chooses the hubs of a failure domain: the few nodes that follow the store,
 * hold a lease there and keep the connections to the backend servers for all
 * nodes of the domain. Each hub holds one of HUB_SLOTS keys of the domain.
 *
 * Load pattern: hundreds of nodes start within 0.3 s, or lose a hub at the same
 * moment; only a few of them may turn to the store, the larger VMs first.
 */

/** Number of hubs of a failure domain; all nodes of a smaller domain are. */
#define HUB_SLOTS 3u

/** The holders of a domain's slots; NULL for a free slot. */
typedef struct {
	const char *holders[HUB_SLOTS];
} hub_slots_t;

/**
 * @return the slot that a node may claim: the one that bears its name, else a
 *         free one, else -1
 */
int hub_slots_claimable(const hub_slots_t *slots, const char *node);

/** @return whether the slot bears the node's name, from an earlier run */
bool hub_slots_is_own(const hub_slots_t *slots, int slot, const char *node);

/** @return number of free slots */
uint32_t hub_slots_free(const hub_slots_t *slots);

/**
 * @param processor_share processor of the node's VM, in cores
 * @param random          from 0 to 1
 * @return the delay before a node claims a slot that was free when read; short
 *         on large VMs, and short while the domain has no hub at all
 */
uint32_t hub_slots_delay_ms(const hub_slots_t *slots, double processor_share,
			    double random);

#endif

#include "coordination/hub_slots.h"

#include <string.h>

#include <glib.h>

/* Delay of a VM with one core; a smaller one waits longer in proportion. */
#define DELAY_MS 40.0

/* Smallest share that lengthens the delay further. */
#define PROCESSOR_SHARE_MIN 0.05

/* Random part of the delay while the domain has no hub. */
#define SPREAD_URGENT_MS 100.0

/* The same where other hubs serve the domain; news of a claim takes seconds. */
#define SPREAD_MS 8000.0

/* Hash of a name, to spread the first choice of nodes over the slots. */
static uint32_t first_choice(const char *node)
{
	return g_str_hash(node) % HUB_SLOTS;
}

int hub_slots_claimable(const hub_slots_t *slots, const char *node)
{
	for (uint32_t i = 0; i < HUB_SLOTS; i++)
		if (hub_slots_is_own(slots, (int)i, node))
			return (int)i;
	for (uint32_t i = 0; i < HUB_SLOTS; i++) {
		const uint32_t slot = (first_choice(node) + i) % HUB_SLOTS;

		if (!slots->holders[slot])
			return (int)slot;
	}
	return -1;
}

bool hub_slots_is_own(const hub_slots_t *slots, int slot, const char *node)
{
	return slot >= 0 && slots->holders[slot] &&
	       !strcmp(slots->holders[slot], node);
}

uint32_t hub_slots_free(const hub_slots_t *slots)
{
	uint32_t free = 0;

	for (uint32_t i = 0; i < HUB_SLOTS; i++)
		free += !slots->holders[i];
	return free;
}

uint32_t hub_slots_delay_ms(const hub_slots_t *slots, double processor_share,
			    double random)
{
	const double spread_ms = hub_slots_free(slots) == HUB_SLOTS ?
					 SPREAD_URGENT_MS :
					 SPREAD_MS;

	return (uint32_t)(DELAY_MS / MAX(processor_share, PROCESSOR_SHARE_MIN) +
			  random * spread_ms);
}

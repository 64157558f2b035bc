#include "coordination/fence_release.h"

#include "coordination/primary_lease.h"

/* Proofs by replicas from before a promotion must expire first. */
#define DELAY_MS (PRIMARY_LEASE_VALID_MS + PRIMARY_LEASE_VALID_MS / 10)

void fence_release_schedule(fence_release_t *release, uint64_t now_ms)
{
	release->due_ms = now_ms + DELAY_MS;
}

void fence_release_cancel(fence_release_t *release)
{
	release->due_ms = 0;
}

bool fence_release_is_due(const fence_release_t *release,
			  const fence_release_duty_t *duty, uint64_t now_ms)
{
	return duty->held && duty->renewed && duty->idle && release->due_ms &&
	       now_ms >= release->due_ms;
}

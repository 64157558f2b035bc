#include "coordination/primary_lease.h"

#include <string.h>

#include <glib.h>

#include "state/store_revision.h"

void node_lease_renewed(node_lease_t *lease, uint64_t sent_ms)
{
	lease->valid_until_ms =
		MAX(lease->valid_until_ms, sent_ms + PRIMARY_LEASE_VALID_MS);
	lease->renewed_ms = MAX(lease->renewed_ms, sent_ms);
}

void node_lease_lost(node_lease_t *lease)
{
	lease->lease = 0;
	lease->registered_at = 0;
	lease->valid_until_ms = 0;
}

void primary_lease_forget_proofs(primary_lease_t *service)
{
	service->replicas_until_ms = 0;
	service->granted_until_ms = 0;
	for (uint32_t i = 0; i < service->replicas_count; i++)
		service->replicas[i].round = 0;
}

void primary_lease_apply_record(primary_lease_t *service, uint64_t term,
				const char *primary, bool takeover,
				int64_t revision)
{
	if (revision < service->read_at || term < service->term)
		return;
	if (term != service->term || strcmp(primary, service->primary))
		primary_lease_forget_proofs(service);
	service->term = term;
	g_strlcpy(service->primary, primary, sizeof(service->primary));
	service->takeover = takeover;
	service->read_at = revision;
}

bool primary_lease_unchanged(primary_lease_t *service, int64_t revision)
{
	/* Without a record, one that was written earlier is still to come. */
	if (!*service->primary)
		return true;
	if (store_revision_era(service->read_at) !=
	    store_revision_era(revision))
		return false;
	service->read_at = MAX(service->read_at, revision);
	return true;
}

static bool same_replicas(const primary_lease_t *service,
			  const char *const *ids, uint32_t count)
{
	if (service->replicas_count != count)
		return false;
	for (uint32_t i = 0; i < count; i++)
		if (strcmp(service->replicas[i].id, ids[i]))
			return false;
	return true;
}

void primary_lease_set_replicas(primary_lease_t *service,
				const char *const *ids, uint32_t count)
{
	count = MIN(count, PRIMARY_LEASE_REPLICAS_MAX);
	if (same_replicas(service, ids, count))
		return;
	service->replicas_count = count;
	for (uint32_t i = 0; i < count; i++)
		g_strlcpy(service->replicas[i].id, ids[i],
			  sizeof(service->replicas[i].id));
	primary_lease_forget_proofs(service);
}

/* Records the proof of a round once every replica has answered in it. */
static void update_replicas_proof(primary_lease_t *service, uint64_t round)
{
	uint64_t sent_ms = UINT64_MAX;

	for (uint32_t i = 0; i < service->replicas_count; i++) {
		if (service->replicas[i].round != round)
			return;
		sent_ms = MIN(sent_ms, service->replicas[i].sent_ms);
	}
	service->replicas_until_ms = sent_ms + PRIMARY_LEASE_VALID_MS;
}

void primary_lease_replica_answer(primary_lease_t *service, const char *id,
				  bool fenced, uint64_t round, uint64_t sent_ms)
{
	if (fenced) {
		primary_lease_forget_proofs(service);
		return;
	}
	for (uint32_t i = 0; i < service->replicas_count; i++) {
		if (strcmp(service->replicas[i].id, id))
			continue;
		service->replicas[i].round = round;
		service->replicas[i].sent_ms = sent_ms;
	}
	update_replicas_proof(service, round);
}

void primary_lease_granted(primary_lease_t *service, uint64_t term,
			   const char *primary, uint64_t until_ms)
{
	if (term == service->term && !strcmp(primary, service->primary))
		service->granted_until_ms =
			MAX(service->granted_until_ms, until_ms);
}

static uint64_t replicas_proof_until_ms(const primary_lease_t *service)
{
	if (service->replicas_count < PRIMARY_LEASE_REPLICAS_MIN)
		return 0;
	return service->replicas_until_ms;
}

void primary_lease_delegated(primary_lease_t *service, uint64_t until_ms)
{
	service->delegated_until_ms = until_ms;
}

uint64_t primary_lease_own_until_ms(const primary_lease_t *service,
				    const node_lease_t *node)
{
	if (!*service->primary || service->takeover)
		return 0;
	if (!node->registered_at || service->read_at < node->registered_at)
		return 0;
	return MAX(MAX(node->valid_until_ms, service->granted_until_ms),
		   replicas_proof_until_ms(service));
}

uint64_t primary_lease_until_ms(const primary_lease_t *service,
				const node_lease_t *node)
{
	if (!*service->primary || service->takeover)
		return 0;
	return MAX(service->delegated_until_ms,
		   primary_lease_own_until_ms(service, node));
}

bool primary_lease_valid(const primary_lease_t *service,
			 const node_lease_t *node, uint64_t now_ms)
{
	return now_ms < primary_lease_until_ms(service, node);
}

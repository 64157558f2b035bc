#include "coordination/connection_upkeep.h"

#include <glib.h>

bool connection_upkeep_is_large(uint32_t servers)
{
	return servers > CONNECTION_UPKEEP_SERVERS_MAX;
}

uint32_t connection_upkeep_kept(const connection_upkeep_t *input)
{
	if (!input->large)
		return MAX(input->share, input->prover);
	if (input->first)
		return MAX(input->share, 1);
	return input->prover || input->coordinator;
}

bool connection_upkeep_opens(bool large, bool prover, uint32_t kept)
{
	return kept && (!large || prover);
}

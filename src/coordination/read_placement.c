#include "coordination/read_placement.h"

/* Additional delay that is accepted to keep a read in its failure domain. */
#define DOMAIN_PENALTY_MS 80

/* Additional delay that is accepted to keep a read in its region. */
#define REGION_PENALTY_MS 250

const char *read_distance_name(read_distance_t distance)
{
	static const char *const names[] = {
		[READ_DISTANCE_DOMAIN] = "domain",
		[READ_DISTANCE_REGION] = "region",
		[READ_DISTANCE_ELSEWHERE] = "elsewhere",
	};

	return names[distance];
}

read_distance_t read_candidate_distance(const read_candidate_t *candidate)
{
	if (candidate->near)
		return READ_DISTANCE_DOMAIN;
	return candidate->same_region ? READ_DISTANCE_REGION :
					READ_DISTANCE_ELSEWHERE;
}

static uint64_t cost_ms(const read_candidate_t *candidate)
{
	uint64_t cost =
		candidate->wait_ms + candidate->run_ms + candidate->behind_ms;

	if (!candidate->same_region)
		cost += REGION_PENALTY_MS;
	else if (!candidate->near)
		cost += DOMAIN_PENALTY_MS;
	return cost;
}

int read_placement_choose(const read_candidate_t *candidates, uint32_t count)
{
	int best = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (!candidates[i].usable)
			continue;
		if (best < 0 ||
		    cost_ms(&candidates[i]) < cost_ms(&candidates[best]))
			best = (int)i;
	}
	return best;
}

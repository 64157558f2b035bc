#include "coordination/owner.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* An owner needs one connection besides its control connections. */
#define OWNER_CONNECTIONS_MIN (OWNER_CONTROL_CONNECTIONS + 1)

uint64_t owner_key(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

uint64_t owner_weight(uint64_t node_key, uint64_t server_key)
{
	const uint64_t pair[2] = {node_key, server_key};

	return XXH3_64bits(pair, sizeof(pair));
}

/* Nodes of equal weight are ordered by name, so that all nodes agree. */
static bool ranks_above(const owner_ranking_t *ranking, uint32_t i,
			uint64_t weight, const char *node)
{
	if (ranking->weights[i] != weight)
		return ranking->weights[i] > weight;
	return strcmp(ranking->nodes[i], node) < 0;
}

void owner_ranking_add(owner_ranking_t *ranking, const char *node,
		       uint64_t weight)
{
	uint32_t place = ranking->count;

	while (place && !ranks_above(ranking, place - 1, weight, node))
		place--;
	if (place == ranking->wanted)
		return;
	if (ranking->count < ranking->wanted)
		ranking->count++;
	for (uint32_t i = ranking->count - 1; i > place; i--) {
		ranking->nodes[i] = ranking->nodes[i - 1];
		ranking->weights[i] = ranking->weights[i - 1];
	}
	ranking->nodes[place] = node;
	ranking->weights[place] = weight;
}

bool owner_is_candidate(const member_t *member)
{
	return member->state == MEMBER_LIVE || member->state == MEMBER_SUSPECT;
}

/* Ranks the members of a failure domain, or all members if it is NULL. */
static void rank_members(const member_view_t *view, uint64_t server_key,
			 const char *failure_domain, owner_ranking_t *ranking)
{
	for (uint32_t i = 0; i < view->members_count; i++) {
		const member_t *member = &view->members[i];

		if (!owner_is_candidate(member) ||
		    (failure_domain &&
		     strcmp(member->failure_domain, failure_domain) != 0))
			continue;
		owner_ranking_add(
			ranking, member->name,
			owner_weight(owner_key(member->name), server_key));
	}
}

uint32_t owner_rank(const member_view_t *view, const char *server,
		    const char *failure_domain, uint32_t wanted,
		    const char **nodes)
{
	const uint64_t server_key = owner_key(server);
	owner_ranking_t ranking = {.wanted = MIN(wanted, OWNER_LIMIT)};

	rank_members(view, server_key, failure_domain, &ranking);
	if (!ranking.count)
		rank_members(view, server_key, NULL, &ranking);
	for (uint32_t i = 0; i < ranking.count; i++)
		nodes[i] = ranking.nodes[i];
	return ranking.count;
}

uint32_t owner_share(uint32_t connections, uint32_t owners, uint32_t rank)
{
	if (rank >= owners || rank >= connections)
		return 0;
	return (connections - rank + owners - 1) / owners;
}

uint32_t owner_wanted(uint32_t connections, uint32_t owners)
{
	uint32_t most = MAX(connections / OWNER_CONNECTIONS_MIN, 1);

	return MIN(MIN(MAX(owners, 1), most), OWNER_LIMIT);
}

#include "relay/relay_peers.h"

#include <string.h>

#include "coordination/connection_share.h"
#include "coordination/owner.h"

/* Number of provers: one per NODES_PER_PROVER nodes, within bounds. */
#define NODES_PER_PROVER 16
#define PROVERS_MIN 4
#define PROVERS_MAX 8

/* Multiplier that spreads the hashes of names that differ only at the end. */
#define HASH_SPREAD 2654435761u

void relay_peer_free(relay_peer_t *peer)
{
	g_free(peer->name);
	g_free(peer->failure_domain);
	g_free(peer->forwarding.address);
	g_free(peer);
}

uint32_t relay_peers_in(const relay_peers_t *peers, const char *domain)
{
	uint32_t count = 0;

	for (guint i = 0; peers->list && i < peers->list->len; i++) {
		const relay_peer_t *peer = peers->list->pdata[i];

		count += !strcmp(peer->failure_domain, domain);
	}
	return count;
}

const endpoint_t *relay_peers_endpoint(const relay_peers_t *peers,
				       const char *name)
{
	for (guint i = 0; i < relay_peers_count(peers); i++) {
		const relay_peer_t *peer = peers->list->pdata[i];

		if (!strcmp(peer->name, name))
			return &peer->forwarding;
	}
	return NULL;
}

uint32_t relay_peers_count(const relay_peers_t *peers)
{
	return peers->list ? peers->list->len : 0;
}

static uint32_t provers_wanted(const relay_peers_t *peers)
{
	return CLAMP(relay_peers_count(peers) / NODES_PER_PROVER, PROVERS_MIN,
		     PROVERS_MAX);
}

/* The provers are the nodes with the lowest hashes; all nodes agree on them. */
bool relay_peers_is_prover(const relay_peers_t *peers, const char *node)
{
	const guint hash = g_str_hash(node) * HASH_SPREAD;
	uint32_t before = 0;

	for (guint i = 0; i < relay_peers_count(peers); i++) {
		const relay_peer_t *peer = peers->list->pdata[i];

		before += g_str_hash(peer->name) * HASH_SPREAD < hash;
	}
	return before < provers_wanted(peers);
}

/* @return whether a hub of a domain is first in the list of its domain */
static bool is_first_of_domain(const relay_peers_t *peers, guint index)
{
	const relay_peer_t *peer = peers->list->pdata[index];

	for (guint i = 0; i < index; i++) {
		const relay_peer_t *other = peers->list->pdata[i];

		if (!strcmp(peer->failure_domain, other->failure_domain))
			return false;
	}
	return true;
}

/* @return order of a domain by its distance from a server, lowest first */
static uint32_t distance(const relay_peers_t *peers, const char *domain,
			 const char *server_domain)
{
	GHashTable *regions = peers->regions;

	if (!strcmp(domain, server_domain))
		return 0;
	return regions && !g_strcmp0(
				  g_hash_table_lookup(regions, domain),
				  g_hash_table_lookup(regions, server_domain)) ?
		       1 :
		       2;
}

/* @return whether domain a comes before domain b; all nodes agree */
static bool domain_precedes(const relay_peers_t *peers, const char *a,
			    const char *b, const char *server_domain)
{
	const uint32_t a_distance = distance(peers, a, server_domain);
	const uint32_t b_distance = distance(peers, b, server_domain);

	return a_distance != b_distance ? a_distance < b_distance :
					  strcmp(a, b) < 0;
}

/* @return this node's connections to a server, without control statements */
uint32_t relay_peers_customer_room(const relay_peers_t *peers,
				   const char *server_domain, uint32_t limit)
{
	const char *own = peers->failure_domain;
	connection_share_domain_t input = {
		.limit = limit,
		.provers = MIN(provers_wanted(peers), relay_peers_count(peers)),
	};

	for (guint i = 0; i < relay_peers_count(peers); i++) {
		const relay_peer_t *peer = peers->list->pdata[i];

		if (!is_first_of_domain(peers, i))
			continue;
		input.domains++;
		input.rank += domain_precedes(peers, peer->failure_domain, own,
					      server_domain);
	}
	return connection_share_domain(&input);
}

static bool can_forward(const relay_peers_t *peers, const relay_peer_t *peer,
			const char *domain)
{
	return strcmp(peer->name, peers->node) &&
	       (!domain || !strcmp(peer->failure_domain, domain));
}

const endpoint_t *relay_peers_next(relay_peers_t *peers, const char *domain)
{
	for (guint i = 0; i < relay_peers_count(peers); i++) {
		const relay_peer_t *peer =
			peers->list->pdata[peers->next++ % peers->list->len];

		if (can_forward(peers, peer, domain))
			return &peer->forwarding;
	}
	return NULL;
}

const endpoint_t *relay_peers_next_proving(relay_peers_t *peers)
{
	const uint32_t count = relay_peers_count(peers);

	for (uint32_t i = 0; peers->next % 2 && i < count; i++) {
		const relay_peer_t *peer =
			peers->list->pdata[peers->next++ % count];

		if (can_forward(peers, peer, NULL) &&
		    relay_peers_is_prover(peers, peer->name))
			return &peer->forwarding;
	}
	return relay_peers_next(peers, NULL);
}

/* @return whether no hub of its domain ranks before the hub for a server */
static bool ranks_first(const relay_peers_t *peers, const relay_peer_t *peer,
			uint64_t server_key)
{
	const uint64_t weight = owner_weight(owner_key(peer->name), server_key);

	for (guint i = 0; i < relay_peers_count(peers); i++) {
		const relay_peer_t *other = peers->list->pdata[i];

		if (!strcmp(other->failure_domain, peer->failure_domain) &&
		    owner_weight(owner_key(other->name), server_key) > weight)
			return false;
	}
	return true;
}

bool relay_peers_is_first(const relay_peers_t *peers, const char *server)
{
	const relay_peer_t own = {
		.name = (char *)peers->node,
		.failure_domain = (char *)peers->failure_domain,
	};

	return ranks_first(peers, &own, owner_key(server));
}

/* Only the hub that ranks first in its domain has connections to a server. */
const endpoint_t *relay_peers_next_first(relay_peers_t *peers,
					 const char *server)
{
	const uint64_t server_key = owner_key(server);

	for (guint i = 0; i < relay_peers_count(peers); i++) {
		const relay_peer_t *peer =
			peers->list->pdata[peers->next++ % peers->list->len];

		if (can_forward(peers, peer, NULL) &&
		    strcmp(peer->failure_domain, peers->failure_domain) &&
		    ranks_first(peers, peer, server_key))
			return &peer->forwarding;
	}
	return NULL;
}

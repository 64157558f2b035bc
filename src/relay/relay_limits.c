#include "relay/relay_limits.h"

#include "coordination/connection_share.h"
#include "coordination/connection_upkeep.h"
#include "relay/relay_server.h"

/* Connections to a server before the catalog and the nodes are known. */
#define CONNECTIONS_DEFAULT 2

/* Connections of a node to a server over other nodes, where it has customers.
 */
#define FORWARDED_MAX 16

static bool is_known(const relay_limits_t *limits)
{
	return limits->service && limits->peers->list;
}

static bool is_prover(const relay_limits_t *limits)
{
	return relay_peers_is_prover(limits->peers, limits->peers->node);
}

static void apply_by_customer(const relay_limits_t *limits,
			      relay_server_t *server)
{
	const char *domain = relay_server_entry(server)->failure_domain;
	const bool watches = limits->large && limits->is_coordinator;
	const uint32_t control =
		limits->is_hub && (is_prover(limits) || watches);
	uint32_t room = is_known(limits) ? 0 : CONNECTIONS_DEFAULT;

	if (is_known(limits) && limits->is_hub)
		room = relay_peers_customer_room(
			limits->peers, domain,
			limits->service->connections_max);
	relay_server_set_customer_limit(server, control, control + room,
					FORWARDED_MAX);
}

static void apply(const relay_limits_t *limits, relay_server_t *server)
{
	const char *domain = relay_server_entry(server)->failure_domain;
	const uint32_t near = relay_peers_in(limits->peers, domain);
	const connection_share_input_t input = {
		.limit = limits->service ? limits->service->connections_max : 0,
		.nodes_near = near,
		.nodes_far = relay_peers_count(limits->peers) - near,
	};
	const connection_upkeep_t upkeep = {
		.large = limits->large,
		.share = connection_share(&input),
		.prover = is_prover(limits),
		.first = relay_peers_is_first(limits->peers,
					      relay_server_entry(server)->id),
		.coordinator = limits->is_coordinator,
	};

	if (is_known(limits) && !limits->is_hub)
		relay_server_set_limit(server, 0, connection_share_max(&input));
	else if (is_known(limits))
		relay_server_set_limit(server, connection_upkeep_kept(&upkeep),
				       connection_share_max(&input));
	else
		relay_server_set_limit(server, CONNECTIONS_DEFAULT,
				       CONNECTIONS_DEFAULT);
}

void relay_limits_apply(const relay_limits_t *limits, const GPtrArray *servers)
{
	for (guint i = 0; i < servers->len; i++) {
		if (limits->by_customer)
			apply_by_customer(limits, servers->pdata[i]);
		else
			apply(limits, servers->pdata[i]);
	}
}

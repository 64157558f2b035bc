#include "relay/relay_proof.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/connection_upkeep.h"
#include "coordination/proof_poll.h"
#include "relay/relay_control.h"
#include "relay/relay_grant.h"

/*
 * Replicas and other nodes are queried when the store's proof has less than
 * this time left.
 */
#define PROOF_REMAINING_MIN_MS 450

/* Timeout of a status query. */
#define PROOF_TIMEOUT_MS 600

/* Interval between reads of the records that verify new connections. */
#define PROOF_VERIFY_MS 1500

struct relay_proof {
	relay_services_t *services;
	relay_grant_t *grant;
	struct event *timer;
	proof_poll_t poll;
	GHashTable *queries;  /* status_query_t, the queries under way */
	uint64_t verified_ms; /* when verify() was last called */
	bool by_others; /* proofs are not from the store, as last logged */
	void (*verify)(void *context);
	void *context;
};

/* A status query to one replica. */
typedef struct {
	relay_proof_t *proof;
	relay_service_t *service;
	char *server;
	uint64_t term;	/* term of the primary to be proved */
	uint64_t round; /* poll round of the query */
} status_query_t;

static void query_free(gpointer data)
{
	status_query_t *query = data;

	g_free(query->server);
	g_free(query);
}

static void on_answer(void *context, const relay_control_answer_t *answer)
{
	status_query_t *query = context;
	relay_proof_t *proof = query->proof;
	primary_lease_t *lease = relay_service_lease(query->service);
	const bool verified = answer->link_opened_ms <
			      relay_service_verified_ms(query->service);
	const bool fenced = answer->status.role != SERVER_REPLICA ||
			    answer->status.fence > query->term ||
			    answer->status.term > query->term;

	if (answer->result == RELAY_CONTROL_DONE &&
	    lease->term == query->term && (verified || fenced)) {
		primary_lease_replica_answer(lease, query->server, fenced,
					     query->round, answer->sent_ms);
		relay_services_wake(proof->services);
	} else {
		log_event(LOG_LEVEL_INFO, "proof_missing",
			  "service=%s server=%s result=%s verified=%d",
			  relay_service_name(query->service), query->server,
			  relay_control_result_name(answer->result), verified);
	}
	g_hash_table_remove(proof->queries, query);
}

static void poll_replicas(relay_proof_t *proof, relay_service_t *service)
{
	const primary_lease_t *lease = relay_service_lease(service);

	for (uint32_t i = 0; i < lease->replicas_count; i++) {
		const char *id = lease->replicas[i].id;
		status_query_t *query;

		query = g_new0(status_query_t, 1);
		query->proof = proof;
		query->service = service;
		query->server = g_strdup(id);
		query->term = lease->term;
		query->round = proof->poll.round;
		g_hash_table_add(proof->queries, query);
		relay_control_run_opened_before(
			service, id, RELAY_CONTROL_STATUS, 0,
			relay_service_verified_ms(service), PROOF_TIMEOUT_MS,
			on_answer, query);
	}
}

/* @return whether this hub opens connections to a server before their use */
static bool opens_early(const relay_service_t *service,
			const relay_server_t *server)
{
	const relay_services_t *services = relay_service_services(service);

	return connection_upkeep_opens(relay_services_is_large(services),
				       relay_services_is_prover(services),
				       relay_server_share(server));
}

/* A node without permanent connections relies on the proofs of other nodes. */
static bool keeps_connections(const relay_service_t *service)
{
	const GPtrArray *servers = relay_service_servers(service);

	return servers->len && opens_early(service, servers->pdata[0]);
}

/*
 * Opens a connection to each server that should have one but has none.
 *
 * @param budget number of connections that may be opened, is reduced
 * @return whether a connection was opened after the records were last read
 */
static bool open_connections(relay_service_t *service, uint32_t *budget)
{
	const GPtrArray *servers = relay_service_servers(service);
	bool unverified = false;

	for (guint i = 0; i < servers->len; i++) {
		relay_server_t *server = servers->pdata[i];
		const uint64_t oldest_ms =
			relay_server_oldest_opened_ms(server);

		if (relay_server_entry(server)->draining)
			continue;
		if (!opens_early(service, server))
			continue;
		if (*budget && relay_server_ensure_connection(server))
			--*budget;
		unverified |= oldest_ms != UINT64_MAX &&
			      oldest_ms >= relay_service_verified_ms(service);
	}
	return unverified;
}

static uint32_t open_budget(const relay_services_t *services)
{
	return relay_services_is_large(services) ? CONNECTION_UPKEEP_OPENS_MAX :
						   UINT32_MAX;
}

void relay_proof_connect(relay_services_t *services)
{
	g_autoptr(GPtrArray) names = relay_services_names(services);
	uint32_t budget = open_budget(services);

	for (guint i = 0; i < names->len; i++)
		open_connections(relay_services_find(services, names->pdata[i]),
				 &budget);
}

static void log_source(relay_proof_t *proof, bool by_others)
{
	if (by_others == proof->by_others)
		return;
	proof->by_others = by_others;
	log_event(LOG_LEVEL_NOTICE, "proof_changed", "by=%s",
		  by_others ? "others" : "store");
}

static bool wants_proof(const relay_proof_t *proof, relay_service_t *service,
			uint64_t now_ms)
{
	const primary_lease_t *lease = relay_service_lease(service);

	return *lease->primary && !lease->takeover &&
	       keeps_connections(service) &&
	       proof_poll_wants(
		       &proof->poll, g_str_hash(relay_service_name(service)),
		       primary_lease_own_until_ms(
			       lease, relay_services_lease(proof->services)),
		       now_ms);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	relay_proof_t *proof = context;
	const uint64_t now_ms = clock_boot_ms();
	const node_lease_t *node = relay_services_lease(proof->services);
	const bool by_others =
		now_ms + PROOF_REMAINING_MIN_MS > node->valid_until_ms;
	const struct timeval delay = clock_timeval(PROOF_POLL_STEP_MS);
	g_autoptr(GPtrArray) names = relay_services_names(proof->services);
	const bool due = proof_poll_step(
		&proof->poll, by_others,
		relay_services_is_large(proof->services), now_ms);
	uint32_t budget = open_budget(proof->services);
	bool unverified = false;

	if (by_others)
		relay_grant_step(proof->grant, now_ms);
	else
		relay_grant_reset(proof->grant);
	event_add(proof->timer, &delay);
	log_source(proof, by_others);
	for (guint i = 0; i < names->len; i++) {
		relay_service_t *service =
			relay_services_find(proof->services, names->pdata[i]);

		unverified |= open_connections(service, &budget);
		if (due && wants_proof(proof, service, now_ms))
			poll_replicas(proof, service);
	}
	if (unverified && !by_others &&
	    now_ms >= proof->verified_ms + PROOF_VERIFY_MS) {
		proof->verified_ms = now_ms;
		proof->verify(proof->context);
	}
}

relay_proof_t *relay_proof_create(relay_services_t *services,
				  void (*verify)(void *context), void *context)
{
	relay_proof_t *proof = g_new0(relay_proof_t, 1);
	const struct timeval delay = clock_timeval(PROOF_POLL_STEP_MS);

	proof->services = services;
	proof->grant = relay_grant_create(services);
	proof->verify = verify;
	proof->context = context;
	proof->queries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       query_free, NULL);
	proof->timer = evtimer_new(relay_services_settings(services)->base,
				   on_timer, proof);
	event_add(proof->timer, &delay);
	return proof;
}

void relay_proof_destroy(relay_proof_t *proof)
{
	if (!proof)
		return;
	event_free(proof->timer);
	relay_grant_destroy(proof->grant);
	g_hash_table_destroy(proof->queries);
	g_free(proof);
}

/*
 * Measures the membership protocol in simulated time: traffic and processor
 * time of each node, and the time until a change is known, for fleets of
 * several sizes and while a failure domain is cut off. Also compares the
 * assignment of owners by rendezvous hashing with points on a circle.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "coordination/owner.h"
#include "coordination/ownership.h"
#include "base/clock.h"
#include "sim/member_sim.h"

#define SEED_DEFAULT 20261204
/*
 * All nodes start at once. The time until all have heard of each other grows
 * in proportion to their number.
 */
#define START_MS_MIN 20000
#define START_MS_PER_NODE 250
/* Duration of a measurement without any change. */
#define IDLE_MS 30000
#define STEP_MS 10
#define CUT_STEP_MS 100
/* Longest wait for a change to be known. */
#define TIMEOUT_MS 60000
#define NODES_PER_DOMAIN 22

/*
 * Overhead of a ZMTP 3.1 frame with CURVE: flags and size, then command name,
 * nonce and MAC.
 */
#define ZMTP_BYTES (2 + 33)

/* TCP and IPv4 headers of a message's segment and of its acknowledgement. */
#define TCP_BYTES (2 * 40)

/* ZeroMQ's own PING and PONG on each link, sent every 10 s. */
#define PING_BYTES_PER_SECOND (2 * (ZMTP_BYTES + 10) / 10.0)
/* Links of one node. */
#define LINKS_PER_NODE 4

#define OWNER_NODES 60
#define OWNER_SERVERS 450
#define POINTS_PER_NODE 200
#define OWNER_ROUNDS 20
/* Index of the node that is removed. */
#define OWNER_REMOVED_NODE 7

static member_sim_t *start_fleet(uint32_t nodes_count, uint64_t seed)
{
	const member_sim_settings_t settings = {
		.nodes_count = nodes_count,
		.domains_count = MAX(3, nodes_count / NODES_PER_DOMAIN),
		.same_domain_delay_ms = 1,
		.cross_domain_delay_ms = 20,
		.seed = seed,
		.measure_cost = true,
	};
	member_sim_t *sim = member_sim_create(&settings);

	for (uint32_t i = 0; i < nodes_count; i++)
		member_sim_start(sim, i);
	member_sim_run(sim, MAX(START_MS_MIN,
				START_MS_PER_NODE * (uint64_t)nodes_count));
	return sim;
}

/*
 * Runs the simulation until all running nodes see @p subject in @p state.
 *
 * @param same_domain_ms receives the time until all running nodes of the
 *                       subject's failure domain saw the state
 * @return the time until all running nodes saw the state
 */
static uint64_t measure_time_until_seen(member_sim_t *sim, uint32_t nodes_count,
					uint32_t subject, member_state_t state,
					uint64_t *same_domain_ms)
{
	const uint64_t from_ms = member_sim_now_ms(sim);
	const uint32_t domain = member_sim_domain(sim, subject);
	bool all_seen = false;

	*same_domain_ms = 0;
	while (!all_seen && member_sim_now_ms(sim) < from_ms + TIMEOUT_MS) {
		bool domain_seen = true;

		member_sim_run(sim, STEP_MS);
		all_seen = true;
		for (uint32_t i = 0; i < nodes_count; i++) {
			if (!member_sim_is_running(sim, i) ||
			    member_sim_state(sim, i, subject) == state)
				continue;
			all_seen = false;
			if (member_sim_domain(sim, i) == domain)
				domain_seen = false;
		}
		if (domain_seen && !*same_domain_ms)
			*same_domain_ms = member_sim_now_ms(sim) - from_ms;
	}
	return member_sim_now_ms(sim) - from_ms;
}

static void print_traffic(const char *when, const member_sim_stats_t *from,
			  const member_sim_stats_t *to)
{
	const double node_seconds = (to->node_ms - from->node_ms) / 1000.0;
	const double messages =
		(to->messages_count - from->messages_count) / node_seconds;
	const double payload =
		(to->payload_bytes - from->payload_bytes) / node_seconds;
	const double sent = payload + messages * ZMTP_BYTES +
			    LINKS_PER_NODE * PING_BYTES_PER_SECOND;

	printf("  %-10s messages/s %.2f payload B/s %.0f with ZMTP and CURVE "
	       "%.0f with TCP/IP %.0f cpu us/s %.0f\n",
	       when, messages, payload, sent, sent + messages * TCP_BYTES,
	       (to->cpu_us - from->cpu_us) / node_seconds);
}

static void bench_fleet(uint32_t nodes_count, uint64_t seed)
{
	member_sim_t *sim = start_fleet(nodes_count, seed);
	const member_sim_stats_t zero = {0};
	member_sim_stats_t before = member_sim_stats(sim);
	member_sim_stats_t after;
	uint64_t all_ms;
	uint64_t same_domain_ms;

	printf("nodes %u\n", nodes_count);
	print_traffic("start", &zero, &before);
	member_sim_run(sim, IDLE_MS);
	after = member_sim_stats(sim);
	print_traffic("quiet", &before, &after);
	member_sim_leave(sim, 1);
	all_ms = measure_time_until_seen(sim, nodes_count, 1, MEMBER_LEAVING,
					 &same_domain_ms);
	printf("  leaving known in its domain after %" PRIu64
	       " ms, everywhere after %" PRIu64 " ms\n",
	       same_domain_ms, all_ms);
	member_sim_stop(sim, 2);
	all_ms = measure_time_until_seen(sim, nodes_count, 2, MEMBER_DEAD,
					 &same_domain_ms);
	printf("  death known in its domain after %" PRIu64
	       " ms, everywhere after %" PRIu64 " ms\n",
	       same_domain_ms, all_ms);
	member_sim_start(sim, 2);
	all_ms = measure_time_until_seen(sim, nodes_count, 2, MEMBER_LIVE,
					 &same_domain_ms);
	printf("  return known in its domain after %" PRIu64
	       " ms, everywhere after %" PRIu64 " ms\n",
	       same_domain_ms, all_ms);
	member_sim_destroy(sim);
}

/*
 * @return number of nodes outside the first failure domain that see all nodes
 *         of that domain as dead
 */
static uint32_t count_cut_off(member_sim_t *sim, uint32_t nodes_count)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < nodes_count; i++) {
		bool all = member_sim_domain(sim, i) != 0;

		for (uint32_t k = 0; all && k < nodes_count; k++)
			all = member_sim_domain(sim, k) ||
			      member_sim_state(sim, i, k) == MEMBER_DEAD;
		count += all;
	}
	return count;
}

/* @return number of nodes outside the first failure domain */
static uint32_t count_outside(member_sim_t *sim, uint32_t nodes_count)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < nodes_count; i++)
		count += member_sim_domain(sim, i) != 0;
	return count;
}

static void bench_partition(uint32_t nodes_count, uint64_t seed)
{
	member_sim_t *sim = start_fleet(nodes_count, seed);
	const uint32_t outside = count_outside(sim, nodes_count);
	member_sim_stats_t before = member_sim_stats(sim);
	member_sim_stats_t after;
	uint64_t from_ms = member_sim_now_ms(sim);
	uint64_t same_domain_ms;

	printf("nodes %u, one failure domain cut off\n", nodes_count);
	member_sim_cut(sim, 0, true);
	while (count_cut_off(sim, nodes_count) < outside &&
	       member_sim_now_ms(sim) < from_ms + TIMEOUT_MS)
		member_sim_run(sim, CUT_STEP_MS);
	after = member_sim_stats(sim);
	printf("  all of it seen as dead by all others after %" PRIu64 " ms\n",
	       member_sim_now_ms(sim) - from_ms);
	print_traffic("cut", &before, &after);
	member_sim_run(sim, IDLE_MS);
	before = member_sim_stats(sim);
	print_traffic("while cut", &after, &before);
	member_sim_cut(sim, 0, false);
	from_ms = measure_time_until_seen(sim, nodes_count, 0, MEMBER_LIVE,
					  &same_domain_ms);
	member_sim_run(sim, IDLE_MS);
	after = member_sim_stats(sim);
	printf("  node 0 live everywhere %" PRIu64
	       " ms after the end of the cut\n",
	       from_ms);
	print_traffic("healing", &before, &after);
	member_sim_destroy(sim);
}

/*
 * Assignment of owners: rendezvous hashing compared with points on a circle.
 * Each function of type assign_t returns the index of the server's owner among
 * all nodes but @p removed_node.
 */

typedef struct {
	uint64_t place; /* position on the circle of 64-bit hashes */
	uint32_t node;	/* index of the node that the point belongs to */
} circle_point_t;

typedef uint32_t (*assign_t)(const GArray *points, uint32_t nodes,
			     uint32_t removed_node, const char *server);

static gint compare_points(gconstpointer a, gconstpointer b)
{
	const circle_point_t *left = a;
	const circle_point_t *right = b;

	return left->place < right->place ? -1 : left->place > right->place;
}

/* Places the points of each node with a generator seeded by its name. */
static GArray *make_points(uint32_t nodes_count)
{
	GArray *points = g_array_new(FALSE, FALSE, sizeof(circle_point_t));

	for (uint32_t i = 0; i < nodes_count; i++) {
		g_autofree char *name = g_strdup_printf("entry-%03u", i);
		GRand *random = g_rand_new_with_seed((guint32)owner_key(name));

		for (uint32_t k = 0; k < POINTS_PER_NODE; k++) {
			circle_point_t point = {.node = i};

			point.place = (uint64_t)g_rand_int(random) << 32 |
				      g_rand_int(random);
			g_array_append_val(points, point);
		}
		g_rand_free(random);
	}
	g_array_sort(points, compare_points);
	return points;
}

static uint32_t assign_circle(const GArray *points, uint32_t nodes,
			      uint32_t removed_node, const char *server)
{
	const uint64_t place = owner_key(server);
	uint64_t nearest = UINT64_MAX;
	uint32_t best = 0;

	for (guint i = 0; i < points->len; i++) {
		const circle_point_t *point =
			&g_array_index(points, circle_point_t, i);
		uint64_t apart = point->place - place;

		apart = MIN(apart, -apart);
		if (point->node != removed_node && apart < nearest) {
			nearest = apart;
			best = point->node;
		}
	}
	return best;
}

static uint32_t assign_rendezvous(const GArray *points, uint32_t nodes,
				  uint32_t removed_node, const char *server)
{
	uint64_t highest = 0;
	uint32_t best = 0;

	for (uint32_t i = 0; i < nodes; i++) {
		char name[16];
		uint64_t weight;

		g_snprintf(name, sizeof(name), "entry-%03u", i);
		weight = owner_weight(owner_key(name), owner_key(server));
		if (i == removed_node || weight < highest)
			continue;
		highest = weight;
		best = i;
	}
	return best;
}

typedef struct {
	uint32_t max_servers; /* servers of the most loaded node */
	/* Sum of the squared deviations of the loads from their mean. */
	double squared_deviations;
	/* Servers that change their owner when a node is removed. */
	uint32_t moved_servers;
	/* Servers that the removed node owned. */
	uint32_t removed_node_servers;
} balance_t;

static void assign_round(assign_t assign, const GArray *points, uint32_t round,
			 balance_t *balance)
{
	const double mean = (double)OWNER_SERVERS / OWNER_NODES;
	uint32_t loads[OWNER_NODES] = {0};

	for (uint32_t s = 0; s < OWNER_SERVERS; s++) {
		g_autofree char *server =
			g_strdup_printf("server-%u-%u", round, s);
		uint32_t owner =
			assign(points, OWNER_NODES, UINT32_MAX, server);

		loads[owner]++;
		balance->moved_servers +=
			owner !=
			assign(points, OWNER_NODES, OWNER_REMOVED_NODE, server);
	}
	balance->removed_node_servers += loads[OWNER_REMOVED_NODE];
	for (uint32_t i = 0; i < OWNER_NODES; i++) {
		balance->max_servers = MAX(balance->max_servers, loads[i]);
		balance->squared_deviations +=
			(loads[i] - mean) * (loads[i] - mean);
	}
}

static void bench_assign(const char *name, assign_t assign,
			 const GArray *points)
{
	const uint64_t before_us = clock_now_us();
	balance_t balance = {0};

	for (uint32_t round = 0; round < OWNER_ROUNDS; round++)
		assign_round(assign, points, round, &balance);
	printf("  %-24s mean %.1f most %u deviation %.2f; one node removed: moved "
	       "%.1f, it had %.1f; us/server %.2f\n",
	       name, (double)OWNER_SERVERS / OWNER_NODES, balance.max_servers,
	       sqrt(balance.squared_deviations / OWNER_NODES / OWNER_ROUNDS),
	       (double)balance.moved_servers / OWNER_ROUNDS,
	       (double)balance.removed_node_servers / OWNER_ROUNDS,
	       (double)(clock_now_us() - before_us) / OWNER_ROUNDS /
		       OWNER_SERVERS / 2);
}

int main(void)
{
	static const uint32_t sizes[] = {20, 100, 330, 660};
	const char *text = getenv("SEED");
	const uint64_t seed = text ? strtoull(text, NULL, 10) : SEED_DEFAULT;
	g_autoptr(GArray) points = make_points(OWNER_NODES);

	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("seed %" PRIu64 "; rates are for each node\n", seed);
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_fleet(sizes[i], seed);
	bench_partition(60, seed);
	bench_partition(660, seed);
	printf("first owners of %u servers over %u nodes, %u rounds\n",
	       OWNER_SERVERS, OWNER_NODES, OWNER_ROUNDS);
	bench_assign("rendezvous", assign_rendezvous, points);
	bench_assign("seeded points on circle", assign_circle, points);
	return 0;
}

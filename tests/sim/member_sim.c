#include "sim/member_sim.h"

#include <string.h>
#include <time.h>

#include <glib.h>

#include "protocol/peer_message.h"

#define START_MS 1000000

/* Size of the digest that the configuration task adds to each heartbeat. */
#define DIGEST_BYTES 16

/* The delivery of a heartbeat, or a timer of a node. */
typedef struct {
	uint64_t due_ms;
	uint64_t order; /* order of creation, for events due at once */
	uint32_t node;	/* that handles the event */
	uint32_t sender;
	uint64_t node_start; /* of the node for which the timer was set */
	bool is_heartbeat;
	uint64_t digest;
	bool wants_reply;
	uint32_t records_count;
	member_record_t *records;
} event_t;

typedef struct {
	member_t self;
	membership_t *core;
	uint64_t starts_count; /* number of starts */
	uint64_t started_ms;
	uint64_t scheduled_ms; /* time of the next run */
} node_t;

struct member_sim {
	member_sim_settings_t settings;
	GSequence *events;
	GRand *random;
	node_t *nodes;
	member_t *list;	   /* nodes in the platform's catalog */
	bool *cut_domains; /* by failure domain: whether it is cut off */
	uint64_t now_ms;
	uint64_t order;
	member_sim_stats_t stats;
};

/* One run of a node's membership code. */
typedef struct {
	member_sim_t *sim;
	uint32_t node;
	uint64_t simulation_us; /* CPU time of the simulation itself */
} node_run_t;

static uint64_t cpu_us(const member_sim_t *sim)
{
	struct timespec now;

	if (!sim->settings.measure_cost)
		return 0;
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static void event_free(gpointer data)
{
	event_t *event = data;

	g_free(event->records);
	g_free(event);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
	const event_t *left = a;
	const event_t *right = b;

	if (left->due_ms != right->due_ms)
		return left->due_ms < right->due_ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static void insert_event(member_sim_t *sim, event_t *event)
{
	event->order = ++sim->order;
	g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

static void schedule_run(member_sim_t *sim, uint32_t index)
{
	node_t *node = &sim->nodes[index];
	uint64_t due_ms = MAX(membership_next_ms(node->core), sim->now_ms);
	event_t *event;

	if (node->scheduled_ms > sim->now_ms && node->scheduled_ms <= due_ms)
		return;
	node->scheduled_ms = due_ms;
	event = g_new0(event_t, 1);
	event->due_ms = due_ms;
	event->node = index;
	event->node_start = node->starts_count;
	insert_event(sim, event);
}

static void fill_member(member_t *member, uint32_t index,
			uint32_t domains_count)
{
	g_snprintf(member->name, sizeof(member->name), "entry-%03u", index);
	g_snprintf(member->address, sizeof(member->address), "10.%u.%u.%u",
		   index % domains_count, index / 200, index % 200 + 1);
	g_snprintf(member->failure_domain, sizeof(member->failure_domain),
		   "zone-%02u", index % domains_count);
	g_strlcpy(member->region, "region", sizeof(member->region));
	member->peer_port = 7000;
}

member_sim_t *member_sim_create(const member_sim_settings_t *settings)
{
	member_sim_t *sim = g_new0(member_sim_t, 1);

	sim->settings = *settings;
	sim->events = g_sequence_new(event_free);
	sim->random = g_rand_new_with_seed((guint32)settings->seed);
	sim->nodes = g_new0(node_t, settings->nodes_count);
	sim->list = g_new0(member_t, settings->nodes_count);
	sim->cut_domains = g_new0(bool, settings->domains_count);
	sim->now_ms = START_MS;
	for (uint32_t i = 0; i < settings->nodes_count; i++) {
		fill_member(&sim->nodes[i].self, i, settings->domains_count);
		sim->list[i] = sim->nodes[i].self;
	}
	return sim;
}

void member_sim_destroy(member_sim_t *sim)
{
	for (uint32_t i = 0; i < sim->settings.nodes_count; i++)
		membership_destroy(sim->nodes[i].core);
	g_sequence_free(sim->events);
	g_rand_free(sim->random);
	g_free(sim->nodes);
	g_free(sim->list);
	g_free(sim->cut_domains);
	g_free(sim);
}

void member_sim_start(member_sim_t *sim, uint32_t index)
{
	node_t *node = &sim->nodes[index];

	node->starts_count++;
	node->self.incarnation = sim->now_ms * 1000 + node->starts_count;
	node->started_ms = sim->now_ms;
	node->scheduled_ms = 0;
	node->core = membership_create(&node->self, sim->settings.seed + index,
				       sim->now_ms);
	membership_apply_list(node->core, sim->list, sim->settings.nodes_count,
			      sim->now_ms);
	schedule_run(sim, index);
}

void member_sim_stop(member_sim_t *sim, uint32_t index)
{
	node_t *node = &sim->nodes[index];

	sim->stats.node_ms += sim->now_ms - node->started_ms;
	g_clear_pointer(&node->core, membership_destroy);
}

void member_sim_leave(member_sim_t *sim, uint32_t node)
{
	membership_leave(sim->nodes[node].core, sim->now_ms);
	schedule_run(sim, node);
}

void member_sim_cut(member_sim_t *sim, uint32_t domain, bool is_cut)
{
	sim->cut_domains[domain] = is_cut;
}

void member_sim_set_loss(member_sim_t *sim, uint32_t loss_percent)
{
	sim->settings.loss_percent = loss_percent;
}

void member_sim_inject_record(member_sim_t *sim, uint32_t listener,
			      uint32_t victim, member_state_t state)
{
	const member_view_t *view = membership_view(sim->nodes[listener].core);
	member_record_t records[2] = {{.member = sim->nodes[listener].self}};
	membership_heartbeat_t heartbeat = {.records = records,
					    .records_count = 2};

	records[0].member.name[0] = 'x';
	records[1].member =
		*member_view_find(view, sim->nodes[victim].self.name);
	records[1].member.state = state;
	records[1].version = UINT16_MAX;
	membership_handle_heartbeat(sim->nodes[listener].core, &heartbeat,
				    sim->now_ms);
	schedule_run(sim, listener);
}

uint32_t member_sim_domain(const member_sim_t *sim, uint32_t node)
{
	return node % sim->settings.domains_count;
}

static bool is_lost(member_sim_t *sim, uint32_t from, uint32_t to)
{
	const uint32_t from_domain = member_sim_domain(sim, from);
	const uint32_t to_domain = member_sim_domain(sim, to);

	if (from_domain != to_domain &&
	    (sim->cut_domains[from_domain] || sim->cut_domains[to_domain]))
		return true;
	return g_rand_int_range(sim->random, 0, 100) <
	       (gint32)sim->settings.loss_percent;
}

static uint32_t delay_ms(const member_sim_t *sim, uint32_t from, uint32_t to)
{
	if (member_sim_domain(sim, from) == member_sim_domain(sim, to))
		return sim->settings.same_domain_delay_ms;
	return sim->settings.cross_domain_delay_ms;
}

static uint64_t encoded_bytes(const node_t *node,
			      const membership_heartbeat_t *heartbeat)
{
	g_autoptr(peer_message_t) message =
		peer_message_new(PEER_MESSAGE_HEARTBEAT);
	g_autoptr(GBytes) bytes = NULL;

	g_strlcpy(message->sender, node->self.name, sizeof(message->sender));
	message->incarnation = node->self.incarnation;
	message->sequence = 100000;
	message->heartbeat->members_digest = heartbeat->digest;
	message->heartbeat->wants_reply = heartbeat->wants_reply;
	message->heartbeat->digest_size_bytes = DIGEST_BYTES;
	message->heartbeat->members_count = heartbeat->records_count;
	memcpy(message->heartbeat->members, heartbeat->records,
	       heartbeat->records_count * sizeof(*heartbeat->records));
	bytes = peer_message_encode(message);
	return g_bytes_get_size(bytes);
}

static uint32_t index_of(const char *name)
{
	return (uint32_t)g_ascii_strtoull(strchr(name, '-') + 1, NULL, 10);
}

static void schedule_delivery(node_run_t *run, uint32_t to,
			      const membership_heartbeat_t *heartbeat)
{
	member_sim_t *sim = run->sim;
	event_t *event;

	if (is_lost(sim, run->node, to))
		return;
	event = g_new0(event_t, 1);
	event->due_ms = sim->now_ms + delay_ms(sim, run->node, to);
	event->node = to;
	event->sender = run->node;
	event->is_heartbeat = true;
	event->digest = heartbeat->digest;
	event->wants_reply = heartbeat->wants_reply;
	event->records_count = heartbeat->records_count;
	event->records = g_memdup2(heartbeat->records,
				   heartbeat->records_count *
					   sizeof(*heartbeat->records));
	insert_event(sim, event);
}

static void on_send(void *context, const member_t *to,
		    const membership_heartbeat_t *heartbeat)
{
	node_run_t *run = context;
	member_sim_t *sim = run->sim;
	const uint64_t before_us = cpu_us(sim);

	sim->stats.messages_count++;
	if (sim->settings.measure_cost)
		sim->stats.payload_bytes +=
			encoded_bytes(&sim->nodes[run->node], heartbeat);
	schedule_delivery(run, index_of(to->name), heartbeat);
	run->simulation_us += cpu_us(sim) - before_us;
}

static void run_node(member_sim_t *sim, uint32_t index)
{
	node_run_t run = {.sim = sim, .node = index};
	node_t *node = &sim->nodes[index];
	const uint64_t before_us = cpu_us(sim);

	membership_run(node->core, sim->now_ms, on_send, &run);
	sim->stats.cpu_us += cpu_us(sim) - before_us - run.simulation_us;
	schedule_run(sim, index);
}

static void receive_heartbeat(member_sim_t *sim, const event_t *event)
{
	const membership_heartbeat_t heartbeat = {
		.digest = event->digest,
		.wants_reply = event->wants_reply,
		.records = event->records,
		.records_count = event->records_count,
	};
	const uint64_t before_us = cpu_us(sim);

	membership_handle_heartbeat(sim->nodes[event->node].core, &heartbeat,
				    sim->now_ms);
	sim->stats.cpu_us += cpu_us(sim) - before_us;
	schedule_run(sim, event->node);
}

static void handle_event(member_sim_t *sim, const event_t *event)
{
	const node_t *node = &sim->nodes[event->node];

	if (!node->core)
		return;
	if (event->is_heartbeat)
		receive_heartbeat(sim, event);
	else if (event->node_start == node->starts_count &&
		 node->scheduled_ms == event->due_ms)
		run_node(sim, event->node);
}

void member_sim_run(member_sim_t *sim, uint64_t duration_ms)
{
	const uint64_t until_ms = sim->now_ms + duration_ms;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		event_t event;

		if (g_sequence_iter_is_end(first))
			break;
		event = *(event_t *)g_sequence_get(first);
		if (event.due_ms > until_ms)
			break;
		((event_t *)g_sequence_get(first))->records = NULL;
		g_sequence_remove(first);
		sim->now_ms = event.due_ms;
		handle_event(sim, &event);
		g_free(event.records);
	}
	sim->now_ms = until_ms;
}

bool member_sim_is_running(const member_sim_t *sim, uint32_t node)
{
	return sim->nodes[node].core;
}

uint64_t member_sim_now_ms(const member_sim_t *sim)
{
	return sim->now_ms;
}

member_sim_stats_t member_sim_stats(const member_sim_t *sim)
{
	member_sim_stats_t stats = sim->stats;

	for (uint32_t i = 0; i < sim->settings.nodes_count; i++)
		if (sim->nodes[i].core)
			stats.node_ms += sim->now_ms - sim->nodes[i].started_ms;
	return stats;
}

member_state_t member_sim_state(member_sim_t *sim, uint32_t observer,
				uint32_t subject)
{
	const member_t *member =
		member_view_find(membership_view(sim->nodes[observer].core),
				 sim->nodes[subject].self.name);

	return member ? member->state : MEMBER_DEAD;
}

uint32_t member_sim_count(member_sim_t *sim, uint32_t subject,
			  member_state_t state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < sim->settings.nodes_count; i++)
		if (sim->nodes[i].core &&
		    member_sim_state(sim, i, subject) == state)
			count++;
	return count;
}

uint32_t member_sim_running_count(const member_sim_t *sim)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < sim->settings.nodes_count; i++)
		count += sim->nodes[i].core != NULL;
	return count;
}
